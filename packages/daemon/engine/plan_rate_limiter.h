#pragma once

#include "daemon/engine/host_state.h"
#include "policy/limits/lending.h"
#include "ports/peer_link.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace goldcrestline::daemon::engine {

// Enforces each plan's request rate over all hosts. One host per plan lends tokens to the others.
// Not thread-safe: runs on the engine's event loop.
class PlanRateLimiter
{
public:
    using Decision = std::function<void(bool admitted, core::TimePoint now)>;

    // Precondition: `host` and `peers` outlive this.
    PlanRateLimiter(HostState &host, ports::PeerLink &peers);

    // Calls `decision` once for one request of `plan`, before it returns or after the lender has
    // responded. `ratePerSecond`: limit of the plan over all hosts.
    void admit(const std::string &plan, double ratePerSecond, core::TimePoint now,
               Decision decision);

    // Lends up to `wanted` tokens to another host. Returns their number, or
    // ports::planUnknownTokens if the plan is unknown here.
    int lend(const std::string &plan, int wanted, core::TimePoint now);

    // Returns the delay after which a rejected caller of `plan` may retry.
    core::Millis retryAfter(const std::string &plan) const;

private:
    struct PlanState
    {
        policy::limits::Borrower borrower;
        // Requests that wait for the lender's response.
        std::vector<Decision> pending;
        double ratePerSecond = 0;
    };

    PlanState &findOrCreateState(const std::string &plan, core::TimePoint now);
    void requestTokens(const std::string &plan, PlanState &state, core::TimePoint now);
    void retryPending(const std::string &plan, PlanState &state, core::TimePoint now);
    policy::membership::Member lenderFor(const std::string &plan) const;

    HostState &m_host;
    ports::PeerLink &m_peers;
    policy::limits::LendingTimings m_times;
    policy::limits::Lender m_lender;
    std::map<std::string, PlanState> m_plans;
};

} // namespace goldcrestline::daemon::engine
