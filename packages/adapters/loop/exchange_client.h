#pragma once

#include "core/clock.h"
#include "core/connect_outcome.h"
#include "ports/exchange.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>

// HTTP client on the event loop, for requests to backend servers, the platform and other hosts.
namespace goldcrestline::adapters::loop {

// Timeouts of the client's connections.
struct ExchangeOptions
{
    // Timeout for opening a connection. The kernel resends a lost SYN packet only after 1 s.
    core::Millis connectTimeout{600};
    // Time after which an idle connection is closed. A shorter timeout stated by the server applies
    // instead.
    core::Millis idleTimeout{20000};
    // Idle time after which TCP keep-alive probes are sent; 0 disables them.
    int keepAliveIdleSeconds = 0;
    // A longer response body ends its exchange as broken.
    std::uint64_t maxBodyBytes = 8 << 20;
    // The same for a body that a reader receives in passing, which takes no memory here.
    std::uint64_t maxReadBytes = 512 << 20;
    // Bytes of the unfinished responses of all exchanges. While they are exceeded, the exchange
    // with the longest response ends as broken.
    std::uint64_t maxBufferedBytes = 32 << 20;
};

// Pools connections by server address and sends one request at a time on each. Never retries a
// request. Not thread-safe: used only on the event loop's thread.
class ExchangeClient
{
public:
    using Done = std::function<void(ports::ExchangeResult)>;

    ExchangeClient(boost::asio::io_context &io, ExchangeOptions options);
    ~ExchangeClient();
    ExchangeClient(const ExchangeClient &) = delete;
    ExchangeClient &operator=(const ExchangeClient &) = delete;

    // Sends a request to "IP:PORT". `done` is called once, after send() has returned, unless the
    // exchange is aborted.
    ports::ExchangeId send(const std::string &address, ports::ExchangeRequest request,
                           core::TimePoint now, Done done);

    // Opens a connection without a request, and keeps it for later requests if that succeeds.
    // `done` is called once, after checkConnect() has returned.
    void checkConnect(const std::string &address, core::TimePoint now,
                      std::function<void(core::ConnectOutcome)> done);

    // Cancels an exchange and closes its connection; `done` is not called. Unknown ids are ignored.
    void abort(ports::ExchangeId id);

    // Returns the bytes received of the response to an exchange in progress; 0 for unknown ids.
    std::uint64_t receivedBytes(ports::ExchangeId id) const;

    // Fails exchanges past their deadline or whose connection did not open in time, and closes
    // connections whose idle timeout ended. Call about every 20 ms.
    void tick(core::TimePoint now);

    // Closes all idle connections.
    void closeIdle();

    // Sets the idle timeout of connections that become idle from now on.
    void setIdleTimeout(core::Millis time);

    // Returns the number of bytes received since the start.
    std::uint64_t bytesReceived() const;

    // Returns the number of connections opened since the start, failed attempts included.
    std::uint64_t connectionsOpened() const;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace goldcrestline::adapters::loop
