#include "policy/config/freshness.h"

#include <algorithm>

namespace goldcrestline::policy::config {

using core::TimePoint;

void Freshness::onPlatformResponse(TimePoint now)
{
    m_confirmedAt = std::max(m_confirmedAt, now);
}

void Freshness::onPeerResponse(const std::string &name, core::Duration age, TimePoint sentAt)
{
    auto &respondedAt = m_respondedAt[name];
    respondedAt = std::max(respondedAt, sentAt);
    m_confirmedAt = std::max(m_confirmedAt, sentAt - age);
    std::erase_if(m_respondedAt,
                  [&](const auto &it) { return sentAt - it.second > 20 * m_maxAge; });
}

core::Duration Freshness::age(TimePoint now) const
{
    // Capped, so that times which peers compute from the age stay within the value range.
    constexpr core::Duration maxReportedAge = std::chrono::hours(24);
    if (m_confirmedAt == TimePoint{})
        return maxReportedAge;
    return std::min(maxReportedAge, now - m_confirmedAt);
}

std::size_t Freshness::reachablePeers(TimePoint now) const
{
    return static_cast<std::size_t>(
        std::count_if(m_respondedAt.begin(), m_respondedAt.end(),
                      [&](const auto &it) { return now - it.second <= m_maxAge; }));
}

bool Freshness::mayServe(std::size_t knownHosts, TimePoint now) const
{
    if (age(now) <= m_maxAge)
        return true;
    const std::size_t reachable = reachablePeers(now);
    return reachable > 0 && 2 * (reachable + 1) > knownHosts;
}

} // namespace goldcrestline::policy::config
