#include "policy/reach/reach_monitor.h"

#include <algorithm>

namespace goldcrestline::policy::reach {

using core::TimePoint;

void ReachMonitor::onResponse(TimePoint now)
{
    m_respondedAt = now;
}

void ReachMonitor::onFailure(const std::string &server, TimePoint now)
{
    m_failures[server] = now;
    std::erase_if(m_failures,
                  [&](const auto &it) { return now - it.second > m_parameters.failureWindow; });
}

void ReachMonitor::onPeerResponse(TimePoint respondedAt)
{
    m_peerRespondedAt = std::max(m_peerRespondedAt, respondedAt);
}

bool ReachMonitor::suspicious(TimePoint now) const
{
    const auto recent = std::count_if(m_failures.begin(), m_failures.end(), [&](const auto &it) {
        return now - it.second <= m_parameters.failureWindow;
    });
    if (static_cast<std::size_t>(recent) >= m_parameters.minSilentServers)
        return true;
    // A host with few requests tries few servers.
    return recent > 0 && m_peerRespondedAt >= m_respondedAt + m_parameters.maxPeerLead;
}

bool ReachMonitor::shouldCheck(TimePoint now)
{
    if (m_checking || now < m_nextCheckAt || (!m_cutOff && !suspicious(now)))
        return false;
    m_checking = true;
    m_nextCheckAt = now + m_parameters.checkInterval;
    return true;
}

void ReachMonitor::onChecked(bool reached, TimePoint now)
{
    m_checking = false;
    if (!reached) {
        m_reachedRounds = 0;
        const bool peersReach = m_peerRespondedAt >= m_respondedAt + m_parameters.minPeerLead
            && now - m_peerRespondedAt <= m_parameters.peerNewsTime;
        // Servers that respond on open connections while none can be opened are not down.
        const bool onlyNewFail = m_failedRoundAt != TimePoint{} && m_respondedAt > m_failedRoundAt;
        m_failedRoundAt = now;
        if (!m_cutOff && (peersReach || onlyNewFail))
            setCutOff(true, now);
        return;
    }
    m_failedRoundAt = {};
    if (m_cutOff && ++m_reachedRounds >= m_roundsToReturn)
        setCutOff(false, now);
}

void ReachMonitor::setCutOff(bool cutOff, TimePoint now)
{
    m_cutOff = cutOff;
    m_reachedRounds = 0;
    m_failures.clear();
    if (!cutOff) {
        m_returnedAt = now;
        return;
    }
    const bool flapping =
        m_returnedAt != TimePoint{} && now - m_returnedAt <= m_parameters.flapTime;
    m_roundsToReturn = flapping ? std::min(m_parameters.maxRoundsToReturn, 2 * m_roundsToReturn)
                                : m_parameters.roundsToReturn;
}

void ReachMonitor::onPause(TimePoint now)
{
    m_failures.clear();
    m_nextCheckAt = now + m_parameters.checkInterval;
}

} // namespace goldcrestline::policy::reach
