#include "daemon/forward/forward_service.h"

#include "adapters/logging/log.h"
#include "daemon/forward/error_response.h"
#include "platform/names.h"
#include "policy/forward/records.h"
#include "policy/forward/retry_delay.h"

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
using policy::forward::SendPermission;
using policy::quarantine::Handling;
using policy::quarantine::ServerState;

namespace {

constexpr adapters::logging::LogChannel log("forward:");

// Time for which an attempt that is no longer needed may still complete, so that its connection can
// be reused. It exceeds the pauses of servers and stays below the limit of half a second within
// which cancelled work has to stop.
constexpr core::Millis detachedAttemptGrace{250};
// Interval at which waiting requests are tried again while servers are cold: no response tells when
// their limits allow a further one.
constexpr core::Millis coldCheckInterval{10};
constexpr core::NameTable<CallOutcome, 7> outcomeNames{{
    {CallOutcome::Passed, "passed"},
    {CallOutcome::PassedFailure, "server failure"},
    {CallOutcome::Merged, "merged"},
    {CallOutcome::Refused, "refused"},
    {CallOutcome::Failed, "failed"},
    {CallOutcome::TimedOut, "timed out"},
    {CallOutcome::Blocked, "blocked"},
}};

// Returns whether the server responded at all.
bool isResponse(AttemptOutcome outcome)
{
    return outcome == AttemptOutcome::Answered || outcome == AttemptOutcome::Refused
        || outcome == AttemptOutcome::Misdirected;
}

} // namespace

ForwardService::ForwardService(ForwardLimits limits, policy::forward::BackendTable &backends,
                               adapters::loop::ExchangeClient &client,
                               policy::quarantine::RequestQuarantine &quarantine,
                               ForwardHooks hooks)
    : m_limits(limits), m_backends(backends), m_client(client), m_hostHooks(std::move(hooks)),
      m_quarantine(quarantine),
      m_crashMonitor(backends, client, quarantine, m_hostHooks.onCrashRecorded)
{
    m_hooks.pick = [this](const std::string &service, CallRank rank, const auto &exclude,
                          TimePoint now) -> policy::forward::BackendPtr {
        if (m_waitQueue.hasAhead(service, rank))
            return nullptr;
        return m_backends.pick(service, exclude, now);
    };
    m_hooks.hasUsable = [this](const std::string &service, const auto &exclude, TimePoint now) {
        return m_backends.hasUsable(service, exclude, now) || !m_hostHooks.serversKnown();
    };
    m_hooks.estimateLatency = [this](const std::string &service, CallRank rank, TimePoint now) {
        return m_fair.estimateLatency(service, rank, now);
    };
    m_hooks.availableAgainAt = [this](const std::string &service, TimePoint now) {
        return m_backends.availableAgainAt(service, now);
    };
    m_hooks.tryWithdraw = [this](const std::string &service, TimePoint) {
        return budget(service).tryWithdraw();
    };
    m_hooks.deposit = [this](const std::string &service, TimePoint) { budget(service).deposit(); };
    m_hooks.hedgeDelay = [this](const std::string &route) {
        return m_hedgeDelay.hedgeDelay(route);
    };
    m_hooks.permission = [this](std::uint64_t id, TimePoint now) { return permission(id, now); };
    m_hooks.leavesOut = [this](std::uint64_t id, const auto &service, bool broke, TimePoint now) {
        return !m_quarantine.empty()
            && m_quarantine.leavesOut(m_calls.at(id)->content->digestAt(service), broke, now);
    };
    m_hooks.nextAttempt = [this] { return ++m_lastAttempt; };
}

SendPermission ForwardService::permission(std::uint64_t id, TimePoint now) const
{
    const auto &running = *m_calls.at(id);
    if (!running.workspace.empty() && !m_hostHooks.accessAllowed(running.keyDigest))
        return SendPermission::Withdrawn;
    if (running.attemptsHeld > 0)
        return SendPermission::Later;
    if (m_quarantine.empty())
        return SendPermission::Any;
    switch (m_quarantine.handling(running.content->digests(), now)) {
    case Handling::Normal:
        return SendPermission::Any;
    case Handling::OneServer:
        return SendPermission::OneAtATime;
    case Handling::OneCall:
        return isRunningElsewhere(id, *running.content) ? SendPermission::Later
                                                        : SendPermission::Once;
    case Handling::Paused:
        return SendPermission::Later;
    case Handling::Blocked:
        return SendPermission::Never;
    }
    return SendPermission::Any;
}

