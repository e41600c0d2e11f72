#include "daemon/forward/forward_service.h"

#include "adapters/logging/log.h"
#include "core/result_code.h"
#include "platform/names.h"
#include "policy/forward/records.h"

#include <algorithm>

namespace goldcrestline::daemon::forward {

using core::ResultCode;
using core::TimePoint;
using policy::forward::AttemptError;
using policy::forward::AttemptOutcome;
using policy::forward::Call;
using policy::forward::CallActions;
using policy::forward::CallOutcome;
using policy::forward::CallRank;
using policy::forward::Finish;
using policy::forward::ReplyKind;
using policy::forward::Route;

namespace {

constexpr adapters::logging::LogChannel log("forward:");

// Time for which an attempt that is no longer needed may end, so that its connection survives;
// above the pauses of servers and below the half second in which work has to stop.
constexpr core::Millis loserGrace{250};
// Time that a caller is asked to wait before it comes back, at least and at most.
constexpr double shortestReturnMs = 60;
constexpr double longestReturnMs = 140;

constexpr core::NameTable<CallOutcome, 6> endNames{{
    {CallOutcome::Passed, "passed"},
    {CallOutcome::PassedFailure, "server failure"},
    {CallOutcome::Merged, "merged"},
    {CallOutcome::Refused, "refused"},
    {CallOutcome::Failed, "failed"},
    {CallOutcome::TimedOut, "timed out"},
}};

ports::Outgoing refusal(ResultCode code, const std::string &detail = {},
                        std::optional<core::Millis> retryAfter = std::nullopt)
{
    const auto &info = core::infoOf(code);
    auto text = std::string(info.text);
    if (!detail.empty())
        text += ": " + detail;
    return platform::ownAnswer(info.httpStatus, static_cast<int>(code), text, retryAfter);
}

} // namespace

ForwardService::ForwardService(ForwardLimits limits, policy::forward::BackendTable &backends,
                               adapters::loop::ExchangeClient &client,
                               std::function<double()> random, std::function<bool()> serversKnown)
    : m_limits(limits), m_backends(backends), m_client(client), m_random(std::move(random)),
      m_serversKnown(std::move(serversKnown))
{
    m_hooks.pick = [this](const std::string &service, CallRank rank, const auto &exclude,
                          TimePoint now) -> policy::forward::BackendPtr {
        if (m_line.hasAhead(service, rank))
            return nullptr;
        return m_backends.pick(service, exclude, now);
    };
    m_hooks.hasUsable = [this](const std::string &service, const auto &exclude, TimePoint now) {
        return m_backends.hasUsable(service, exclude, now) || !m_serversKnown();
    };
    m_hooks.estimateLatency = [this](const std::string &service, CallRank rank, TimePoint now) {
        return m_backends.estimateLatency(service, m_line.countAhead(service, rank), now);
    };
    m_hooks.tryWithdraw = [this](const std::string &service, TimePoint) {
        return budget(service).tryWithdraw();
    };
    m_hooks.deposit = [this](const std::string &service, TimePoint) { budget(service).deposit(); };
    m_hooks.hedgeDelay = [this](const std::string &route) { return m_lateness.hedgeDelay(route); };
    m_hooks.nextAttempt = [this] { return ++m_lastAttempt; };
}

policy::retry::Budget &ForwardService::budget(const std::string &service)
{
    return m_budgets.try_emplace(service, m_limits.extraShare, m_limits.extraBurst).first->second;
}

void ForwardService::setRoutes(policy::forward::RouteTablePtr table)
{
    m_table = std::move(table);
}

void ForwardService::setExtraBurst(double burst)
{
    if (burst == m_limits.extraBurst)
        return;
    m_limits.extraBurst = burst;
    for (auto &it : m_budgets)
        it.second.setBurst(burst);
}

core::Millis ForwardService::retryAfter()
{
    const double ms = shortestReturnMs + m_random() * (longestReturnMs - shortestReturnMs);
    return core::Millis(static_cast<std::int64_t>(ms));
}

void ForwardService::handle(adapters::loop::FrontCall call, TimePoint now)
{
    ++m_counters.requests;
    if (!m_table) {
        ++m_counters.refused;
        return call.respond(refusal(ResultCode::NoConfiguration, {}, retryAfter()));
    }
    const auto note = platform::readCaller(call.request);
    const auto *route = m_table->find(note.host, note.path);
    if (route == nullptr) {
        log.info("no route id=" + note.requestId + " host=" + note.host + " path=" + note.path
                 + " version=" + std::to_string(m_table->version()));
        return call.respond(refusal(ResultCode::NoRoute));
    }
    begin(call, note, *route, now);
}

policy::forward::CallTimes ForwardService::timesOf(const platform::CallerNote &note,
                                                   const Route &route, TimePoint now)
{
    auto patience = route.timeout;
    core::Millis spent{0};
    if (note.patience) {
        patience = std::min(patience, *note.patience - m_limits.callerTransit);
        const core::Millis mostSpent(static_cast<std::int64_t>(
            m_limits.spentShare * static_cast<double>(route.objective.count())));
        spent = std::min(mostSpent, m_patience.elapsed(route.name, *note.patience, now));
    }
    policy::forward::CallTimes times;
    times.startedAt = now;
    times.deadline = now + patience;
    times.objectiveAt = now + route.objective - spent - m_limits.callerTransit;
    times.refuseAt =
        now + std::chrono::duration_cast<core::Duration>(route.objective * m_limits.refuseShare);
    return times;
}

void ForwardService::begin(adapters::loop::FrontCall &call, const platform::CallerNote &note,
                           const Route &route, TimePoint now)
{
    auto services = route.shards;
    if (!route.fansOut())
        services.push_back(m_split.next(route));
    const auto parts = services.size();
    const auto id = ++m_lastCall;
    auto running = std::make_unique<Running>(
        Call(m_table, route, std::move(services), id, timesOf(note, route, now), m_hooks),
        std::move(call.respond));
    running->requestId = note.requestId;
    running->head = std::make_shared<const std::string>(platform::commonHead(call.request));
    running->body = std::make_shared<const std::string>(std::move(call.request.body));
    running->bodyless = call.request.method == "HEAD";
    running->parts.resize(parts);
    auto &stored = *running;
    m_calls[id] = std::move(running);
    m_byFrontCall[call.id] = id;
    stored.frontCall = call.id;
    CallActions actions;
    stored.call.start(now, actions);
    apply(id, actions, now);
}

void ForwardService::apply(std::uint64_t id, CallActions &actions, TimePoint now)
{
    const auto it = m_calls.find(id);
    if (it == m_calls.end())
        return;
    auto &running = *it->second;
    for (const auto &action : actions) {
        if (const auto *order = std::get_if<policy::forward::Send>(&action)) {
            send(id, running, *order, now);
        } else {
            return finish(id, running, std::get<Finish>(action), now);
        }
    }
    m_line.update(id, running.call);
    schedule(id, running, now);
}

void ForwardService::send(std::uint64_t id, Running &running, const policy::forward::Send &order,
                          TimePoint now)
{
    ports::ExchangeRequest request;
    request.commonHead = running.head;
    const auto left = std::chrono::duration_cast<core::Millis>(running.call.times().deadline - now);
    request.ownHead =
        platform::attemptHead(order.backend->record.id, std::max(left, core::Millis(1)));
    request.body = running.body;
    request.bodyless = running.bodyless;
    if (!running.requestId.empty()) {
        request.identityHeader = platform::names::requestId;
        request.identity = running.requestId;
    }
    ++m_counters.attempts;
    m_backends.onSent(*order.backend, now);
    auto &attempt = m_attempts[order.attempt];
    attempt.call = id;
    attempt.route = running.call.route().name;
    attempt.backend = order.backend;
    attempt.sentAt = now;
    attempt.exchange =
        m_client.send(order.backend->record.address, std::move(request), now,
                      [this, attemptId = order.attempt](ports::ExchangeResult result) {
                          onExchange(attemptId, std::move(result), core::Clock::now());
                      });
}

void ForwardService::onExchange(policy::forward::AttemptId id, ports::ExchangeResult result,
                                TimePoint now)
{
    const auto it = m_attempts.find(id);
    if (it == m_attempts.end())
        return;
    const auto attempt = std::move(it->second);
    m_attempts.erase(it);
    m_late.erase({attempt.closeAt, id});
    const auto service = attempt.backend->record.service;
    onResponse(id, attempt, std::move(result), now);
    offerRoom(service, now);
}

void ForwardService::onResponse(policy::forward::AttemptId id, const Attempt &attempt,
                                ports::ExchangeResult result, TimePoint now)
{
    auto &backend = *attempt.backend;
    const auto call = m_calls.find(attempt.call);
    auto *running = call == m_calls.end() ? nullptr : call->second.get();
    CallActions actions;
    if (result.end != ports::ExchangeEnd::Answered) {
        const bool reached = result.end == ports::ExchangeEnd::Broken;
        learn(attempt, reached ? AttemptOutcome::Failed : AttemptOutcome::NotReached, now);
        if (running == nullptr)
            return;
        running->call.onError(id, reached ? AttemptError::Broken : AttemptError::NotReached, now,
                              actions);
        return apply(attempt.call, actions, now);
    }
    const auto reply = platform::readServer(result);
    if (reply.load) {
        m_backends.onLoadReport(backend, reply.load->running, reply.load->waiting,
                                reply.load->slots, now);
    }
    learn(attempt, endOf(reply), now);
    if (running == nullptr)
        return;
    if (!reply.usable) {
        running->call.onError(id, AttemptError::Broken, now, actions);
        return apply(attempt.call, actions, now);
    }
    keepResponse(*running, id, reply, std::move(result));
    running->call.onReply(id, reply.kind, now, actions);
    apply(attempt.call, actions, now);
}

void ForwardService::learn(const Attempt &attempt, AttemptOutcome end, TimePoint now)
{
    m_backends.onEnded(*attempt.backend, end, attempt.sentAt, now);
    if (end == AttemptOutcome::Answered || end == AttemptOutcome::TimedOut)
        m_lateness.add(attempt.route, now - attempt.sentAt);
}

AttemptOutcome ForwardService::endOf(const platform::ServerReply &reply)
{
    if (!reply.usable)
        return AttemptOutcome::Failed;
    switch (reply.kind) {
    case ReplyKind::Success:
    case ReplyKind::NonRetryable:
        return AttemptOutcome::Answered;
    case ReplyKind::Failure:
        return AttemptOutcome::Failed;
    case ReplyKind::NotExecuted:
        return AttemptOutcome::Refused;
    case ReplyKind::Misdirected:
        return AttemptOutcome::Misdirected;
    }
    return AttemptOutcome::Failed;
}

void ForwardService::keepResponse(Running &running, policy::forward::AttemptId id,
                                  const platform::ServerReply &reply, ports::ExchangeResult result)
{
    const auto part = running.call.partOf(id);
    if (!part || running.call.partDone(*part))
        return;
    if (reply.kind == ReplyKind::NotExecuted || reply.kind == ReplyKind::Misdirected)
        return;
    if (!running.call.route().fansOut()) {
        running.response = std::move(result);
        return;
    }
    if (reply.kind == ReplyKind::Success)
        running.parts[*part] = {reply.proof, std::move(result.body)};
}

void ForwardService::finish(std::uint64_t id, Running &running, const Finish &finish, TimePoint now)
{
    count(running, finish, now);
    logEnd(running, finish, now);
    detach(id, now + loserGrace, false);
    m_line.remove(id, running.call);
    m_wakes.erase({running.wakeAt, id});
    m_byFrontCall.erase(running.frontCall);
    const auto keep = std::move(m_calls[id]);
    m_calls.erase(id);
    keep->respond(answerOf(*keep, finish));
}

ports::Outgoing ForwardService::answerOf(Running &running, const Finish &finish)
{
    switch (finish.outcome) {
    case CallOutcome::PassedFailure:
        // A server that ran the request may still answer with such a status.
        if (platform::promisesNotRun(running.response.status))
            return refusal(ResultCode::ServersFailed);
        return platform::passOn(std::move(running.response));
    case CallOutcome::Passed:
        return platform::passOn(std::move(running.response));
    case CallOutcome::Merged: {
        std::vector<std::string> proofs;
        std::vector<std::string_view> bodies;
        for (const auto part : finish.parts) {
            proofs.push_back(running.parts[part].proof);
            bodies.emplace_back(running.parts[part].body);
        }
        return platform::mergedAnswer(
            proofs, running.parts.size() - finish.parts.size(),
            policy::forward::mergeTop(bodies, running.call.route().topRecords));
    }
    case CallOutcome::Refused:
        return refusal(ResultCode::NoServerAvailable, {}, retryAfter());
    case CallOutcome::Failed:
        return refusal(ResultCode::ServersFailed);
    case CallOutcome::TimedOut:
        return refusal(ResultCode::NothingInTime);
    }
    return refusal(ResultCode::ServersFailed);
}

void ForwardService::count(const Running &running, const Finish &finish, TimePoint now)
{
    m_counters.addLatency(core::toMillis(now - running.call.times().startedAt));
    m_counters.extraAttempts += static_cast<std::uint64_t>(
        std::max(0, running.call.attempts() - static_cast<int>(running.parts.size())));
    switch (finish.outcome) {
    case CallOutcome::Passed:
    case CallOutcome::Merged:
        ++m_counters.answered;
        if (finish.parts.size() < running.parts.size())
            ++m_counters.thin;
        return;
    case CallOutcome::Refused:
        ++m_counters.refused;
        return;
    case CallOutcome::PassedFailure:
    case CallOutcome::Failed:
        ++m_counters.failed;
        return;
    case CallOutcome::TimedOut:
        ++m_counters.timedOut;
        return;
    }
}

void ForwardService::logEnd(const Running &running, const Finish &finish, TimePoint now) const
{
    const auto &call = running.call;
    const auto tookMs = static_cast<int>(core::toMillis(now - call.times().startedAt));
    std::string line = "end id=" + running.requestId + " route=" + call.route().name
        + " end=" + std::string(core::nameIn(endNames, finish.outcome))
        + " ms=" + std::to_string(tookMs) + " parts=" + std::to_string(finish.parts.size()) + "/"
        + std::to_string(running.parts.size()) + " attempts=" + std::to_string(call.attempts());
    const bool plain =
        finish.outcome == CallOutcome::Passed || finish.outcome == CallOutcome::Merged;
    if (plain && finish.parts.size() == running.parts.size())
        return log.debug(line);
    for (const auto &it : call.describeParts(now))
        line += " " + it;
    log.info(line);
}

void ForwardService::detach(std::uint64_t id, TimePoint closeAt, bool withdrawn)
{
    for (const auto attemptId : m_calls.at(id)->call.attemptsInFlight()) {
        const auto it = m_attempts.find(attemptId);
        if (it == m_attempts.end())
            continue;
        it->second.closeAt = closeAt;
        it->second.withdrawn = withdrawn;
        m_late.insert({closeAt, attemptId});
    }
}

void ForwardService::onGone(std::uint64_t frontCall, TimePoint now)
{
    const auto known = m_byFrontCall.find(frontCall);
    if (known == m_byFrontCall.end())
        return;
    const auto id = known->second;
    auto &running = *m_calls.at(id);
    ++m_counters.left;
    log.info("caller left id=" + running.requestId);
    detach(id, now + loserGrace, true);
    m_line.remove(id, running.call);
    m_wakes.erase({running.wakeAt, id});
    m_byFrontCall.erase(known);
    m_calls.erase(id);
}

void ForwardService::closeLate(TimePoint now)
{
    while (!m_late.empty() && m_late.begin()->first <= now) {
        const auto id = m_late.begin()->second;
        m_late.erase(m_late.begin());
        const auto it = m_attempts.find(id);
        if (it == m_attempts.end())
            continue;
        const auto attempt = std::move(it->second);
        m_attempts.erase(it);
        m_client.abort(attempt.exchange);
        learn(attempt, attempt.withdrawn ? AttemptOutcome::Cancelled : AttemptOutcome::TimedOut,
              now);
        offerRoom(attempt.backend->record.service, now);
    }
}

void ForwardService::tick(TimePoint now)
{
    while (!m_wakes.empty() && m_wakes.begin()->first <= now) {
        const auto id = m_wakes.begin()->second;
        m_wakes.erase(m_wakes.begin());
        auto &running = *m_calls.at(id);
        running.wakeAt = TimePoint::max();
        CallActions actions;
        running.call.onTimer(now, actions);
        apply(id, actions, now);
    }
    closeLate(now);
}

TimePoint ForwardService::nextAt() const
{
    auto next = TimePoint::max();
    if (!m_wakes.empty())
        next = m_wakes.begin()->first;
    if (!m_late.empty())
        next = std::min(next, m_late.begin()->first);
    return next;
}

void ForwardService::schedule(std::uint64_t id, Running &running, TimePoint now)
{
    const auto wake = running.call.nextTimer(now);
    if (wake == running.wakeAt)
        return;
    m_wakes.erase({running.wakeAt, id});
    running.wakeAt = wake;
    m_wakes.insert({wake, id});
}

void ForwardService::offerRoom(const std::string &service, TimePoint now)
{
    // A copy, since each offer may change the line.
    for (const auto &entry : m_line.entries(service)) {
        if (m_backends.countAvailable(service, now) == 0)
            return;
        const auto call = m_calls.find(entry.call);
        if (call == m_calls.end())
            continue;
        CallActions actions;
        call->second->call.onCapacityFree(entry.part, now, actions);
        apply(entry.call, actions, now);
    }
}

} // namespace goldcrestline::daemon::forward
