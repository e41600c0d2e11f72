#pragma once

#include "adapters/settings/settings.h"
#include "core/clock.h"
#include "policy/membership/member_table.h"

namespace goldcrestline::daemon::forward {

// Fraction of the fleet-wide budget of extra attempts that the hosts divide among themselves. The
// remainder covers hosts that restart with a full token bucket.
inline constexpr double extraBudgetFraction = 0.9;

// This host's share of fleet-wide limits: connections to servers and extra attempts. Not
// thread-safe: use only on the event loop's thread.
class FleetQuota
{
public:
    explicit FleetQuota(const adapters::settings::Settings &settings);

    // Recomputes the share from the current members. Call once per membership period.
    void update(const policy::membership::MemberTable &members, core::TimePoint now);

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
    bool m_receivesCallerTraffic = true;
    core::TimePoint m_startedAt{};
    core::Duration m_uptime{0};
};

} // namespace goldcrestline::daemon::forward
