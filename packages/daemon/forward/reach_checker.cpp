#include "daemon/forward/reach_checker.h"

#include "adapters/logging/log.h"

namespace goldcrestline::daemon::forward {

using core::TimePoint;

namespace {

constexpr adapters::logging::LogChannel log("reach:");

// Servers to which connections are opened in a round.
constexpr std::size_t serversPerRound = 5;
// Time in which one of them must be open. The kernel resends a lost SYN packet only after 1 s.
constexpr core::Millis roundTime{200};
// Time after which a server that has not responded counts as failed here.
constexpr core::Millis overdueTime{250};
// A longer interval between two ticks means that the process was paused.
constexpr core::Millis pauseTime{600};

} // namespace

ReachChecker::ReachChecker(policy::forward::BackendTable &backends,
                           adapters::loop::ExchangeClient &client,
                           std::function<void(bool cutOff, TimePoint now)> onChange)
    : m_backends(backends), m_client(client), m_onChange(std::move(onChange))
{ }

void ReachChecker::onAttempt(const policy::forward::Backend &backend, bool responded, TimePoint now)
{
    if (responded) {
        m_monitor.onResponse(now);
    } else {
        m_monitor.onFailure(backend.record.id, now);
    }
}

void ReachChecker::tick(TimePoint now)
{
    if (m_lastTickAt != TimePoint{} && now - m_lastTickAt > pauseTime)
        m_monitor.onPause(now);
    m_lastTickAt = now;
    for (const auto &it : m_backends.overdue(now - overdueTime))
        m_monitor.onFailure(it, now);
    if (m_pending > 0 && now >= m_roundEndsAt)
        endRound(false, now);
    if (m_monitor.shouldCheck(now))
        startRound(now);
}

void ReachChecker::startRound(TimePoint now)
{
    ++m_round;
    m_roundEndsAt = now + roundTime;
    const auto addresses = m_backends.sampleAddresses("", serversPerRound, now);
    m_pending = addresses.size();
    if (addresses.empty())
        return m_monitor.onChecked(true, now);
    for (const auto &it : addresses) {
        m_client.checkConnect(it, now, [this, round = m_round](core::ConnectOutcome outcome) {
            onConnect(round, outcome, core::Clock::now());
        });
    }
}

void ReachChecker::onConnect(std::uint64_t round, core::ConnectOutcome outcome, TimePoint now)
{
    if (round != m_round || m_pending == 0)
        return;
    if (outcome == core::ConnectOutcome::Connected)
        return endRound(true, now);
    if (m_pending == 1)
        return endRound(false, now);
    --m_pending;
}

void ReachChecker::endRound(bool reached, TimePoint now)
{
    m_pending = 0;
    const bool before = m_monitor.cutOff();
    m_monitor.onChecked(reached, now);
    if (m_monitor.cutOff() == before)
        return;
    log.warning(before ? "servers are reached again" : "cut off from all servers");
    m_onChange(m_monitor.cutOff(), now);
}

} // namespace goldcrestline::daemon::forward
