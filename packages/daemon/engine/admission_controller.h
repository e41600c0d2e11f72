#pragma once

#include "daemon/engine/host_state.h"
#include "daemon/engine/plan_rate_limiter.h"
#include "ports/http_message.h"

#include <functional>
#include <string>

namespace goldcrestline::daemon::engine {

// A request that passed admission control, with the limits of its plan.
struct AdmittedRequest
{
    std::string customer;
    std::string plan;
    policy::config::ServicePolicy servicePolicy;
    core::TimePoint deadline;
};

// Admits or rejects each request by the lists, this host's state and the plan's rate limit.
// Not thread-safe: runs on the engine's event loop.
class AdmissionController
{
public:
    using OnAdmitted = std::function<void(const AdmittedRequest &admitted, core::TimePoint now)>;
    using OnRejected = std::function<void(ports::HttpResponse)>;

    // Precondition: both arguments outlive this.
    AdmissionController(HostState &host, PlanRateLimiter &planLimiter);

    // Calls exactly one of `onAdmitted` and `onRejected`, before it returns or after the plan's
    // lender has responded.
    void admit(const std::string &service, const ports::HttpRequest &request, core::TimePoint now,
               OnAdmitted onAdmitted, OnRejected onRejected);

private:
    HostState &m_host;
    PlanRateLimiter &m_planLimiter;
};

} // namespace goldcrestline::daemon::engine
