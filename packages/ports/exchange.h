#pragma once

#include "core/clock.h"

#include <boost/beast/core/string.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

// HTTP messages as they are forwarded: headers keep their order and spelling.
namespace goldcrestline::ports {

struct Header
{
    std::string name;
    std::string value;
};
using Headers = std::vector<Header>;

// Returns the first header of that name in any case, or null. Thread-safe.
inline const std::string *findHeader(const Headers &headers, std::string_view name)
{
    for (const auto &it : headers) {
        if (boost::beast::iequals(it.name, name))
            return &it.value;
    }
    return nullptr;
}

// A request read completely from a caller.
struct IncomingRequest
{
    std::string method;
    std::string target;
    Headers headers;
    std::string body;
};

// An answer to a caller. Content-Length and Connection are set by the server.
struct OutgoingResponse
{
    int status = 200;
    Headers headers;
    std::string body;
};

// A request to a server, in parts that attempts of one call share.
struct ExchangeRequest
{
    // Request line and headers that all attempts have in common, each line with its line end.
    std::shared_ptr<const std::string> commonHead;
    // The attempt's own headers, each line with its line end, without the empty line.
    std::string attemptHead;
    std::shared_ptr<const std::string> body;
    // A response to HEAD has no body, whatever its length says.
    bool bodyless = false;
    // A response whose header of this name has another value answers an earlier request and is
    // dropped. Empty for none.
    std::string identityHeader;
    std::string identity;
    // Judges a response by its status and headers; refusing ends the exchange as broken and closes
    // the connection. Empty accepts all.
    std::function<bool(int status, const Headers &headers)> accept;
    // Time at which the exchange is given up and its connection closed.
    core::TimePoint giveUpAt = core::TimePoint::max();
    // Uses a new connection, which is closed afterwards.
    bool freshConnection = false;
};

// How an exchange ended.
enum class ExchangeOutcome {
    Answered,
    // No byte of the request left this host.
    NotReached,
    // The connection ended, or what came is no whole response: the request may have run.
    Broken,
    // No whole response came in time: the request may have run.
    TimedOut,
};

struct ExchangeResult
{
    ExchangeOutcome outcome = ExchangeOutcome::Broken;
    int status = 0;
    Headers headers;
    std::string body;
    // The server asked to close the connection.
    bool closing = false;
};

using ExchangeId = std::uint64_t;

} // namespace goldcrestline::ports
