#pragma once

#include "adapters/settings/settings.h"
#include "core/clock.h"
#include "policy/membership/member_table.h"

namespace goldcrestline::daemon::forward {

// Part of the fleet's budget of extra attempts that is used; the rest covers hosts that restart
// with a full one.
inline constexpr double budgetShare = 0.9;

// This host's part of what the whole fleet may use: connections to servers, extra attempts. Not
// thread-safe: lives on the loop.
class FleetShare
{
public:
    explicit FleetShare(const adapters::settings::Settings &settings);

    // Divides anew among the hosts as they are. Call once a period of the membership.
    void update(const policy::membership::MemberTable &members, core::TimePoint now);

    // Returns how many connections this host may have to a server that takes `all`.
    int connections(int all) const;

    // Returns the burst of extra attempts at one service.
    double extraBurst() const;

    // Tells whether callers are sent to this host.
    bool carriesCallers() const { return m_carries; }

private:
    std::size_t m_hostsAtLeast;
    double m_extraSlack;
    double m_share;
    bool m_carries = true;
    core::TimePoint m_startedAt{};
    core::Duration m_age{0};
};

} // namespace goldcrestline::daemon::forward
