#pragma once

#include "core/clock.h"
#include "ports/exchange.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>

// HTTP server on the event loop, for requests from callers, operators and other hosts.
namespace goldcrestline::adapters::loop {

// Limits of each connection.
struct FrontLimits
{
    std::uint64_t headerBytes = 16384;
    std::uint64_t bodyBytes = 262144;
    // Time for receiving a request head, and for each further part of its body.
    core::Millis headerTime{3000};
    // Time without a request after which a connection is closed.
    core::Millis idleTime{15000};
};

// A request that was read completely. `respond` is called at most once, on the loop's thread. It
// may be called after the caller disconnected; the response is then discarded.
struct FrontCall
{
    // Unique within the server; identifies the call if its caller disconnects.
    std::uint64_t id = 0;
    ports::IncomingRequest request;
    std::function<void(ports::OutgoingResponse)> respond;
};

struct FrontHooks
{
    // Handles a request.
    std::function<void(FrontCall, core::TimePoint now)> onCall;
    // The connection of a request without a response was closed by its caller or failed.
    std::function<void(std::uint64_t id, core::TimePoint now)> onGone;
    // Builds the response to a request that is rejected as invalid, too large or too slow.
    std::function<ports::OutgoingResponse(int status, const std::string &why)> buildErrorResponse;
};

// Handles the requests of a connection in order, one at a time. Rejects requests that are
// malformed, ambiguous in length, too large or too slow, and closes their connections. Not
// thread-safe: used only on the event loop's thread.
class FrontServer
{
public:
    // Starts listening. Throws std::exception if it cannot listen at `address`, "IP:PORT".
    FrontServer(boost::asio::io_context &io, const std::string &address, FrontLimits limits,
                FrontHooks hooks);
    ~FrontServer();
    FrontServer(const FrontServer &) = delete;
    FrontServer &operator=(const FrontServer &) = delete;

    // Returns the listening port.
    unsigned short port() const;

    // Sets new limits. A request that is being received may still be checked against the old ones.
    void setLimits(FrontLimits limits);

    // Rejects requests and closes connections whose timeout has ended. Call about every 250 ms.
    void tick(core::TimePoint now);

    // Disables keep-alive: each further response closes its connection.
    void finishConnections();

    // Stops accepting connections and closes the idle ones.
    void closeIdle();

    // Returns the number of connections with a request that is being received or handled, or whose
    // response is being written.
    std::size_t busy() const;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace goldcrestline::adapters::loop
