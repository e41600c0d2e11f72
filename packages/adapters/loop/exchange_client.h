#pragma once

#include "core/clock.h"
#include "ports/exchange.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>

// HTTP client for servers, the platform and other hosts on the event loop.
namespace goldcrestline::adapters::loop {

// Limits of the client's connections.
struct ExchangeOptions
{
    // Longest time for a new connection; a lost opening packet is sent again after a second.
    core::Millis connectTime{600};
    // Longest time for which an idle connection is kept.
    core::Millis idleTime{20000};
    // Idle time after which the kernel probes a connection; 0 for never.
    int probeAfterSeconds = 0;
};

// Keeps connections and sends one request at a time on each. Never sends a request twice. Not
// thread-safe: lives on the loop's thread.
class ExchangeClient
{
public:
    using Done = std::function<void(ports::ExchangeResult)>;

    ExchangeClient(boost::asio::io_context &io, ExchangeOptions options);
    ~ExchangeClient();
    ExchangeClient(const ExchangeClient &) = delete;
    ExchangeClient &operator=(const ExchangeClient &) = delete;

    // Sends a request to "IP:PORT". `done` is called once, later, unless abort() comes first.
    ports::ExchangeId send(const std::string &address, ports::ExchangeRequest request,
                           core::TimePoint now, Done done);

    // Gives an exchange up and closes its connection; `done` is not called.
    void abort(ports::ExchangeId id);

    // Ends exchanges that take too long and connections that take too long to open or were idle too
    // long. Call about every 20 ms.
    void tick(core::TimePoint now);

    // Changes the longest time for which a connection that becomes idle from now on is kept.
    void setIdleTime(core::Millis time);

    // Connections opened so far.
    std::uint64_t opened() const;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace goldcrestline::adapters::loop
