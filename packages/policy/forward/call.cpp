#include "policy/forward/call.h"

#include <algorithm>

namespace goldcrestline::policy::forward {

using core::TimePoint;

namespace {

// Servers that one part may try while all of them refuse to start the request.
constexpr std::size_t triesAtMost = 4;
// A part is left out from this many times the time that is left: the expectation is rough, and a
// part that comes in time is worth more than the work that it costs.
constexpr double surelyLate = 1.25;
// Wait for a slot, as a share of the time that is left, that is worth refusing a late request for:
// the same margin, so that idle servers are always asked.
constexpr double longWait = surelyLate - 1;
// Pause before a part that found no room, or no budget, looks again.
constexpr core::Duration retryPause = std::chrono::milliseconds(10);

} // namespace

Call::Call(RouteTablePtr table, const Route &route, std::vector<std::string> services,
           std::uint64_t sequence, CallTimes times, const CallHooks &hooks)
    : m_table(std::move(table)), m_route(route), m_services(std::move(services)),
      m_sequence(sequence), m_times(times), m_hooks(hooks), m_parts(m_services.size())
{ }

void Call::start(TimePoint now, CallActions &out)
{
    admit(now, out);
    if (m_finished)
        return;
    for (std::size_t part = 0; part < m_parts.size(); ++part) {
        m_hooks.deposit(m_services[part], now);
        if (!m_parts[part].lost)
            trySend(part, now, out);
    }
    conclude(now, out);
}

std::vector<Call::LatePart> Call::findLateParts(TimePoint now)
{
    const double leftMs = core::toMillis(m_times.objectiveAt - now);
    std::vector<LatePart> late;
    for (std::size_t part = 0; part < m_parts.size(); ++part) {
        const auto estimateLatency = m_hooks.estimateLatency(m_services[part], rank(), now);
        if (!estimateLatency && !m_hooks.hasUsable(m_services[part], {}, now)) {
            m_parts[part].lost = true;
        } else if (estimateLatency && leftMs > 0 && estimateLatency->answerMs > leftMs) {
            late.push_back({part, *estimateLatency});
        }
    }
    std::sort(late.begin(), late.end(), [](const LatePart &a, const LatePart &b) {
        return a.estimateLatency.answerMs > b.estimateLatency.answerMs;
    });
    return late;
}

void Call::admit(TimePoint now, CallActions &out)
{
    if (now >= m_times.deadline)
        return finish(CallOutcome::Refused, out);
    const double leftMs = core::toMillis(m_times.objectiveAt - now);
    const auto late = findLateParts(now);
    auto possible = static_cast<std::size_t>(
        std::count_if(m_parts.begin(), m_parts.end(), [](const Part &it) { return !it.lost; }));
    for (const auto &it : late) {
        m_parts[it.part].expectedMs = it.estimateLatency.answerMs;
        if (m_route.fansOut() && enough(possible - 1)) {
            // The answer does without the part; its servers have room for those who need it.
            m_parts[it.part].lost = it.estimateLatency.answerMs > surelyLate * leftMs;
            --possible;
        } else if (hopeless(it.estimateLatency, now)) {
            return finish(CallOutcome::Refused, out);
        }
    }
    if (!enough(possible))
        finish(CallOutcome::Refused, out);
}

bool Call::hopeless(const Outlook &estimateLatency, TimePoint now) const
{
    if (estimateLatency.answerMs > core::toMillis(m_times.deadline - now))
        return true;
    const double leftMs = core::toMillis(m_times.objectiveAt - now);
    // Servers that are too slow for the objective even when idle still serve late; where the queue
    // is too long, further requests would make all of them late.
    return estimateLatency.workMs <= surelyLate * leftMs
        && estimateLatency.answerMs - estimateLatency.workMs > longWait * leftMs;
}

void Call::trySend(std::size_t part, TimePoint now, CallActions &out)
{
    auto &state = m_parts[part];
    const auto &service = m_services[part];
    state.waiting = false;
    if (auto backend = m_hooks.pick(service, rank(), state.tried, now)) {
        // Only the first attempt is free.
        if (state.tried.empty() || m_hooks.tryWithdraw(service, now))
            return sendTo(part, backend, now, out);
    } else if (!m_hooks.hasUsable(service, state.tried, now)) {
        state.lost = state.live == 0;
        return;
    }
    state.waiting = true;
    m_retryAt = std::min(m_retryAt, now + retryPause);
}

void Call::sendTo(std::size_t part, const BackendPtr &backend, TimePoint now, CallActions &out)
{
    auto &state = m_parts[part];
    const auto id = m_hooks.nextAttempt();
    state.tried.push_back(backend);
    ++state.live;
    ++state.mayHaveRun;
    ++m_attemptsSent;
    state.hedgeAt = TimePoint::max();
    if (m_route.idempotency == Idempotency::Idempotent && state.live == 1)
        state.hedgeAt = now + m_hooks.hedgeDelay(m_route.name);
    m_attempts.push_back({id, part, backend});
    out.push_back(Send{id, part, backend});
}

bool Call::mayTryAgain(const Part &part) const
{
    if (part.tried.size() >= triesAtMost)
        return false;
    if (m_route.idempotency == Idempotency::NonIdempotent)
        return part.mayHaveRun == 0;
    return part.mayHaveRun < m_route.maxAttempts;
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

bool Call::anyWaiting() const
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

std::optional<Call::Attempt> Call::take(AttemptId attempt)
{
    const auto it = std::find_if(m_attempts.begin(), m_attempts.end(),
                                 [&](const Attempt &other) { return other.id == attempt; });
    if (it == m_attempts.end())
        return std::nullopt;
    Attempt taken = *it;
    m_attempts.erase(it);
    --m_parts[taken.part].live;
    return taken;
}

void Call::onReply(AttemptId attempt, ReplyKind kind, TimePoint now, CallActions &out)
{
    const auto taken = take(attempt);
    if (m_finished || !taken)
        return;
    auto &part = m_parts[taken->part];
    if (part.done)
        return;
    switch (kind) {
    case ReplyKind::Success:
        part.done = true;
        part.waiting = false;
        part.hedgeAt = TimePoint::max();
        return conclude(now, out);
    case ReplyKind::Failure:
        m_failurePassable = !m_route.fansOut();
        break;
    case ReplyKind::NonRetryable:
        if (!m_route.fansOut())
            return finish(CallOutcome::PassedFailure, out);
        part.lost = part.live == 0;
        return conclude(now, out);
    case ReplyKind::NotExecuted:
    case ReplyKind::Misdirected:
        --part.mayHaveRun;
        break;
    }
    if (part.live == 0) {
        part.lost = !mayTryAgain(part);
        if (!part.lost)
            trySend(taken->part, now, out);
    }
    conclude(now, out);
}

void Call::onError(AttemptId attempt, AttemptError loss, TimePoint now, CallActions &out)
{
    const auto taken = take(attempt);
    if (m_finished || !taken)
        return;
    auto &part = m_parts[taken->part];
    if (loss == AttemptError::NotReached)
        --part.mayHaveRun;
    if (!part.done && part.live == 0) {
        part.lost = !mayTryAgain(part);
        if (!part.lost)
            trySend(taken->part, now, out);
    }
    conclude(now, out);
}

void Call::onCapacityFree(std::size_t part, TimePoint now, CallActions &out)
{
    if (m_finished || !m_parts[part].waiting)
        return;
    trySend(part, now, out);
    conclude(now, out);
}

void Call::hedge(std::size_t part, TimePoint now, CallActions &out)
{
    auto &state = m_parts[part];
    const auto &service = m_services[part];
    state.hedgeAt = TimePoint::max();
    if (state.done || state.live != 1 || !mayTryAgain(state))
        return;
    const auto backend = m_hooks.pick(service, rank(), state.tried, now);
    if (!backend) {
        state.hedgeAt = now + retryPause;
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
    conclude(now, out);
}

TimePoint Call::nextTimer(TimePoint now) const
{
    auto wake = std::min(m_times.deadline, m_retryAt);
    for (const auto &it : m_parts)
        wake = std::min(wake, it.hedgeAt);
    if (m_route.fansOut() && now < m_times.objectiveAt)
        wake = std::min(wake, m_times.objectiveAt);
    if (!mayHaveRun())
        wake = std::min(wake, m_times.refuseAt);
    return wake;
}

bool Call::mayHaveRun() const
{
    return std::any_of(m_parts.begin(), m_parts.end(),
                       [](const Part &it) { return it.mayHaveRun > 0; });
}

bool Call::enough(std::size_t parts) const
{
    if (!m_route.fansOut())
        return parts == m_parts.size();
    // Tolerates the rounding of a share such as 0.9 of ten.
    constexpr double rounding = 1e-9;
    const double share = static_cast<double>(parts) / static_cast<double>(m_parts.size());
    return parts > 0 && share >= m_route.minShardShare - rounding;
}

void Call::conclude(TimePoint now, CallActions &out)
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
    if (done + lost == m_parts.size() && enough(done))
        return finish(success, out);
    if (!enough(m_parts.size() - lost))
        return fail(CallOutcome::Failed, out);
    // Late parts are worth less than an answer on time.
    if (m_route.fansOut() && now >= m_times.objectiveAt && enough(done))
        return finish(success, out);
    if (now >= m_times.deadline)
        return fail(CallOutcome::TimedOut, out);
    if (now >= m_times.refuseAt && !mayHaveRun())
        return fail(CallOutcome::Refused, out);
}

void Call::fail(CallOutcome ifItMayHaveRun, CallActions &out)
{
    if (!mayHaveRun())
        return finish(CallOutcome::Refused, out);
    finish(m_failurePassable ? CallOutcome::PassedFailure : ifItMayHaveRun, out);
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
