#include "daemon/forward/fleet_quota.h"

#include "policy/entrypoints/entry_points.h"

#include <algorithm>

namespace goldcrestline::daemon::forward {

namespace {

// Lower bound on a host's burst of extra attempts to one service: a small share of a large fleet
// would otherwise leave the host without any retry.
constexpr double minExtraBurst = 1;

} // namespace

FleetQuota::FleetQuota(const adapters::settings::Settings &settings)
    : m_minHosts(static_cast<std::size_t>(settings.peers.hostsAtMost.value)),
      m_fleetExtraBurst(extraBudgetFraction * settings.forward.extraSlack.value),
      m_share(1.0 / static_cast<double>(m_minHosts))
{
    m_warmupShare.overshoot = settings.warmup.overshoot.value;
    m_warmupShare.slack = settings.warmup.slack.value;
    m_warmupShare.share = m_share;
}

void FleetQuota::update(const policy::membership::MemberTable &members, std::uint64_t requests,
                        core::TimePoint now)
{
    if (m_startedAt == core::TimePoint{})
        m_startedAt = now;
    m_uptime = now - m_startedAt;
    const auto live = members.live();
    const auto &self = members.self().name;
    m_share = policy::entrypoints::quotaShare(live, self, m_minHosts);
    const auto eligible = policy::entrypoints::eligibleHosts(live);
    m_receivesCallerTraffic = policy::entrypoints::containsHost(eligible, self);
    std::vector<std::string> others;
    for (const auto &it : eligible) {
        if (it.name != self)
            others.push_back(it.name);
    }
    m_demand.onRequests(requests, now);
    m_demand.update(others, now);
    std::vector<std::string> names;
    names.reserve(live.size());
    for (const auto &it : live)
        names.push_back(it.name);
    // A host that has just started and knows no other one may be one of many.
    const auto hosts = names.size() > 1 ? others.size() + 1 : m_minHosts;
    m_warmup.update(m_demand.share(), m_demand.perSecond(), names, 1 / static_cast<double>(hosts),
                    now);
    m_warmupShare.share = m_warmup.share();
    m_warmupShare.requestsPerSecond = m_warmup.requestsPerSecond();
}

int FleetQuota::connectionLimit(int serverLimit) const
{
    return policy::entrypoints::connectionLimit(serverLimit, m_share, m_uptime);
}

double FleetQuota::extraBurst() const
{
    return std::max(minExtraBurst, m_fleetExtraBurst * m_share);
}

} // namespace goldcrestline::daemon::forward
