#include "daemon/engine/admission_controller.h"

#include "daemon/engine/responses.h"

#include <algorithm>
#include <charconv>
#include <optional>

namespace goldcrestline::daemon::engine {

using core::ResultCode;
using core::TimePoint;

namespace {

constexpr core::Millis configurationRetryAfter{1000};
constexpr std::int64_t maxTimeoutMs = 60000;

// Returns the caller's timeout in ms from X-Deadline-Ms, nothing without the header, or -1 if the
// value is not an integer in range.
std::optional<std::int64_t> parseTimeoutMs(const ports::HttpRequest &request)
{
    const auto text = request.header("x-deadline-ms");
    if (text.empty())
        return std::nullopt;
    std::int64_t ms = 0;
    const auto result = std::from_chars(text.data(), text.data() + text.size(), ms);
    const bool parsed = result.ec == std::errc() && result.ptr == text.data() + text.size();
    return parsed && ms >= 1 && ms <= maxTimeoutMs ? ms : -1;
}

} // namespace

AdmissionController::AdmissionController(HostState &host, PlanRateLimiter &planLimiter)
    : m_host(host), m_planLimiter(planLimiter)
{ }

void AdmissionController::admit(const std::string &service, const ports::HttpRequest &request,
                                TimePoint now, OnAdmitted onAdmitted, OnRejected onRejected)
{
    if (!m_host.lists || !m_host.fleet)
        return onRejected(responseFor(ResultCode::NoConfiguration, "", configurationRetryAfter));
    if (m_host.hasStaleLists(now))
        return onRejected(responseFor(ResultCode::HostBehind, "", configurationRetryAfter));
    const auto customer = request.header("x-customer");
    if (customer.empty())
        return onRejected(responseFor(ResultCode::MissingCustomer, ""));
    const auto *plan = m_host.lists->planFor(customer);
    if (plan == nullptr)
        return onRejected(responseFor(ResultCode::UnknownCustomer, ""));
    const auto servicePolicy = plan->services.find(service);
    if (servicePolicy == plan->services.end())
        return onRejected(responseFor(ResultCode::ServiceNotInPlan, service));
    const auto timeoutMs = parseTimeoutMs(request);
    if (timeoutMs && *timeoutMs < 0) {
        return onRejected(responseFor(ResultCode::DeadlineTooShort,
                                      "X-Deadline-Ms must be an integer from 1 to 60000"));
    }
    AdmittedRequest admitted{customer, m_host.lists->planByCustomer.at(customer),
                             servicePolicy->second, now};
    const auto planTimeout = servicePolicy->second.deadline;
    admitted.deadline += timeoutMs ? std::min(core::Millis(*timeoutMs), planTimeout) : planTimeout;
    auto planName = admitted.plan;
    m_planLimiter.admit(planName, plan->ratePerSecond, now,
                        [this, planName, admitted = std::move(admitted),
                         onAdmitted = std::move(onAdmitted),
                         onRejected = std::move(onRejected)](bool withinLimit, TimePoint at) {
                            if (withinLimit)
                                return onAdmitted(admitted, at);
                            onRejected(responseFor(ResultCode::PlanLimitReached, planName,
                                                   m_planLimiter.retryAfter(planName)));
                        });
}

} // namespace goldcrestline::daemon::engine