bool ForwardService::isRunningElsewhere(std::uint64_t id,
                                        const policy::quarantine::RequestContent &content) const
{
    const auto &widest = content.digests().back();
    return std::any_of(m_attempts.begin(), m_attempts.end(), [&](const auto &it) {
        return it.second.call != id && it.second.content->digests().back() == widest;
    });
}

policy::retry::Budget &ForwardService::budget(const std::string &service)
{
    return m_budgets.try_emplace(service, m_limits.extraAttemptShare, m_limits.extraBurst)
        .first->second;
}

void ForwardService::setExtraBurst(double burst)
{
    if (burst == m_limits.extraBurst)
        return;
    m_limits.extraBurst = burst;
    for (auto &it : m_budgets)
        it.second.setBurst(burst);
}

policy::forward::CallTimes ForwardService::makeCallTimes(const AdmittedRequest &request)
{
    const auto &route = *request.route;
    const auto receivedAt = request.receivedAt;
    auto timeout = route.timeout;
    core::Millis elapsedBefore{0};
    if (const auto callerTimeout = request.metadata.callerTimeout) {
        timeout = std::min(timeout, *callerTimeout - m_limits.callerRoundTrip);
        const core::Millis maxElapsed(static_cast<std::int64_t>(
            m_limits.maxElapsedShare * static_cast<double>(route.objective.count())));
        elapsedBefore =
            std::min(maxElapsed, m_elapsedTime.elapsed(route.name, *callerTimeout, receivedAt));
    }
    policy::forward::CallTimes times;
    times.startedAt = receivedAt;
    times.deadline = std::min(receivedAt + timeout, m_endAt);
    times.objectiveAt = receivedAt + route.objective - elapsedBefore - m_limits.callerRoundTrip;
    times.refuseAt = receivedAt
        + std::chrono::duration_cast<core::Duration>(route.objective * m_limits.maxQueueShare);
    return times;
}

void ForwardService::shutDown(TimePoint endAt, TimePoint now)
{
    m_endAt = endAt;
    for (auto &it : m_calls) {
        it.second->call.limitDeadline(endAt);
        scheduleTimer(it.first, *it.second, now);
    }
}

bool ForwardService::refuseLate(AdmittedRequest &request, TimePoint now)
{
    if (now + request.route->objective <= m_endAt)
        return false;
    ++m_counters.refused;
    log.info("refused while stopping id=" + request.metadata.requestId
             + " route=" + request.route->name);
    if (!request.workspace.empty())
        m_hostHooks.onNotExecuted(request.workspace, now);
    request.call.respond(
        errorResponseFor(ResultCode::HostStopping, {}, policy::forward::retryDelay({}, 0)));
    return true;
}

void ForwardService::handle(AdmittedRequest request, TimePoint now)
{
    if (refuseLate(request, now))
        return;
    const auto &route = *request.route;
    auto &call = request.call;
    auto services = route.shards;
    if (!route.fansOut())
        services.push_back(m_trafficSplit.next(route));
    const auto parts = services.size();
    const auto id = ++m_lastCall;
    const auto times = makeCallTimes(request);
    CallRank rank{request.priority, 0, id};
    // Without workspaces, calls of a priority are served by age.
    if (request.table->workspaces()) {
        rank = m_fair.begin(
            id, {request.priority, request.workspace, route.name, services, times.objectiveAt},
            now);
    }
    auto running = std::make_unique<RunningCall>(
        Call(request.table, route, std::move(services), rank, times, m_hooks),
        std::move(call.respond));
    running->requestId = request.metadata.requestId;
    running->workspace = std::move(request.workspace);
    running->keyDigest = std::move(request.keyDigest);
    running->head = std::make_shared<const std::string>(platform::sharedHead(call.request));
    running->body = std::make_shared<const std::string>(std::move(call.request.body));
    running->content = std::make_shared<const policy::quarantine::RequestContent>(
        std::move(call.callerAddress), call.request.method, request.metadata.host,
        call.request.target, running->body);
    running->bodyless = call.request.method == "HEAD";
    running->parts.resize(parts);
    auto &stored = *running;
    m_calls[id] = std::move(running);
    m_byHttpCall[call.id] = id;
    stored.httpCallId = call.id;
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
        if (const auto *sendAction = std::get_if<policy::forward::Send>(&action)) {
            send(id, running, *sendAction, now);
        } else {
            return finish(id, running, std::get<Finish>(action), now);
        }
    }
    m_waitQueue.update(id, running.call);
    scheduleTimer(id, running, now);
}

