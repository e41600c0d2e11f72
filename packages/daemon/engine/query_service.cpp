#include "daemon/engine/query_service.h"

#include "core/hash.h"
#include "daemon/engine/answers.h"

#include <algorithm>

namespace goldcrestline::daemon::engine {

using core::ResultCode;
using core::TimePoint;
using policy::fanout::Failure;
using policy::routing::AttemptOutcome;

namespace {

// Part of the deadline that is kept for putting the answer together and sending it.
constexpr core::Duration answerMargin = std::chrono::milliseconds(3);
// Part of the time allowed from which a complete answer counts as a sign of overload.
constexpr double strainShare = 0.6;
constexpr core::Millis noSnapshotRetryAfter{500};

Failure failureOf(const ports::ServerResult &result)
{
    if (result.snapshotMissing)
        return Failure::SnapshotMissing;
    switch (result.end) {
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

QueryService::QueryService(HostState &host, AdmissionGate &gate, ports::ServerChannel &channel)
    : m_host(host), m_gate(gate), m_channel(channel)
{ }

ServiceState *QueryService::find(const std::string &service)
{
    const auto it = m_services.find(service);
    return it == m_services.end() ? nullptr : it->second.get();
}

void QueryService::onFleet(TimePoint now)
{
    for (const auto &[name, record] : m_host.fleet->services) {
        auto &service = m_services[name];
        if (!service)
            service = std::make_unique<ServiceState>(name, m_host);
        service->update(record, now);
    }
}

void QueryService::handle(const std::string &service, ports::CallerCall call, TimePoint now)
{
    auto shared = std::make_shared<ports::CallerCall>(std::move(call));
    m_gate.pass(
        service, shared->request, now,
        [this, service, shared](const Admitted &admitted, TimePoint at) {
            start(admitted, service, std::move(*shared), at);
        },
        [this, service, shared](ports::HttpResponse response) {
            if (auto *state = find(service))
                ++state->counters.refused;
            shared->respond(std::move(response));
        });
}

void QueryService::start(const Admitted &admitted, const std::string &name, ports::CallerCall call,
                         TimePoint now)
{
    auto *service = find(name);
    if (service == nullptr || !service->sharded())
        return call.respond(answerFor(ResultCode::UnknownService, name));
    const auto *snapshot = service->pin(now);
    if (snapshot == nullptr || snapshot->documentsByGroup.empty()) {
        ++service->counters.refused;
        return call.respond(answerFor(ResultCode::NoSnapshot, name, noSnapshotRetryAfter));
    }
    const auto id = ++m_lastQuery;
    Waiter waiter{call.id, m_host.members.self().name + "-" + std::to_string(id),
                  std::move(call.respond)};
    const auto deadline = admitted.deadline - answerMargin;
    std::string joinKey;
    if (m_host.settings->queries.joinIdentical.value == 1) {
        joinKey = name + "\n" + admitted.plan + "\n" + snapshot->id.text() + "\n"
            + core::sha256Hex(call.request.body);
        if (join(joinKey, waiter, deadline)) {
            ++service->counters.joined;
            return;
        }
    }
    if (!service->limiter.admit(admitted.allowance.priority)) {
        ++service->counters.refused;
        countLevel(admitted.plan, name, admitted.allowance, true, false, now);
        return waiter.respond(
            answerFor(ResultCode::Overloaded, name, service->limiter.retryAfter(now)));
    }
    auto query = std::make_unique<Running>();
    query->id = id;
    query->service = service;
    query->joinKey = joinKey;
    query->plan = admitted.plan;
    query->allowance = admitted.allowance;
    query->queryId = waiter.queryId;
    query->body = std::make_shared<const std::string>(std::move(call.request.body));
    query->startedAt = now;
    query->deadline = deadline;
    m_queryOfCall[waiter.callId] = id;
    query->waiters.push_back(std::move(waiter));
    query->fanout = std::make_unique<policy::fanout::Fanout>(
        policy::fanout::Query{query->queryId, id, admitted.allowance, deadline}, *snapshot,
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
    apply(running, running.fanout->start(now), now);
}

bool QueryService::join(const std::string &joinKey, Waiter &waiter, TimePoint deadline)
{
    const auto it = m_joinable.find(joinKey);
    if (it == m_joinable.end())
        return false;
    auto &query = *m_running.at(it->second);
    if (deadline < query.deadline)
        return false;
    m_queryOfCall[waiter.callId] = query.id;
    query.waiters.push_back(std::move(waiter));
    return true;
}

void QueryService::apply(Running &query, std::vector<policy::fanout::Action> actions, TimePoint now)
{
    const auto id = query.id;
    const policy::fanout::Finish *end = nullptr;
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
            end = &std::get<policy::fanout::Finish>(action);
        }
    }
    if (end != nullptr) {
        finish(query, end->answer, now);
        return remove(id);
    }
    if (query.fanout->finished())
        return remove(id);
    schedule(query);
}

void QueryService::send(Running &query, const policy::fanout::Send &send, TimePoint now)
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

void QueryService::learn(ServiceState &service, const std::string &serverId,
                         const ports::ServerResult &result, TimePoint now)
{
    if (result.load >= 0)
        service.servers.onLoadReport(serverId, result.load, result.slots, now);
    for (const auto &it : result.holds)
        service.servers.onSnapshotHeld(serverId, it);
}

void QueryService::onResult(ServiceState &service, std::uint64_t queryId,
                            const policy::fanout::Send &send, TimePoint sentAt,
                            ports::ServerResult result)
{
    const auto now = core::Clock::now();
    service.servers.onEnded(send.server, result.end, sentAt, now);
    learn(service, send.server, result, now);
    if (result.snapshotMissing)
        service.servers.onSnapshotMissing(send.server, send.snapshot, now);
    if (result.end == AttemptOutcome::Shed)
        ++service.counters.sheds;
    const bool answered = result.end == AttemptOutcome::Answered && !result.snapshotMissing;
    if (answered)
        service.latency.add(core::toMillis(now - sentAt), now);
    offerRoom(service, send.group, now);
    // The query may have ended by what was just offered.
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
        return apply(query, std::move(actions), now);
    }
    apply(query, query.fanout->onFailure(send.attempt, failureOf(result), now), now);
}

void QueryService::offerRoom(const ServiceState &service, int group, TimePoint now)
{
    const auto oldest = service.oldestWaiting(group);
    if (!oldest)
        return;
    const auto it = m_running.find(*oldest);
    if (it != m_running.end())
        apply(*it->second, it->second->fanout->onCapacityFree(group, now), now);
}

void QueryService::finish(Running &query, const policy::fanout::Answer &answer, TimePoint now)
{
    count(*query.service, query, answer, now);
    const auto allowed = query.deadline - query.startedAt;
    query.strained = answer.code != ResultCode::Ok || now - query.startedAt > strainShare * allowed;
    for (auto &it : query.waiters)
        it.respond(answerFor(it.queryId, answer));
}

void QueryService::count(ServiceState &service, const Running &query,
                         const policy::fanout::Answer &answer, TimePoint now)
{
    auto &counters = service.counters;
    countLevel(query.plan, service.name(), query.allowance, now > query.deadline + answerMargin,
               answer.code != ResultCode::Ok, now);
    ++counters.queries;
    if (answer.code == ResultCode::Ok) {
        ++counters.full;
    } else {
        ++counters.partial;
    }
    if (now <= query.deadline + answerMargin) {
        ++counters.inTime;
    } else {
        ++counters.late;
    }
    if (answer.allDocuments > 0) {
        counters.coverageSum += static_cast<double>(answer.answeredDocuments)
            / static_cast<double>(answer.allDocuments);
    }
}

void QueryService::countLevel(const std::string &plan, const std::string &service,
                              const policy::config::Allowance &allowance, bool late, bool thin,
                              TimePoint now)
{
    auto &level = m_levels[{plan, service}];
    level.targetInTime = allowance.targetInTime;
    level.targetCoverage = allowance.targetCoverage;
    level.window.add(late, thin, now);
}

void QueryService::schedule(Running &query)
{
    const auto wake = query.fanout->nextTimer();
    if (wake >= query.wakeAt)
        return;
    query.wakeAt = wake;
    m_host.timers.at(wake, [this, id = query.id, wake](TimePoint now) {
        const auto it = m_running.find(id);
        if (it == m_running.end() || it->second->wakeAt != wake)
            return;
        it->second->wakeAt = TimePoint::max();
        apply(*it->second, it->second->fanout->onTimer(now), now);
    });
}

void QueryService::callerGone(std::uint64_t callId, TimePoint now)
{
    const auto call = m_queryOfCall.find(callId);
    if (call == m_queryOfCall.end())
        return;
    auto &query = *m_running.at(call->second);
    std::erase_if(query.waiters, [callId](const Waiter &it) { return it.callId == callId; });
    m_queryOfCall.erase(call);
    if (query.waiters.empty())
        apply(query, query.fanout->cancel(), now);
}

void QueryService::remove(std::uint64_t id)
{
    const auto it = m_running.find(id);
    auto &query = *it->second;
    const auto now = core::Clock::now();
    query.service->limiter.finished(query.strained, now);
    for (const auto &waiter : query.waiters)
        m_queryOfCall.erase(waiter.callId);
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
                               auto *state = find(name);
                               if (state != nullptr && result.end == AttemptOutcome::Answered)
                                   learn(*state, id, result, core::Clock::now());
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
