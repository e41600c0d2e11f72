#include "policy/config/freshness.h"

#include <algorithm>

namespace goldcrestline::policy::config {

using core::TimePoint;

void Freshness::onPlatformResponse(TimePoint now)
{
    m_confirmedAt = std::max(m_confirmedAt, now);
}

void Freshness::onPeer(const std::string &name, core::Duration age, TimePoint sentAt)
{
    auto &heardAt = m_heardAt[name];
    heardAt = std::max(heardAt, sentAt);
    m_confirmedAt = std::max(m_confirmedAt, sentAt - age);
    std::erase_if(m_heardAt, [&](const auto &it) { return sentAt - it.second > 20 * m_horizon; });
}

core::Duration Freshness::age(TimePoint now) const
{
    // A fixed ceiling keeps the sum of ages within range.
    constexpr core::Duration ceiling = std::chrono::hours(24);
    if (m_confirmedAt == TimePoint{})
        return ceiling;
    return std::min(ceiling, now - m_confirmedAt);
}

std::size_t Freshness::peersHeard(TimePoint now) const
{
    return static_cast<std::size_t>(
        std::count_if(m_heardAt.begin(), m_heardAt.end(),
                      [&](const auto &it) { return now - it.second <= m_horizon; }));
}

bool Freshness::mayServe(std::size_t knownHosts, TimePoint now) const
{
    if (age(now) <= m_horizon)
        return true;
    const std::size_t heard = peersHeard(now);
    return heard > 0 && 2 * (heard + 1) > knownHosts;
}

} // namespace goldcrestline::policy::config
