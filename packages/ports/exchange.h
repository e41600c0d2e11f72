#pragma once

#include "core/clock.h"
#include "core/name_table.h"

#include <boost/beast/core/string.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

// HTTP messages as they are forwarded: headers keep their order and capitalization.
namespace goldcrestline::ports {

struct Header
{
    std::string name;
    std::string value;
};
using Headers = std::vector<Header>;

// Returns the value of the first header with that name, compared case-insensitively, or null.
// Thread-safe.
inline const std::string *findHeader(const Headers &headers, std::string_view name)
{
    for (const auto &it : headers) {
        if (boost::beast::iequals(it.name, name))
            return &it.value;
    }
    return nullptr;
}

// A request of a caller that was read completely.
struct IncomingRequest
{
    std::string method;
    std::string target;
    Headers headers;
    std::string body;
};

// A response to a caller. The HTTP server sets Content-Length and Connection.
struct OutgoingResponse
{
    int status = 200;
    Headers headers;
    std::string body;
};

// Receives the body of a response as it arrives, so that it is not kept whole.
class BodyReader
{
public:
    virtual ~BodyReader() = default;

    // Takes the next bytes; returns false to end the exchange, as the rest is of no use.
    virtual bool read(std::string_view bytes) = 0;
};

// A request to a server. The parts that are common to all attempts of a call are shared.
struct ExchangeRequest
{
    // Request line and the headers that all attempts have in common, each line with its CRLF.
    std::shared_ptr<const std::string> commonHead;
    // Headers of this attempt, each line with its CRLF, without the final empty line.
    std::string attemptHead;
    std::shared_ptr<const std::string> body;
    // The request's method is HEAD: the response has no body, whatever its Content-Length.
    bool bodyless = false;
    // Name and expected value of a response header that identifies the request. A response with
    // another value belongs to an earlier request and is discarded. Empty: no check.
    std::string identityHeader;
    std::string identity;
    // Returns whether to accept a response with this status and these headers. Rejecting it ends
    // the exchange as Broken and closes the connection. Empty: all responses are accepted.
    std::function<bool(int status, const Headers &headers)> accept;
    // Receives the body of a success (2xx); the bodies of other responses are dropped. Empty: the
    // body is kept in the result. Precondition: there is no identity to check.
    std::shared_ptr<BodyReader> bodyReader;
    // Time at which the exchange times out and its connection is closed.
    core::TimePoint deadline = core::TimePoint::max();
    // While the response arrives, the deadline is at least this long after its last bytes, so that
    // a large response is not given up because its link is slow. 0: the deadline is fixed.
    core::Millis progressTimeout{0};
    // Uses a new connection instead of a pooled one, and closes it afterwards.
    bool freshConnection = false;
};

// Outcome of an exchange.
enum class ExchangeOutcome {
    Answered,
    // No byte of the request was sent.
    NotReached,
    // The connection was closed or reset, or the response was incomplete, malformed or rejected:
    // the request may have been executed.
    Broken,
    // No complete response arrived in time: the request may have been executed.
    TimedOut,
};

// Why an exchange ended as Broken.
enum class BrokenCause {
    // The server closed or reset the connection before the response was complete.
    ConnectionEnded,
    // What the server sent is no response to the request.
    Malformed,
    // The response exceeds a limit of this host.
    TooLong,
};

inline constexpr core::NameTable<BrokenCause, 3> brokenCauseNames{{
    {BrokenCause::ConnectionEnded, "connection ended"},
    {BrokenCause::Malformed, "malformed response"},
    {BrokenCause::TooLong, "response too long"},
}};

struct ExchangeResult
{
    ExchangeOutcome outcome = ExchangeOutcome::Broken;
    int status = 0;
    Headers headers;
    std::string body;
    // The server announced that it closes the connection.
    bool closing = false;
    // With Broken.
    BrokenCause cause = BrokenCause::Malformed;
    // That of the request.
    std::shared_ptr<BodyReader> bodyReader;

    bool connectionEnded() const
    {
        return outcome == ExchangeOutcome::Broken && cause == BrokenCause::ConnectionEnded;
    }
};

using ExchangeId = std::uint64_t;

} // namespace goldcrestline::ports
