#include "daemon/engine/query_service.h"

#include "core/hash.h"
#include "daemon/engine/responses.h"

#include <algorithm>

namespace goldcrestline::daemon::engine {

using core::ResultCode;
using core::TimePoint;
using policy::fanout::Failure;
using policy::routing::AttemptOutcome;

namespace {

// Reserved before the deadline for assembling and sending the response.
constexpr core::Duration responseMargin = std::chrono::milliseconds(3);
// Share of the query's time limit above which even a complete response counts as overload.
constexpr double overloadLatencyShare = 0.6;
constexpr core::Millis noSnapshotRetryAfter{500};

Failure toFailure(const ports::ServerResult &result)
{
    if (result.snapshotMissing)
        return Failure::SnapshotMissing;
    switch (result.outcome) {
    case AttemptOutcome::Shed:
        return Failure::Shed;
    case AttemptOutcome::Draining:
        return Failure::Draining;
    case AttemptOutcome::NotReached:
        return Failure::NotReached;
    default:
        return Failure::Broken;
    }
}

} // namespace

QueryService::QueryService(HostState &host, AdmissionController &admission,
                           ports::ServerChannel &channel)
    : m_host(host), m_admission(admission), m_channel(channel)
{ }

ServiceState *QueryService::findService(const std::string &service)
{
    const auto it = m_services.find(service);
    return it == m_services.end() ? nullptr : it->second.get();
}

void QueryService::onFleetUpdate(TimePoint now)
{
    for (const auto &[name, record] : m_host.fleet->services) {
        auto &service = m_services[name];
        if (!service)
            service = std::make_unique<ServiceState>(name, m_host);
        service->update(record, now);
    }
}

void QueryService::handle(const std::string &service, ports::CallerRequest call, TimePoint now)
{
    auto shared = std::make_shared<ports::CallerRequest>(std::move(call));
    m_admission.admit(
        service, shared->request, now,
        [this, service, shared](const AdmittedRequest &admitted, TimePoint at) {
            start(admitted, service, std::move(*shared), at);
        },
        [this, service, shared](ports::HttpResponse response) {
            if (auto *state = findService(service))
                ++state->counters.refused;
            shared->respond(std::move(response));
        });
}

void QueryService::start(const AdmittedRequest &admitted, const std::string &name,
                         ports::CallerRequest call, TimePoint now)
{
    auto *service = findService(name);
    if (service == nullptr || !service->sharded())
        return call.respond(responseFor(ResultCode::UnknownService, name));
    const auto *snapshot = service->selectSnapshot(now);
    if (snapshot == nullptr || snapshot->documentsByGroup.empty()) {
        ++service->counters.refused;
        return call.respond(responseFor(ResultCode::NoSnapshot, name, noSnapshotRetryAfter));
    }
    const auto id = ++m_lastQueryId;
    Waiter waiter{call.id, m_host.members.self().name + "-" + std::to_string(id),
                  std::move(call.respond)};
    const auto deadline = admitted.deadline - responseMargin;
    std::string joinKey;
    if (m_host.settings->queries.joinIdentical.value == 1) {
        joinKey = name + "\n" + admitted.plan + "\n" + snapshot->id.text() + "\n"
            + core::sha256Hex(call.request.body);
        if (join(joinKey, waiter, deadline)) {
            ++service->counters.joined;
            return;
        }
    }
    if (!service->limiter.admit(admitted.servicePolicy.priority)) {
        ++service->counters.refused;
        recordServiceLevel(admitted.plan, name, admitted.servicePolicy, true, false, now);
        return waiter.respond(
            responseFor(ResultCode::Overloaded, name, service->limiter.retryAfter(now)));
    }
    auto query = std::make_unique<RunningQuery>();
    query->id = id;
    query->service = service;
    query->joinKey = joinKey;
    query->plan = admitted.plan;
    query->servicePolicy = admitted.servicePolicy;
    query->queryId = waiter.queryId;
    query->body = std::make_shared<const std::string>(std::move(call.request.body));
    query->startedAt = now;
    query->deadline = deadline;
    m_queryByCall[waiter.callId] = id;
    query->waiters.push_back(std::move(waiter));
    query->fanout = std::make_unique<policy::fanout::Fanout>(
        policy::fanout::Query{query->queryId, id, admitted.servicePolicy, deadline}, *snapshot,
        service->hooks());
    auto &running = *query;
    m_running[id] = std::move(query);
    if (!joinKey.empty())
        m_joinable[joinKey] = id;
    for (std::size_t i = 0; i < snapshot->documentsByGroup.size(); ++i) {
        service->hedgeBudget.deposit();
        service->retryBudget.deposit();
        service->shedBudget.deposit();
    }
    executeActions(running, running.fanout->start(now), now);
}

bool QueryService::join(const std::string &joinKey, Waiter &waiter, TimePoint deadline)
{
    const auto it = m_joinable.find(joinKey);
    if (it == m_joinable.end())
        return false;
    auto &query = *m_running.at(it->second);
    if (deadline < query.deadline)
        return false;
    m_queryByCall[waiter.callId] = query.id;
    query.waiters.push_back(std::move(waiter));
    return true;
}

void QueryService::executeActions(RunningQuery &query, std::vector<policy::fanout::Action> actions,
                                  TimePoint now)
{
    const auto id = query.id;
    const policy::fanout::Finish *finished = nullptr;
    for (auto &action : actions) {
        if (const auto *it = std::get_if<policy::fanout::Send>(&action)) {
            send(query, *it, now);
        } else if (const auto *cancelled = std::get_if<policy::fanout::Cancel>(&action)) {
            const auto call = query.calls.find(cancelled->attempt);
            if (call != query.calls.end()) {
                ++query.service->counters.cancels;
                m_channel.cancel(call->second);
            }
        } else {
            finished = &std::get<policy::fanout::Finish>(action);
        }
    }
    if (finished != nullptr) {
        finish(query, finished->answer, now);
        return remove(id);
    }
    if (query.fanout->finished())
        return remove(id);
    scheduleTimer(query);
}

void QueryService::send(RunningQuery &query, const policy::fanout::Send &send, TimePoint now)
{
    auto &service = *query.service;
    const auto *record = service.servers.record(send.server);
    ++service.counters.attempts;
    service.servers.onSent(send.server);
    ports::SearchCall call{send.server,   record->address, query.queryId, send.group,
                           send.snapshot, send.deadline,   query.body};
    query.calls[send.attempt] = m_channel.search(
        std::move(call), [this, &service, id = query.id, send, now](ports::ServerResult result) {
            onResult(service, id, send, now, std::move(result));
        });
}

void QueryService::updateServerState(ServiceState &service, const std::string &serverId,
                                     const ports::ServerResult &result, TimePoint now)
{
    if (result.load >= 0)
        service.servers.onLoadReport(serverId, result.load, result.slots, now);
    for (const auto &it : result.snapshots)
        service.servers.onSnapshotHeld(serverId, it);
}

void QueryService::onResult(ServiceState &service, std::uint64_t queryId,
                            const policy::fanout::Send &send, TimePoint sentAt,
                            ports::ServerResult result)
{
    const auto now = core::Clock::now();
    service.servers.onEnded(send.server, result.outcome, sentAt, now);
    updateServerState(service, send.server, result, now);
    if (result.snapshotMissing)
        service.servers.onSnapshotMissing(send.server, send.snapshot, now);
    if (result.outcome == AttemptOutcome::Shed)
        ++service.counters.sheds;
    const bool answered = result.outcome == AttemptOutcome::Answered && !result.snapshotMissing;
    if (answered)
        service.latency.add(core::toMillis(now - sentAt), now);
    dispatchWaiting(service, send.group, now);
    // dispatchWaiting() may have ended this query.
    const auto running = m_running.find(queryId);
    if (running == m_running.end())
        return;
    auto &query = *running->second;
    query.calls.erase(send.attempt);
    if (answered) {
        policy::fanout::Reply reply{result.queryId, result.group, result.snapshot, result.documents,
                                    std::move(result.body)};
        auto verdict = policy::fanout::ReplyVerdict::Ignored;
        auto actions = query.fanout->onReply(send.attempt, reply, now, verdict);
        return executeActions(query, std::move(actions), now);
    }
    executeActions(query, query.fanout->onFailure(send.attempt, toFailure(result), now), now);
}

void QueryService::dispatchWaiting(const ServiceState &service, int group, TimePoint now)
{
    const auto oldest = service.oldestWaitingQuery(group);
    if (!oldest)
        return;
    const auto it = m_running.find(*oldest);
    if (it != m_running.end())
        executeActions(*it->second, it->second->fanout->onCapacityFree(group, now), now);
}

void QueryService::finish(RunningQuery &query, const policy::fanout::Answer &answer, TimePoint now)
{
    recordResult(*query.service, query, answer, now);
    const auto timeLimit = query.deadline - query.startedAt;
    query.overloaded =
        answer.code != ResultCode::Ok || now - query.startedAt > overloadLatencyShare * timeLimit;
    for (auto &it : query.waiters)
        it.respond(responseFor(it.queryId, answer));
}

void QueryService::recordResult(ServiceState &service, const RunningQuery &query,
                                const policy::fanout::Answer &answer, TimePoint now)
{
    auto &counters = service.counters;
    recordServiceLevel(query.plan, service.name(), query.servicePolicy,
                       now > query.deadline + responseMargin, answer.code != ResultCode::Ok, now);
    ++counters.queries;
    if (answer.code == ResultCode::Ok) {
        ++counters.full;
    } else {
        ++counters.partial;
    }
    if (now <= query.deadline + responseMargin) {
        ++counters.inTime;
    } else {
        ++counters.late;
    }
    if (answer.allDocuments > 0) {
        counters.coverageSum += static_cast<double>(answer.answeredDocuments)
            / static_cast<double>(answer.allDocuments);
    }
}

void QueryService::recordServiceLevel(const std::string &plan, const std::string &service,
                                      const policy::config::ServicePolicy &servicePolicy, bool late,
                                      bool partial, TimePoint now)
{
    auto &level = m_serviceLevels[{plan, service}];
    level.targetInTime = servicePolicy.targetInTime;
    level.targetCoverage = servicePolicy.targetCoverage;
    level.window.add(late, partial, now);
}

void QueryService::scheduleTimer(RunningQuery &query)
{
    const auto next = query.fanout->nextTimer();
    if (next >= query.timerAt)
        return;
    query.timerAt = next;
    m_host.timers.schedule(next, [this, id = query.id, next](TimePoint now) {
        const auto it = m_running.find(id);
        if (it == m_running.end() || it->second->timerAt != next)
            return;
        it->second->timerAt = TimePoint::max();
        executeActions(*it->second, it->second->fanout->onTimer(now), now);
    });
}

void QueryService::onCallerDisconnect(std::uint64_t callId, TimePoint now)
{
    const auto call = m_queryByCall.find(callId);
    if (call == m_queryByCall.end())
        return;
    auto &query = *m_running.at(call->second);
    std::erase_if(query.waiters, [callId](const Waiter &it) { return it.callId == callId; });
    m_queryByCall.erase(call);
    if (query.waiters.empty())
        executeActions(query, query.fanout->cancel(), now);
}

void QueryService::remove(std::uint64_t id)
{
    const auto it = m_running.find(id);
    auto &query = *it->second;
    const auto now = core::Clock::now();
    query.service->limiter.finished(query.overloaded, now);
    for (const auto &waiter : query.waiters)
        m_queryByCall.erase(waiter.callId);
    if (!query.joinKey.empty())
        m_joinable.erase(query.joinKey);
    m_running.erase(it);
}

void QueryService::pollServers(TimePoint now)
{
    const auto period = m_host.settings->queries.pollMs.millis();
    for (auto &[name, service] : m_services) {
        for (const auto &id : service->servers.ids()) {
            if (service->servers.answeredWithin(id, period, now))
                continue;
            const auto *record = service->servers.record(id);
            m_channel.poll(id, record->address,
                           [this, name = name, id](const ports::ServerResult &result) {
                               auto *state = findService(name);
                               if (state != nullptr && result.outcome == AttemptOutcome::Answered)
                                   updateServerState(*state, id, result, core::Clock::now());
                           });
        }
    }
}

void QueryService::noteLeaving(const policy::routing::LeavingNote &note)
{
    for (auto &it : m_services)
        it.second->servers.noteLeaving(note);
}

std::vector<policy::routing::LeavingNote> QueryService::leavingNotes() const
{
    std::vector<policy::routing::LeavingNote> notes;
    for (const auto &it : m_services) {
        for (auto &note : it.second->servers.leavingNotes())
            notes.push_back(std::move(note));
    }
    return notes;
}

} // namespace goldcrestline::daemon::engine
