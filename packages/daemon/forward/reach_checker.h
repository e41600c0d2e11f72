#pragma once

#include "adapters/loop/exchange_client.h"
#include "core/clock.h"
#include "policy/forward/backend_table.h"
#include "policy/reach/reach_monitor.h"

#include <functional>

namespace goldcrestline::daemon::forward {

// Finds out whether this host is cut off from all servers, and opens connections to some of them
// while that is in doubt. Not thread-safe: use only on the event loop's thread.
class ReachChecker
{
public:
    // `onChange` is called when the host was cut off or is connected again. Preconditions: the
    // references outlive this object, and `client` makes no callback after its destruction.
    ReachChecker(policy::forward::BackendTable &backends, adapters::loop::ExchangeClient &client,
                 std::function<void(bool cutOff, core::TimePoint now)> onChange);

    // Records that an attempt at a server ended, with a response or without.
    void onAttempt(const policy::forward::Backend &backend, bool responded, core::TimePoint now);

    // Records the age of the newest response of a server to another host.
    void onPeerNews(core::Duration age, core::TimePoint now)
    {
        m_monitor.onPeerResponse(now - age);
    }

    // Starts and ends rounds of checks. Call about every 100 ms.
    void tick(core::TimePoint now);

    bool cutOff() const { return m_monitor.cutOff(); }
    // Time of the last response of a server; the zero time before the first one.
    core::TimePoint respondedAt() const { return m_monitor.respondedAt(); }

private:
    void startRound(core::TimePoint now);
    void onConnect(std::uint64_t round, core::ConnectOutcome outcome, core::TimePoint now);
    void endRound(bool reached, core::TimePoint now);

    policy::forward::BackendTable &m_backends;
    adapters::loop::ExchangeClient &m_client;
    std::function<void(bool, core::TimePoint)> m_onChange;
    policy::reach::ReachMonitor m_monitor;
    // Number of the current round, and its connections without a result; 0 between rounds.
    std::uint64_t m_round = 0;
    std::size_t m_pending = 0;
    core::TimePoint m_roundEndsAt{};
    core::TimePoint m_lastTickAt{};
};

} // namespace goldcrestline::daemon::forward
