#pragma once

#include "adapters/settings/settings.h"
#include "core/clock.h"
#include "policy/forward/warmup_share.h"
#include "policy/limits/demand_share.h"
#include "policy/membership/member_table.h"

namespace goldcrestline::daemon::forward {

// Fraction of the fleet-wide budget of extra attempts that the hosts divide among themselves. The
// remainder covers hosts that restart with a full token bucket.
inline constexpr double extraBudgetFraction = 0.9;

// This host's share of fleet-wide limits: connections to servers, extra attempts, and the request
// rates that servers accept. Not thread-safe: use only on the event loop's thread.
class FleetQuota
{
public:
    explicit FleetQuota(const adapters::settings::Settings &settings);

    // Recomputes the shares from the current members. `requests`: requests of callers since the
    // start. Call once per membership period.
    void update(const policy::membership::MemberTable &members, std::uint64_t requests,
                core::TimePoint now);

    // Records the request rate that another host reported.
    void onRequestRate(const std::string &host, double perSecond, core::TimePoint now)
    {
        m_demand.onReport(host, perSecond, now);
    }

    // Returns this host's requests of callers per second, and its share of those of all hosts.
    double requestsPerSecond() const { return m_demand.perSecond(); }
    double demandShare() const { return m_demand.share(); }

    // Returns this host's share of the requests to cold servers.
    policy::forward::WarmupShare warmupShare() const { return m_warmupShare; }

    // Returns how many connections this host may have to a server that accepts `serverLimit`
    // connections from all hosts together.
    int connectionLimit(int serverLimit) const;

    // Returns the number of extra attempts to one service that this host may make in a burst.
    double extraBurst() const;

    // Returns whether entry-point lists direct callers to this host.
    bool receivesCallerTraffic() const { return m_receivesCallerTraffic; }

private:
    std::size_t m_minHosts;
    double m_fleetExtraBurst;
    double m_share;
    policy::limits::DemandShare m_demand;
    policy::forward::WarmupShare m_warmupShare;
    policy::forward::WarmupShareEstimator m_warmup;
    bool m_receivesCallerTraffic = true;
    core::TimePoint m_startedAt{};
    core::Duration m_uptime{0};
};

} // namespace goldcrestline::daemon::forward
