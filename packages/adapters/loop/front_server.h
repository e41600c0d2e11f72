#pragma once

#include "core/clock.h"
#include "ports/exchange.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>

// HTTP server on the event loop, for callers, operators and other hosts.
namespace goldcrestline::adapters::loop {

// Limits of one connection.
struct FrontLimits
{
    std::uint64_t headerBytes = 16384;
    std::uint64_t bodyBytes = 262144;
    core::Millis headerTime{3000};
    core::Millis idleTime{15000};
};

// A request that was read completely. `respond` is called at most once, on the loop's thread,
// also after the caller left.
struct FrontCall
{
    // Unique within the server; names the call when its caller leaves.
    std::uint64_t id = 0;
    ports::IncomingRequest request;
    std::function<void(ports::OutgoingResponse)> respond;
};

struct FrontHooks
{
    std::function<void(FrontCall, core::TimePoint now)> onCall;
    // The caller of a call that was not answered yet closed its connection.
    std::function<void(std::uint64_t id, core::TimePoint now)> onGone;
    // Makes the answer to a request that cannot be read.
    std::function<ports::OutgoingResponse(int status, const std::string &why)> refusal;
};

// Answers the requests of a connection in their order, one at a time. Refuses requests that are
// malformed, ambiguous in length, too large or too slow. Not thread-safe: lives on the loop.
class FrontServer
{
public:
    // Throws std::exception if it cannot listen at "IP:PORT".
    FrontServer(boost::asio::io_context &io, const std::string &address, FrontLimits limits,
                FrontHooks hooks);
    ~FrontServer();
    FrontServer(const FrontServer &) = delete;
    FrontServer &operator=(const FrontServer &) = delete;

    // Returns the port that is listened on.
    unsigned short port() const;

    // Takes new limits; requests that are being read keep theirs.
    void setLimits(FrontLimits limits);

    // Ends connections that are idle or slow for too long. Call about every 250 ms.
    void tick(core::TimePoint now);

    // From now on each answer closes its connection.
    void finishConnections();

    // Stops accepting and closes idle connections.
    void closeIdle();

    // Connections on which a request is being read or answered.
    std::size_t busy() const;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace goldcrestline::adapters::loop
