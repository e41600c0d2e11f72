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
struct HttpServerLimits
{
    std::uint64_t maxHeaderBytes = 16384;
    std::uint64_t maxBodyBytes = 262144;
    // Time for receiving a request head, and for each further part of its body.
    core::Millis headerTimeout{3000};
    // Time without a request after which a connection is closed.
    core::Millis idleTimeout{15000};
    // Bytes of the unfinished requests of all connections. While they are exceeded, the longest
    // request is rejected.
    std::uint64_t maxBufferedBytes = 32 << 20;
};

// A request that was read completely. `respond` is called at most once, on the loop's thread. It
// may be called after the caller disconnected; the response is then discarded.
struct HttpCall
{
    // Unique within the server; identifies the call if its caller disconnects.
    std::uint64_t id = 0;
    ports::IncomingRequest request;
    // Network address of the caller without the port.
    std::string callerAddress;
    std::function<void(ports::OutgoingResponse)> respond;
};

struct HttpServerHooks
{
    // Handles a request.
    std::function<void(HttpCall, core::TimePoint now)> onCall;
    // The connection of a request without a response was closed by its caller or failed.
    std::function<void(std::uint64_t id, core::TimePoint now)> onCallerDisconnect;
    // Builds the response to a request that is rejected as invalid, too large or too slow.
    std::function<ports::OutgoingResponse(int status, const std::string &why)> buildErrorResponse;
};

// Handles the requests of a connection in order, one at a time. Rejects requests that are
// malformed, ambiguous in length, too large or too slow, and closes their connections. Not
// thread-safe: used only on the event loop's thread.
class HttpServer
{
public:
    // Starts listening. Throws std::exception if it cannot listen at `address`, "IP:PORT".
    HttpServer(boost::asio::io_context &io, const std::string &address, HttpServerLimits limits,
               HttpServerHooks hooks);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    // Returns the listening port.
    unsigned short port() const;

    // Sets new limits. A request that is being received may still be checked against the old ones.
    void setLimits(HttpServerLimits limits);

    // Rejects requests and closes connections whose timeout has ended. Call about every 250 ms.
    void tick(core::TimePoint now);

    // Disables keep-alive: each further response closes its connection.
    void disableKeepAlive();

    // Stops accepting connections and closes the idle ones. A connection that has just been
    // accepted is kept for a short time, in which its caller can send its first request.
    void stopAccepting();

    // Returns the number of connections with a request that is awaited as the first one, being
    // received or handled, or whose response is being written.
    std::size_t activeConnections() const;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace goldcrestline::adapters::loop
