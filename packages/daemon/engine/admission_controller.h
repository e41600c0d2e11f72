#pragma once

#include "daemon/engine/host_state.h"
#include "daemon/engine/plan_limits.h"
#include "ports/http_message.h"

#include <functional>
#include <string>

namespace goldcrestline::daemon::engine {

// A request that may go on.
struct Admitted
{
    std::string customer;
    std::string plan;
    policy::config::Allowance allowance;
    core::TimePoint deadline;
};

// Checks each request against the lists, the host's state and the plan's limit.
// Owned by the engine's task.
class AdmissionGate
{
public:
    using Next = std::function<void(const Admitted &admitted, core::TimePoint now)>;
    using Refuse = std::function<void(ports::HttpResponse)>;

    // Precondition: both arguments outlive this.
    AdmissionGate(HostState &host, PlanLimits &limits);

    // Calls exactly one of `next` and `refuse`, at once or after the plan's lender answered.
    void pass(const std::string &service, const ports::HttpRequest &request, core::TimePoint now,
              Next next, Refuse refuse);

private:
    HostState &m_host;
    PlanLimits &m_limits;
};

} // namespace goldcrestline::daemon::engine
