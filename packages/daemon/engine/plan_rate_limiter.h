#pragma once

#include "daemon/engine/host_state.h"
#include "policy/limits/lending.h"
#include "ports/peer_link.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace goldcrestline::daemon::engine {

// Admits requests within each plan's limit over the fleet. Owned by the engine's task.
class PlanLimits
{
public:
    using Decision = std::function<void(bool admitted, core::TimePoint now)>;

    // Precondition: `host` and `peers` outlive this.
    PlanLimits(HostState &host, ports::PeerLink &peers);

    // Decides on one request of `plan`, at once or after the lender answered.
    void admit(const std::string &plan, double ratePerSecond, core::TimePoint now,
               Decision decision);

    // Lends tokens to another host; returns how many, or ports::cannotLend.
    int lend(const std::string &plan, int wanted, core::TimePoint now);

    // Returns when a refused caller of `plan` should come back.
    core::Millis retryAfter(const std::string &plan) const;

private:
    struct PlanState
    {
        policy::limits::Borrower borrower;
        std::vector<Decision> held;
        double ratePerSecond = 0;
    };

    PlanState &stateOf(const std::string &plan, core::TimePoint now);
    void askLender(const std::string &plan, PlanState &state, core::TimePoint now);
    void release(const std::string &plan, PlanState &state, core::TimePoint now);
    policy::membership::Member lenderOf(const std::string &plan) const;

    HostState &m_host;
    ports::PeerLink &m_peers;
    policy::limits::LendingTimes m_times;
    policy::limits::Lender m_lender;
    std::map<std::string, PlanState> m_plans;
};

} // namespace goldcrestline::daemon::engine
