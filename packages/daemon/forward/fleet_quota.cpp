#include "daemon/forward/fleet_quota.h"

#include "policy/entrypoints/entry_points.h"

#include <algorithm>

namespace goldcrestline::daemon::forward {

namespace {

// Extra attempts at one service that every host may make, so that none is without retries.
constexpr double leastBurst = 1;

} // namespace

FleetShare::FleetShare(const adapters::settings::Settings &settings)
    : m_hostsAtLeast(static_cast<std::size_t>(settings.peers.hostsAtMost.value)),
      m_extraSlack(budgetShare * settings.forward.extraSlack.value),
      m_share(1.0 / static_cast<double>(m_hostsAtLeast))
{ }

void FleetShare::update(const policy::membership::MemberTable &members, core::TimePoint now)
{
    if (m_startedAt == core::TimePoint{})
        m_startedAt = now;
    m_age = now - m_startedAt;
    const auto live = members.live();
    const auto &self = members.self().name;
    m_share = policy::entrypoints::quotaShare(live, self, m_hostsAtLeast);
    m_carries = policy::entrypoints::containsHost(policy::entrypoints::eligibleHosts(live), self);
}

int FleetShare::connections(int all) const
{
    return policy::entrypoints::connectionLimit(all, m_share, m_age);
}

double FleetShare::extraBurst() const
{
    return std::max(leastBurst, m_extraSlack * m_share);
}

} // namespace goldcrestline::daemon::forward
