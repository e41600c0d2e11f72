#include "daemon/engine/admission_gate.h"

#include "daemon/engine/answers.h"

#include <algorithm>
#include <charconv>
#include <optional>

namespace goldcrestline::daemon::engine {

using core::ResultCode;
using core::TimePoint;

namespace {

constexpr core::Millis stateRetryAfter{1000};
constexpr std::int64_t longestDeadlineMs = 60000;

// Returns the caller's deadline, nothing if none was given, or -1 if it is not valid.
std::optional<std::int64_t> deadlineOf(const ports::HttpRequest &request)
{
    const auto text = request.header("x-deadline-ms");
    if (text.empty())
        return std::nullopt;
    std::int64_t ms = 0;
    const auto result = std::from_chars(text.data(), text.data() + text.size(), ms);
    const bool whole = result.ec == std::errc() && result.ptr == text.data() + text.size();
    return whole && ms >= 1 && ms <= longestDeadlineMs ? ms : -1;
}

} // namespace

AdmissionGate::AdmissionGate(HostState &host, PlanLimits &limits) : m_host(host), m_limits(limits)
{ }

void AdmissionGate::pass(const std::string &service, const ports::HttpRequest &request,
                         TimePoint now, Next next, Refuse refuse)
{
    if (!m_host.lists || !m_host.fleet)
        return refuse(answerFor(ResultCode::NoConfiguration, "", stateRetryAfter));
    if (m_host.behind(now))
        return refuse(answerFor(ResultCode::HostBehind, "", stateRetryAfter));
    const auto customer = request.header("x-customer");
    if (customer.empty())
        return refuse(answerFor(ResultCode::MissingCustomer, ""));
    const auto *plan = m_host.lists->planFor(customer);
    if (plan == nullptr)
        return refuse(answerFor(ResultCode::UnknownCustomer, ""));
    const auto allowance = plan->services.find(service);
    if (allowance == plan->services.end())
        return refuse(answerFor(ResultCode::ServiceNotInPlan, service));
    const auto deadline = deadlineOf(request);
    if (deadline && *deadline < 0)
        return refuse(answerFor(ResultCode::DeadlineTooShort, "X-Deadline-Ms takes 1 to 60000"));
    Admitted admitted{customer, m_host.lists->planOfCustomer.at(customer), allowance->second, now};
    const auto own = allowance->second.deadline;
    admitted.deadline += deadline ? std::min(core::Millis(*deadline), own) : own;
    auto planName = admitted.plan;
    m_limits.admit(planName, plan->ratePerSecond, now,
                   [this, planName, admitted = std::move(admitted), next = std::move(next),
                    refuse = std::move(refuse)](bool passed, TimePoint at) {
                       if (passed)
                           return next(admitted, at);
                       refuse(answerFor(ResultCode::PlanLimitReached, planName,
                                        m_limits.retryAfter(planName)));
                   });
}

} // namespace goldcrestline::daemon::engine