void ForwardService::send(std::uint64_t id, RunningCall &running,
                          const policy::forward::Send &sendAction, TimePoint now)
{
    ports::ExchangeRequest request;
    request.commonHead = running.head;
    const auto remaining =
        std::chrono::duration_cast<core::Millis>(running.call.times().deadline - now);
    request.attemptHead =
        platform::attemptHead(sendAction.backend->record.id, std::max(remaining, core::Millis(1)));
    request.body = running.body;
    request.bodyless = running.bodyless;
    if (!running.requestId.empty()) {
        request.identityHeader = platform::names::requestId;
        request.identity = running.requestId;
    }
    ++m_counters.attempts;
    m_backends.onSent(*sendAction.backend, now);
    m_fair.onSent(id, sendAction.backend->record.service, now);
    auto &attempt = m_attempts[sendAction.attempt];
    attempt.call = id;
    attempt.requestId = running.requestId;
    attempt.content = running.content;
    attempt.route = running.call.route().name;
    if (running.call.route().fansOut())
        attempt.partAt = sendAction.backend->record.service;
    attempt.backend = sendAction.backend;
    attempt.sentAt = now;
    attempt.exchange =
        m_client.send(sendAction.backend->record.address, std::move(request), now,
                      [this, attemptId = sendAction.attempt](ports::ExchangeResult result) {
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
    m_detached.erase({attempt.abortAt, id});
    const auto service = attempt.backend->record.service;
    onResponse(id, attempt, std::move(result), now);
    dispatchWaiting(service, now);
}

void ForwardService::onResponse(policy::forward::AttemptId id, const Attempt &attempt,
                                ports::ExchangeResult result, TimePoint now)
{
    auto &backend = *attempt.backend;
    const auto call = m_calls.find(attempt.call);
    auto *running = call == m_calls.end() ? nullptr : call->second.get();
    CallActions actions;
    if (result.outcome != ports::ExchangeOutcome::Answered)
        return onBroken(id, attempt, result, now);
    auto reply = platform::readServerReply(result);
    if (running != nullptr && running->call.route().fansOut() && reply.kind == ReplyKind::Success)
        reply.usable = reply.usable && platform::isListable(reply.stamp);
    if (reply.load) {
        m_backends.onLoadReport(backend, reply.load->running, reply.load->waiting,
                                reply.load->slots, now, reply.load->speedPercent);
    }
    noteRequests(backend, reply, now);
    noteCompletion(attempt, reply, now);
    recordOutcome(attempt, outcomeOf(reply), now);
    if (reply.kind == ReplyKind::Misdirected)
        m_crashMonitor.onMisdirected(backend, now);
    if (running == nullptr)
        return;
    if (!reply.usable) {
        running->call.onError(id, AttemptError::Unusable, now, actions);
        return apply(attempt.call, actions, now);
    }
    storeResponse(*running, id, reply, std::move(result));
    running->call.onReply(id, reply.kind, now, actions);
    apply(attempt.call, actions, now);
}

void ForwardService::onBroken(policy::forward::AttemptId id, const Attempt &attempt,
                              const ports::ExchangeResult &result, TimePoint now)
{
    const bool reached = result.outcome == ports::ExchangeOutcome::Broken;
    recordOutcome(attempt, reached ? AttemptOutcome::Failed : AttemptOutcome::NotReached, now);
    const auto call = m_calls.find(attempt.call);
    auto *running = call == m_calls.end() ? nullptr : call->second.get();
    if (!reached)
        m_crashMonitor.onNotReached(*attempt.backend, now);
    // A request that another server ran to its end does not crash servers.
    if (result.connectionEnded() && (running == nullptr || !running->call.completedAnywhere())) {
        Interruption interruption{attempt.content->digestsOfAttempt(attempt.partAt),
                                  attempt.requestId, attempt.sentAt, nullptr};
        if (running != nullptr) {
            ++running->attemptsHeld;
            interruption.resume = [this, id, callId = attempt.call](ServerState state,
                                                                    TimePoint resumedAt) {
                resumeBroken(id, callId, state, resumedAt);
            };
        }
        return m_crashMonitor.onInterrupted(attempt.backend, std::move(interruption), now);
    }
    if (running == nullptr)
        return;
    CallActions actions;
    // With the connection intact, the server sent a malformed response.
    const auto error = result.connectionEnded() ? AttemptError::Broken : AttemptError::Unusable;
    running->call.onError(id, reached ? error : AttemptError::NotReached, now, actions);
    apply(attempt.call, actions, now);
    // It may still crash the servers of this service.
    if (result.connectionEnded() && !attempt.partAt.empty()) {
        Interruption part{{attempt.content->digestAt(attempt.partAt)},
                          attempt.requestId,
                          attempt.sentAt,
                          nullptr};
        m_crashMonitor.onInterrupted(attempt.backend, std::move(part), now);
    }
}

void ForwardService::resumeBroken(policy::forward::AttemptId id, std::uint64_t call,
                                  ServerState state, TimePoint now)
{
    const auto it = m_calls.find(call);
    if (it == m_calls.end())
        return;
    --it->second->attemptsHeld;
    CallActions actions;
    const bool alive = state == ServerState::Alive;
    it->second->call.onError(id, alive ? AttemptError::Unusable : AttemptError::Broken, now,
                             actions);
    apply(call, actions, now);
}

void ForwardService::noteCompletion(const Attempt &attempt, const platform::ServerReply &reply,
                                    TimePoint now)
{
    const bool completed =
        reply.usable && (reply.kind == ReplyKind::Success || reply.kind == ReplyKind::Failure);
    if (!completed || m_quarantine.empty())
        return;
    bool refuted = false;
    for (const auto &it : attempt.content->digestsOfAttempt(attempt.partAt))
        refuted |= m_quarantine.onCompleted(it, now);
    if (refuted) {
        log.info("server completed a suspected request id=" + attempt.requestId + " request="
                 + attempt.content->digests().back() + " server=" + attempt.backend->record.id);
    }
}

void ForwardService::noteRequests(policy::forward::Backend &backend,
                                  const platform::ServerReply &reply, TimePoint now)
{
    const auto &record = backend.record;
    if (reply.leaving && m_backends.noteLeaving({record.id, record.startedAt}, now)) {
        ++m_counters.serversLeaving;
        log.info("server reports that it is leaving id=" + record.id
                 + " service=" + record.service);
    }
    noteLimit(backend, reply, now);
    if (reply.warmupLeft)
        m_backends.onWarmupReport(backend, *reply.warmupLeft, now);
    if (!reply.restFor)
        return;
    ++m_counters.restsRequested;
    log.info("server asked for no requests id=" + record.id + " service=" + record.service
             + " ms=" + std::to_string(reply.restFor->count()));
    m_backends.onRestRequested(backend, *reply.restFor, now);
}

void ForwardService::noteLimit(policy::forward::Backend &backend,
                               const platform::ServerReply &reply, TimePoint now)
{
    // A misdirected request was answered by another server.
    if (reply.kind == ReplyKind::Misdirected)
        return;
    const auto &record = backend.record;
    if (reply.requestLimitMalformed)
        return log.warning("malformed request limit, the last one stays id=" + record.id);
    if (!m_backends.onLimitReport(backend, reply.requestLimit, now))
        return;
    if (!reply.requestLimit)
        return log.info("limit ended id=" + record.id + " service=" + record.service);
    ++m_counters.serversLimited;
    log.info("server limits its requests id=" + record.id + " service=" + record.service
             + " per_second=" + std::to_string(*reply.requestLimit));
}

void ForwardService::recordOutcome(const Attempt &attempt, AttemptOutcome outcome, TimePoint now)
{
    m_backends.onEnded(*attempt.backend, outcome, attempt.sentAt, now);
    if (outcome != AttemptOutcome::Cancelled)
        m_hostHooks.onAttemptEnded(*attempt.backend, isResponse(outcome), now);
    if (outcome == AttemptOutcome::Answered || outcome == AttemptOutcome::TimedOut)
        m_hedgeDelay.add(attempt.route, now - attempt.sentAt);
}

AttemptOutcome ForwardService::outcomeOf(const platform::ServerReply &reply)
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

void ForwardService::storeResponse(RunningCall &running, policy::forward::AttemptId id,
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
        running.parts[*part] = {reply.stamp, std::move(result.body)};
}

void ForwardService::finish(std::uint64_t id, RunningCall &running, const Finish &finish,
                            TimePoint now)
{
    countOutcome(running, finish, now);
    logOutcome(running, finish, now);
    detachAttempts(id, now + detachedAttemptGrace, false);
    m_waitQueue.remove(id, running.call);
    m_fair.onEnded(id, finish.outcome, now);
    m_hostHooks.onCallEnded(running.workspace, finish.outcome, now);
    m_timers.erase({running.timerAt, id});
    m_byHttpCall.erase(running.httpCallId);
    const auto ended = std::move(m_calls[id]);
    m_calls.erase(id);
    if (finish.outcome == CallOutcome::Refused && !ended->workspace.empty())
        m_hostHooks.onNotExecuted(ended->workspace, now);
    ended->respond(makeResponse(*ended, finish));
}

ports::OutgoingResponse ForwardService::makeResponse(RunningCall &running, const Finish &finish)
{
    switch (finish.outcome) {
    case CallOutcome::PassedFailure:
        // Servers also return such a status for requests that they ran; relayed, it would allow the
        // caller to repeat a request that must not run twice.
        if (platform::guaranteesNotExecuted(running.response.status))
            return errorResponseFor(ResultCode::ServersFailed);
        return platform::relayResponse(std::move(running.response));
    case CallOutcome::Passed:
        return platform::relayResponse(std::move(running.response));
    case CallOutcome::Merged: {
        std::vector<std::string> stamps;
        std::vector<std::string_view> bodies;
        for (const auto part : finish.parts) {
            stamps.push_back(running.parts[part].stamp);
            bodies.emplace_back(running.parts[part].body);
        }
        return platform::mergedResponse(
            stamps, running.parts.size() - finish.parts.size(),
            policy::forward::mergeTop(bodies, running.call.route().topRecords));
    }
    case CallOutcome::Refused:
        return errorResponseFor(
            ResultCode::NoServerAvailable, {},
            policy::forward::retryDelay(finish.expectedWait, m_hostHooks.random()));
    case CallOutcome::Failed:
        return errorResponseFor(ResultCode::ServersFailed);
    case CallOutcome::Blocked:
        return errorResponseFor(ResultCode::CrashesServers);
    case CallOutcome::TimedOut:
        return errorResponseFor(ResultCode::NothingInTime);
    }
    return errorResponseFor(ResultCode::ServersFailed);
}

void ForwardService::countOutcome(const RunningCall &running, const Finish &finish, TimePoint now)
{
    m_counters.addLatency(core::toMillis(now - running.call.times().startedAt));
    m_counters.extraAttempts += static_cast<std::uint64_t>(
        std::max(0, running.call.attempts() - static_cast<int>(running.parts.size())));
    switch (finish.outcome) {
    case CallOutcome::Passed:
    case CallOutcome::Merged:
        ++m_counters.answered;
        if (finish.parts.size() < running.parts.size())
            ++m_counters.partial;
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
    case CallOutcome::Blocked:
        ++m_counters.blocked;
        return;
    }
}

void ForwardService::logOutcome(const RunningCall &running, const Finish &finish,
                                TimePoint now) const
{
    const auto &call = running.call;
    const auto tookMs = static_cast<int>(core::toMillis(now - call.times().startedAt));
    std::string line = "end id=" + running.requestId + " route=" + call.route().name
        + " end=" + std::string(core::nameIn(outcomeNames, finish.outcome))
        + " ms=" + std::to_string(tookMs) + " parts=" + std::to_string(finish.parts.size()) + "/"
        + std::to_string(running.parts.size()) + " attempts=" + std::to_string(call.attempts());
    const bool succeeded =
        finish.outcome == CallOutcome::Passed || finish.outcome == CallOutcome::Merged;
    if (succeeded && finish.parts.size() == running.parts.size())
        return log.debug(line);
    if (finish.outcome == CallOutcome::Refused)
        line += m_fair.describe(call.rank().sequence, now);
    for (const auto &it : call.describeParts(now))
        line += " " + it;
    log.info(line);
}

void ForwardService::detachAttempts(std::uint64_t id, TimePoint abortAt, bool callerDisconnected)
{
    for (const auto attemptId : m_calls.at(id)->call.attemptsInFlight()) {
        const auto it = m_attempts.find(attemptId);
        if (it == m_attempts.end())
            continue;
        it->second.abortAt = abortAt;
        it->second.callerDisconnected = callerDisconnected;
        m_detached.insert({abortAt, attemptId});
    }
}

void ForwardService::onCallerDisconnect(std::uint64_t httpCallId, TimePoint now)
{
    const auto known = m_byHttpCall.find(httpCallId);
    if (known == m_byHttpCall.end())
        return;
    const auto id = known->second;
    auto &running = *m_calls.at(id);
    ++m_counters.callersDisconnected;
    log.info("caller disconnected id=" + running.requestId);
    detachAttempts(id, now + detachedAttemptGrace, true);
    m_waitQueue.remove(id, running.call);
    m_fair.onEnded(id, std::nullopt, now);
    m_timers.erase({running.timerAt, id});
    m_byHttpCall.erase(known);
    m_calls.erase(id);
}

void ForwardService::abortDetached(TimePoint now)
{
    while (!m_detached.empty() && m_detached.begin()->first <= now) {
        const auto id = m_detached.begin()->second;
        m_detached.erase(m_detached.begin());
        const auto it = m_attempts.find(id);
        if (it == m_attempts.end())
            continue;
        const auto attempt = std::move(it->second);
        m_attempts.erase(it);
        m_client.abort(attempt.exchange);
        recordOutcome(
            attempt,
            attempt.callerDisconnected ? AttemptOutcome::Cancelled : AttemptOutcome::TimedOut, now);
        dispatchWaiting(attempt.backend->record.service, now);
    }
}

void ForwardService::tick(TimePoint now)
{
    while (!m_timers.empty() && m_timers.begin()->first <= now) {
        const auto id = m_timers.begin()->second;
        m_timers.erase(m_timers.begin());
        auto &running = *m_calls.at(id);
        running.timerAt = TimePoint::max();
        CallActions actions;
        running.call.onTimer(now, actions);
        apply(id, actions, now);
    }
    abortDetached(now);
    m_crashMonitor.tick(now);
    m_coldCheckAt = TimePoint::max();
    const auto waiting = m_waitQueue.services();
    if (waiting.empty() || !m_backends.anyCold(now))
        return;
    for (const auto &it : waiting)
        dispatchWaiting(it, now);
    m_coldCheckAt = now + coldCheckInterval;
}

TimePoint ForwardService::nextTickAt() const
{
    auto next = std::min(m_crashMonitor.nextTickAt(), m_coldCheckAt);
    if (!m_timers.empty())
        next = std::min(next, m_timers.begin()->first);
    if (!m_detached.empty())
        next = std::min(next, m_detached.begin()->first);
    return next;
}

void ForwardService::scheduleTimer(std::uint64_t id, RunningCall &running, TimePoint now)
{
    const auto at = running.call.nextTimer(now);
    if (at == running.timerAt)
        return;
    m_timers.erase({running.timerAt, id});
    running.timerAt = at;
    m_timers.insert({at, id});
}

void ForwardService::dispatchWaiting(const std::string &service, TimePoint now)
{
    // Iterates over a copy, because each call may change the queue.
    for (const auto &entry : m_fair.dispatchOrder(service, now)) {
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
