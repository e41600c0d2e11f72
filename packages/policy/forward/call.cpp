#include "policy/forward/call.h"

#include <algorithm>
#include <cmath>

namespace goldcrestline::policy::forward {

using core::TimePoint;

namespace {

// Bounds the attempts of a part whose servers all refuse to execute the request.
constexpr std::size_t maxServersPerPart = 4;
// A part is omitted when its estimate exceeds the remaining time by this factor. Above 1, since the
// estimate is coarse and a part on time is worth more than the processing of a late one costs.
constexpr double lateFactor = 1.25;
// A late request is refused when its queueing exceeds this share of the remaining time. The same
// margin as above, so that requests to idle servers are never refused.
constexpr double maxQueueingShare = lateFactor - 1;
// Time until a part that found no server capacity, or no retry budget, tries again.
constexpr core::Duration retryInterval = std::chrono::milliseconds(10);

// Returns the time until a request with this estimate, which is late now, would be in time.
core::Duration timeUntilInTime(const LatencyEstimate &estimate, double remainingMs)
{
    const double lateMs = estimate.responseMs - remainingMs;
    // Queues shrink by their own time, not by the weighted one.
    double waitMs = lateMs / std::max(1.0, estimate.queueWeight);
    // The queueing of a workspace above its share is weighted until its recent work has decayed.
    const double queueingMs = estimate.responseMs - estimate.processingMs;
    if (estimate.shareHalfLifeMs > 0 && queueingMs > lateMs)
        waitMs += estimate.shareHalfLifeMs * std::log2(queueingMs / (queueingMs - lateMs));
    return std::chrono::duration_cast<core::Duration>(
        std::chrono::duration<double, std::milli>(waitMs));
}

} // namespace

Call::Call(RouteTablePtr table, const Route &route, std::vector<std::string> services,
           CallRank rank, CallTimes times, const CallHooks &hooks)
    : m_table(std::move(table)), m_route(route), m_services(std::move(services)), m_rank(rank),
      m_times(times), m_hooks(hooks), m_parts(m_services.size())
{ }

void Call::start(TimePoint now, CallActions &out)
{
    if (m_hooks.permission(m_rank.sequence, now) == SendPermission::Never)
        return finish(CallOutcome::Blocked, out);
    admit(now, out);
    if (m_finished)
        return;
    for (std::size_t part = 0; part < m_parts.size(); ++part) {
        m_hooks.deposit(m_services[part], now);
        if (!m_parts[part].lost)
            trySend(part, now, out);
    }
    finishIfDecided(now, out);
}

std::vector<Call::LatePart> Call::findLateParts(TimePoint now)
{
    const double remainingMs = core::toMillis(m_times.objectiveAt - now);
    std::vector<LatePart> late;
    for (std::size_t part = 0; part < m_parts.size(); ++part) {
        const auto estimate = m_hooks.estimateLatency(m_services[part], rank(), now);
        if (!estimate && !m_hooks.hasUsable(m_services[part], {}, now)) {
            m_parts[part].lost = true;
        } else if (estimate && remainingMs > 0 && estimate->responseMs > remainingMs) {
            late.push_back({part, *estimate});
        }
    }
    std::sort(late.begin(), late.end(), [](const LatePart &a, const LatePart &b) {
        return a.estimate.responseMs > b.estimate.responseMs;
    });
    return late;
}

void Call::admit(TimePoint now, CallActions &out)
{
    if (now >= m_times.deadline)
        return finish(CallOutcome::Refused, out);
    const double remainingMs = core::toMillis(m_times.objectiveAt - now);
    const auto late = findLateParts(now);
    auto possible = static_cast<std::size_t>(
        std::count_if(m_parts.begin(), m_parts.end(), [](const Part &it) { return !it.lost; }));
    for (const auto &it : late) {
        m_parts[it.part].expectedMs = it.estimate.responseMs;
        if (m_route.fansOut() && meetsMinShare(possible - 1)) {
            // The response is complete enough without the part, which spares its servers' capacity
            // for requests that need them.
            m_parts[it.part].lost = it.estimate.responseMs > lateFactor * remainingMs;
            --possible;
        } else if (shouldRefuse(it.estimate, now)) {
            // The estimates are in descending order, so that no needed part takes longer.
            return refuse(timeUntilInTime(it.estimate, remainingMs), out);
        }
    }
    if (!meetsMinShare(possible))
        refuse(timeUntilUsable(now), out);
}

core::Duration Call::timeUntilUsable(TimePoint now) const
{
    std::size_t usable = 0;
    std::vector<TimePoint> returns;
    for (std::size_t part = 0; part < m_parts.size(); ++part) {
        if (!m_parts[part].lost) {
            ++usable;
        } else if (const auto at = m_hooks.availableAgainAt(m_services[part], now)) {
            returns.push_back(*at);
        }
    }
    std::sort(returns.begin(), returns.end());
    for (const auto &it : returns) {
        if (meetsMinShare(++usable))
            return it - now;
    }
    return core::Duration{0};
}

bool Call::shouldRefuse(const LatencyEstimate &estimate, TimePoint now) const
{
    if (estimate.responseMs > core::toMillis(m_times.deadline - now))
        return true;
    const double remainingMs = core::toMillis(m_times.objectiveAt - now);
    // Servers whose processing time alone misses the objective still get requests. Where queueing
    // is the cause, further requests would make all of them late.
    return estimate.processingMs <= lateFactor * remainingMs
        && estimate.responseMs - estimate.processingMs > maxQueueingShare * remainingMs;
}

bool Call::mayHaveCrashed(const Part &part) const
{
    return m_route.fansOut() && part.broke && !m_answered;
}

std::optional<SendPermission> Call::checkPermission(std::size_t part, TimePoint now)
{
    auto &state = m_parts[part];
    state.heldBack = false;
    if (m_route.fansOut()
        && m_hooks.leavesOut(m_rank.sequence, m_services[part], state.broke, now)) {
        state.lost = state.inFlight == 0;
        return std::nullopt;
    }
    auto permission = m_hooks.permission(m_rank.sequence, now);
    if (mayHaveCrashed(state)
        && (permission == SendPermission::Any || permission == SendPermission::OneAtATime))
        permission = SendPermission::Once;
    switch (permission) {
    case SendPermission::Any:
        return permission;
    case SendPermission::OneAtATime:
        if (m_attempts.empty())
            return permission;
        break;
    case SendPermission::Once:
        if (!m_attempts.empty())
            break;
        if (!m_sentOnce)
            return permission;
        state.lost = state.inFlight == 0;
        return std::nullopt;
    case SendPermission::Never:
        m_blocked = true;
        state.lost = state.inFlight == 0;
        return std::nullopt;
    case SendPermission::Withdrawn:
        state.lost = state.inFlight == 0;
        return std::nullopt;
    case SendPermission::Later:
        break;
    }
    state.heldBack = true;
    waitForRetry(state, now);
    return std::nullopt;
}

void Call::waitForRetry(Part &part, TimePoint now)
{
    part.waiting = true;
    m_retryAt = std::min(m_retryAt, now + retryInterval);
}

void Call::trySend(std::size_t part, TimePoint now, CallActions &out)
{
    auto &state = m_parts[part];
    const auto &service = m_services[part];
    state.waiting = false;
    const auto permission = checkPermission(part, now);
    if (!permission)
        return;
    if (auto backend = m_hooks.pick(service, rank(), state.tried, now)) {
        // The first attempt needs no budget.
        if (state.tried.empty() || m_hooks.tryWithdraw(service, now)) {
            m_sentOnce |= permission == SendPermission::Once;
            return sendTo(part, backend, now, out);
        }
    } else if (!m_hooks.hasUsable(service, state.tried, now)) {
        state.lost = state.inFlight == 0;
        return;
    }
    waitForRetry(state, now);
}

void Call::sendHeldBack(TimePoint now, CallActions &out)
{
    for (std::size_t part = 0; part < m_parts.size(); ++part) {
        if (m_parts[part].heldBack)
            trySend(part, now, out);
    }
}

void Call::sendTo(std::size_t part, const BackendPtr &backend, TimePoint now, CallActions &out)
{
    auto &state = m_parts[part];
    const auto id = m_hooks.nextAttempt();
    state.tried.push_back(backend);
    ++state.inFlight;
    ++state.mayHaveExecuted;
    ++m_attemptsSent;
    state.hedgeAt = TimePoint::max();
    if (m_route.idempotency == Idempotency::Idempotent && state.inFlight == 1)
        state.hedgeAt = now + m_hooks.hedgeDelay(m_route.name);
    m_attempts.push_back({id, part, backend});
    out.push_back(Send{id, part, backend});
}

bool Call::mayRetry(const Part &part) const
{
    if (part.tried.size() >= maxServersPerPart)
        return false;
    if (m_route.idempotency == Idempotency::NonIdempotent)
        return part.mayHaveExecuted == 0;
    return part.mayHaveExecuted < m_route.maxAttempts;
}

std::optional<std::size_t> Call::partOf(AttemptId attempt) const
{
    for (const auto &it : m_attempts) {
        if (it.id == attempt)
            return it.part;
    }
    return std::nullopt;
}

std::vector<AttemptId> Call::attemptsInFlight() const
{
    std::vector<AttemptId> out;
    for (const auto &it : m_attempts)
        out.push_back(it.id);
    return out;
}

bool Call::hasWaitingParts() const
{
    return std::any_of(m_parts.begin(), m_parts.end(), [](const Part &it) { return it.waiting; });
}

std::vector<std::string> Call::describeParts(TimePoint now) const
{
    std::vector<std::string> out;
    for (std::size_t part = 0; part < m_parts.size(); ++part) {
        const auto &state = m_parts[part];
        if (state.done)
            continue;
        std::string text = m_services[part] + (state.lost ? ":lost" : ":open");
        if (state.expectedMs > 0)
            text += ":expected(" + std::to_string(static_cast<int>(state.expectedMs)) + "ms)";
        if (state.waiting)
            text += ":waits";
        for (const auto &it : state.tried) {
            text += ":" + it->record.id;
            if (!it->pending.empty()) {
                const auto age = core::toMillis(now - it->pending.front());
                text += "(" + std::to_string(static_cast<int>(age)) + "ms)";
            }
        }
        out.push_back(std::move(text));
    }
    return out;
}

std::optional<Call::Attempt> Call::removeAttempt(AttemptId attempt)
{
    const auto it = std::find_if(m_attempts.begin(), m_attempts.end(),
                                 [&](const Attempt &other) { return other.id == attempt; });
    if (it == m_attempts.end())
        return std::nullopt;
    Attempt removed = *it;
    m_attempts.erase(it);
    --m_parts[removed.part].inFlight;
    return removed;
}

void Call::onReply(AttemptId attempt, ReplyKind kind, TimePoint now, CallActions &out)
{
    const auto removed = removeAttempt(attempt);
    if (m_finished || !removed)
        return;
    auto &part = m_parts[removed->part];
    if (kind == ReplyKind::Success || kind == ReplyKind::Failure)
        m_completedAnywhere = true;
    m_answered |= m_completedAnywhere || kind == ReplyKind::NonRetryable;
    if (part.done)
        return;
    switch (kind) {
    case ReplyKind::Success:
        part.done = true;
        part.waiting = false;
        part.hedgeAt = TimePoint::max();
        sendHeldBack(now, out);
        return finishIfDecided(now, out);
    case ReplyKind::Failure:
        m_hasFailureResponse = !m_route.fansOut();
        break;
    case ReplyKind::NonRetryable:
        if (!m_route.fansOut())
            return finish(CallOutcome::PassedFailure, out);
        part.lost = part.inFlight == 0;
        sendHeldBack(now, out);
        return finishIfDecided(now, out);
    case ReplyKind::NotExecuted:
    case ReplyKind::Misdirected:
        --part.mayHaveExecuted;
        m_sentOnce = false;
        break;
    }
    if (part.inFlight == 0) {
        part.lost = !mayRetry(part);
        if (!part.lost)
            trySend(removed->part, now, out);
    }
    if (kind == ReplyKind::Failure)
        sendHeldBack(now, out);
    finishIfDecided(now, out);
}

void Call::onError(AttemptId attempt, AttemptError error, TimePoint now, CallActions &out)
{
    const auto removed = removeAttempt(attempt);
    if (m_finished || !removed)
        return;
    auto &part = m_parts[removed->part];
    if (error == AttemptError::NotReached) {
        --part.mayHaveExecuted;
        m_sentOnce = false;
    }
    part.broke |= error == AttemptError::Broken;
    if (!part.done && part.inFlight == 0) {
        part.lost = !mayRetry(part);
        if (!part.lost)
            trySend(removed->part, now, out);
    }
    finishIfDecided(now, out);
}

void Call::onCapacityFree(std::size_t part, TimePoint now, CallActions &out)
{
    if (m_finished || !m_parts[part].waiting)
        return;
    trySend(part, now, out);
    finishIfDecided(now, out);
}

void Call::hedge(std::size_t part, TimePoint now, CallActions &out)
{
    auto &state = m_parts[part];
    const auto &service = m_services[part];
    state.hedgeAt = TimePoint::max();
    if (state.done || state.inFlight != 1 || !mayRetry(state))
        return;
    if (m_route.fansOut() && m_hooks.leavesOut(m_rank.sequence, service, true, now))
        return;
    if (m_hooks.permission(m_rank.sequence, now) != SendPermission::Any) {
        state.hedgeAt = now + retryInterval;
        return;
    }
    const auto backend = m_hooks.pick(service, rank(), state.tried, now);
    if (!backend) {
        state.hedgeAt = now + retryInterval;
        return;
    }
    if (m_hooks.tryWithdraw(service, now))
        sendTo(part, backend, now, out);
}

void Call::onTimer(TimePoint now, CallActions &out)
{
    if (m_finished)
        return;
    if (now >= m_retryAt) {
        m_retryAt = TimePoint::max();
        for (std::size_t part = 0; part < m_parts.size(); ++part) {
            if (m_parts[part].waiting)
                trySend(part, now, out);
        }
    }
    for (std::size_t part = 0; part < m_parts.size(); ++part) {
        if (m_parts[part].hedgeAt <= now)
            hedge(part, now, out);
    }
    finishIfDecided(now, out);
}

TimePoint Call::nextTimer(TimePoint now) const
{
    auto wake = std::min(m_times.deadline, m_retryAt);
    for (const auto &it : m_parts)
        wake = std::min(wake, it.hedgeAt);
    if (m_route.fansOut() && now < m_times.objectiveAt)
        wake = std::min(wake, m_times.objectiveAt);
    if (!mayHaveExecuted())
        wake = std::min(wake, m_times.refuseAt);
    return wake;
}

bool Call::mayHaveExecuted() const
{
    return std::any_of(m_parts.begin(), m_parts.end(),
                       [](const Part &it) { return it.mayHaveExecuted > 0; });
}

bool Call::meetsMinShare(std::size_t parts) const
{
    if (!m_route.fansOut())
        return parts == m_parts.size();
    // Tolerance for rounding errors, as with a share of 0.9 of ten parts.
    constexpr double rounding = 1e-9;
    const double share = static_cast<double>(parts) / static_cast<double>(m_parts.size());
    return parts > 0 && share >= m_route.minShardShare - rounding;
}

void Call::finishIfDecided(TimePoint now, CallActions &out)
{
    if (m_finished)
        return;
    std::size_t done = 0;
    std::size_t lost = 0;
    for (const auto &it : m_parts) {
        done += it.done ? 1 : 0;
        lost += it.lost ? 1 : 0;
    }
    const auto success = m_route.fansOut() ? CallOutcome::Merged : CallOutcome::Passed;
    if (done + lost == m_parts.size() && meetsMinShare(done))
        return finish(success, out);
    if (m_blocked && m_attempts.empty())
        return finish(CallOutcome::Blocked, out);
    if (!meetsMinShare(m_parts.size() - lost))
        return finishUnanswered(CallOutcome::Failed, out);
    // From the objective on, a partial response is sent instead of waiting for late parts.
    if (m_route.fansOut() && now >= m_times.objectiveAt && meetsMinShare(done))
        return finish(success, out);
    if (now >= m_times.deadline)
        return finishUnanswered(CallOutcome::TimedOut, out);
    if (now >= m_times.refuseAt && !mayHaveExecuted())
        return finishUnanswered(CallOutcome::Refused, out);
}

void Call::finishUnanswered(CallOutcome outcomeIfExecuted, CallActions &out)
{
    if (!mayHaveExecuted())
        return finish(CallOutcome::Refused, out);
    finish(m_hasFailureResponse ? CallOutcome::PassedFailure : outcomeIfExecuted, out);
}

void Call::refuse(core::Duration expectedWait, CallActions &out)
{
    finish(CallOutcome::Refused, out);
    std::get<Finish>(out.back()).expectedWait = expectedWait;
}

void Call::finish(CallOutcome outcome, CallActions &out)
{
    m_finished = true;
    Finish action;
    action.outcome = outcome;
    if (outcome == CallOutcome::Merged || outcome == CallOutcome::Passed) {
        for (std::size_t part = 0; part < m_parts.size(); ++part) {
            if (m_parts[part].done)
                action.parts.push_back(part);
        }
    }
    out.push_back(std::move(action));
}

} // namespace goldcrestline::policy::forward
