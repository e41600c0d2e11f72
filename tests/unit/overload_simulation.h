#pragma once

#include "policy/forward/backend_table.h"
#include "policy/forward/call.h"
#include "policy/forward/fair_admission.h"
#include "policy/forward/wait_queue.h"
#include "policy/retry/budget.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

// Simulation of hosts that forward requests to sharded services, in invented time.
namespace goldcrestline::simulation {

using namespace policy::forward;
using namespace std::chrono_literals;
using core::TimePoint;

const TimePoint start = TimePoint{} + 1h;

// A server with slots and a FIFO queue, on a virtual clock.
struct SimulatedServer
{
    int slots = 2;
    std::size_t queue = 12;
    double slowdown = 1;
    int running = 0;
    std::deque<std::pair<AttemptId, core::Duration>> waiting;
};

// Outcomes of one type of request.
struct OutcomeCounts
{
    int requests = 0;
    int inTime = 0;
    int late = 0;
    int refused = 0;
    int failed = 0;
    // Longest time until a request without a success ended.
    core::Duration longestFailure{0};
};

// Load and limits of one type of request, which fans out to all shards unless it is plain.
struct RequestType
{
    std::string name;
    double perSecond = 0;
    core::Duration processingTime{};
    core::Duration objective{};
    core::Duration deadline{};
    double minShardShare = 0;
    int priority = 0;
    std::string workspace{};
    // Goes to one shard, each in turn.
    bool plain = false;
    // Requests that a caller sends again immediately after a refusal.
    int repeats = 0;
    // Callers leave after this time; 0: never.
    core::Duration patience{0};
};

// What is simulated.
struct Options
{
    int shards = 10;
    // The hosts, which share the servers, and their connections to one server.
    int hosts = 1;
    int connections = 12;
    bool usesEstimate = true;
    // Orders and admits the requests by the shares of their workspaces.
    bool fair = false;
};

// Simulates the calls of hosts to sharded services: Call, BackendTable, the wait queue and the fair
// shares against simulated servers.
class Simulation
{
public:
    explicit Simulation(Options options) : m_options(options)
    {
        for (int i = 0; i < options.hosts; ++i)
            m_hosts.push_back(std::make_unique<Host>(*this));
        for (int shard = 0; shard < options.shards; ++shard) {
            for (int copy = 0; copy < 3; ++copy)
                addServer("shard" + std::to_string(shard), copy);
        }
    }

    // Increase the processing times of a shard's servers, or remove them from the host's list.
    void slowDown(int shard, double factor)
    {
        for (auto &it : m_servers) {
            if (it.first.starts_with("shard" + std::to_string(shard) + "-"))
                it.second.slowdown = factor;
        }
    }
    void removeServers(int shard)
    {
        for (int copy = 0; copy < 3; ++copy) {
            for (auto &it : m_hosts)
                it->backends.remove("shard" + std::to_string(shard) + "-" + std::to_string(copy));
        }
    }

    std::map<std::string, OutcomeCounts> run(const std::vector<RequestType> &types,
                                             core::Duration length)
    {
        for (const auto &it : types)
            scheduleRequests(it, length);
        while (!m_events.empty()) {
            const auto event = m_events.begin();
            m_now = event->first;
            const auto work = event->second;
            m_events.erase(event);
            work();
        }
        return m_counts;
    }

private:
    struct Host
    {
        explicit Host(Simulation &simulation)
            : backends(
                "a", {}, [&](const std::string &) { return simulation.m_options.connections; },
                [&] { return simulation.uniform(); }),
              fair(backends, queue)
        {
            hooks.pick = [this](const std::string &service, CallRank rank, const auto &exclude,
                                TimePoint now) {
                return queue.hasAhead(service, rank) ? nullptr
                                                     : backends.pick(service, exclude, now);
            };
            hooks.hasUsable = [this](const std::string &service, const auto &exclude,
                                     TimePoint now) {
                return backends.hasUsable(service, exclude, now);
            };
            hooks.estimateLatency = [this, &simulation](const std::string &service, CallRank rank,
                                                        TimePoint now) {
                const auto out = fair.estimateLatency(service, rank, now);
                return simulation.m_options.usesEstimate || !out
                    ? out
                    : std::optional(LatencyEstimate{0, 0});
            };
            hooks.availableAgainAt = [this](const std::string &service, TimePoint now) {
                return backends.availableAgainAt(service, now);
            };
            hooks.tryWithdraw = [&](const std::string &service, TimePoint) {
                return budget(service, simulation).tryWithdraw();
            };
            hooks.deposit = [&](const std::string &service, TimePoint) {
                budget(service, simulation).deposit();
            };
            hooks.hedgeDelay = [](const std::string &) { return core::Duration(40ms); };
            hooks.permission = [](std::uint64_t, TimePoint) { return SendPermission::Any; };
            hooks.nextAttempt = [&] { return ++simulation.m_lastAttempt; };
        }

        policy::retry::Budget &budget(const std::string &service, const Simulation &simulation)
        {
            return budgets.try_emplace(service, 0.18, 20.0 / simulation.m_options.hosts)
                .first->second;
        }

        BackendTable backends;
        WaitQueue queue;
        FairAdmission fair;
        std::map<std::string, policy::retry::Budget> budgets;
        CallHooks hooks;
    };

    struct RunningCall
    {
        RequestType type;
        Host *host = nullptr;
        std::unique_ptr<Call> call;
        TimePoint startedAt;
        TimePoint timerAt;
    };

    double uniform() { return std::uniform_real_distribution<>(0, 1)(m_random); }

    void addServer(const std::string &service, int copy)
    {
        BackendRecord record;
        record.service = service;
        record.id = service + "-" + std::to_string(copy);
        record.zone = std::string(1, static_cast<char>('a' + copy));
        record.slots = 2;
        m_servers[record.id];
        for (auto &it : m_hosts)
            it->backends.put(record);
    }

    void at(TimePoint time, std::function<void()> work) { m_events.emplace(time, std::move(work)); }

    void scheduleRequests(const RequestType &type, core::Duration length)
    {
        const auto gap = std::chrono::duration_cast<core::Duration>(
            std::chrono::duration<double>(1 / type.perSecond));
        for (auto time = start; time < start + length; time += gap) {
            const auto jitter = std::chrono::duration_cast<core::Duration>(gap * uniform());
            at(time + jitter, [this, type] { startCall(type, type.repeats); });
        }
    }

    void startCall(const RequestType &type, int repeats)
    {
        Route route;
        route.name = type.name;
        route.idempotency = Idempotency::Idempotent;
        route.maxAttempts = 2;
        route.minShardShare = type.minShardShare;
        route.priority = type.priority;
        std::vector<std::string> services;
        for (int shard = 0; shard < m_options.shards; ++shard)
            services.push_back("shard" + std::to_string(shard));
        if (type.plain) {
            services = {services[m_lastCall % services.size()]};
        } else {
            route.shards = services;
        }
        auto table = std::make_shared<const RouteTable>(
            1, std::vector<Route>{route}, std::map<std::string, ServiceTraits>{}, CallerLimits{});
        const CallTimes times{m_now, m_now + type.objective, m_now + type.deadline,
                              m_now + type.objective / 5};
        const auto id = ++m_lastCall;
        auto &host = *m_hosts[m_hosts.size() == 1 ? 0 : m_random() % m_hosts.size()];
        CallRank rank{type.priority, 0, id};
        if (m_options.fair) {
            rank = host.fair.begin(
                id, {type.priority, type.workspace, type.name, services, times.objectiveAt}, m_now);
        }
        auto &running = m_calls[id];
        running = {type,
                   &host,
                   std::make_unique<Call>(table, table->routes().front(), services, rank, times,
                                          host.hooks),
                   m_now,
                   {}};
        ++m_counts[type.name].requests;
        if (repeats > 0)
            m_repeats[id] = repeats;
        if (type.patience > 0s)
            at(m_now + type.patience, [this, id] { leave(id); });
        CallActions actions;
        running.call->start(m_now, actions);
        apply(id, actions);
    }

    // The caller closes its connection.
    void leave(std::uint64_t id)
    {
        const auto it = m_calls.find(id);
        if (it == m_calls.end())
            return;
        it->second.host->queue.remove(id, *it->second.call);
        it->second.host->fair.onEnded(id, std::nullopt, m_now);
        m_calls.erase(it);
    }

    void finish(std::uint64_t id, const Finish &finish)
    {
        auto &running = m_calls.at(id);
        recordOutcome(running, finish);
        running.host->queue.remove(id, *running.call);
        running.host->fair.onEnded(id, finish.outcome, m_now);
        const auto repeats = m_repeats.extract(id);
        if (!repeats.empty() && finish.outcome == CallOutcome::Refused) {
            at(m_now + 6ms,
               [this, type = running.type, n = repeats.mapped() - 1] { startCall(type, n); });
        }
        m_calls.erase(id);
    }

    void apply(std::uint64_t id, const CallActions &actions)
    {
        for (const auto &action : actions) {
            if (const auto *send = std::get_if<Send>(&action)) {
                onSend(id, *send);
            } else {
                return finish(id, std::get<Finish>(action));
            }
        }
        auto &running = m_calls.at(id);
        running.host->queue.update(id, *running.call);
        running.timerAt = std::max(running.call->nextTimer(m_now), m_now + 1us);
        at(running.timerAt, [this, id] {
            const auto it = m_calls.find(id);
            if (it == m_calls.end() || it->second.timerAt != m_now)
                return;
            CallActions out;
            it->second.call->onTimer(m_now, out);
            apply(id, out);
        });
    }

    void recordOutcome(const RunningCall &running, const Finish &finish)
    {
        auto &counts = m_counts[running.type.name];
        const auto took = m_now - running.startedAt;
        if (finish.outcome == CallOutcome::Merged || finish.outcome == CallOutcome::Passed) {
            ++(took <= running.type.objective ? counts.inTime : counts.late);
            return;
        }
        ++(finish.outcome == CallOutcome::Refused ? counts.refused : counts.failed);
        counts.longestFailure = std::max(counts.longestFailure, took);
    }

    void onSend(std::uint64_t call, const Send &send)
    {
        auto &host = *m_calls.at(call).host;
        host.backends.onSent(*send.backend, m_now);
        host.fair.onSent(call, send.backend->record.service, m_now);
        auto &server = m_servers[send.backend->record.id];
        m_attempts[send.attempt] = {call, &host, send.backend, m_now};
        const auto &type = m_calls.at(call).type;
        const auto work = std::chrono::duration_cast<core::Duration>(
            type.processingTime * server.slowdown * (0.7 + 0.6 * uniform()));
        if (server.running < server.slots)
            return startProcessing(server, send.attempt, work);
        if (server.waiting.size() < server.queue)
            return server.waiting.emplace_back(send.attempt, work), void();
        at(m_now + 1ms, [this, id = send.attempt] { respond(id, ReplyKind::NotExecuted); });
    }

    void startProcessing(SimulatedServer &server, AttemptId id, core::Duration work)
    {
        ++server.running;
        at(m_now + work, [this, &server, id] {
            --server.running;
            if (!server.waiting.empty()) {
                const auto next = server.waiting.front();
                server.waiting.pop_front();
                startProcessing(server, next.first, next.second);
            }
            const auto &attempt = m_attempts.at(id);
            attempt.host->backends.onLoadReport(*attempt.backend, server.running,
                                                static_cast<int>(server.waiting.size()),
                                                server.slots, m_now);
            respond(id, ReplyKind::Success);
        });
    }

    void respond(AttemptId id, ReplyKind kind)
    {
        const auto attempt = m_attempts.at(id);
        m_attempts.erase(id);
        attempt.host->backends.onEnded(*attempt.backend,
                                       kind == ReplyKind::Success ? AttemptOutcome::Answered
                                                                  : AttemptOutcome::Refused,
                                       attempt.sentAt, m_now);
        const auto it = m_calls.find(attempt.call);
        if (it != m_calls.end()) {
            CallActions out;
            it->second.call->onReply(id, kind, m_now, out);
            apply(attempt.call, out);
        }
        dispatchWaiting(*attempt.host, attempt.backend->record.service);
    }

    void dispatchWaiting(Host &host, const std::string &service)
    {
        for (const auto &entry : host.fair.dispatchOrder(service, m_now)) {
            if (host.backends.countAvailable(service, m_now) == 0)
                return;
            const auto call = m_calls.find(entry.call);
            if (call == m_calls.end())
                continue;
            CallActions out;
            call->second.call->onCapacityFree(entry.part, m_now, out);
            apply(entry.call, out);
        }
    }

    struct Attempt
    {
        std::uint64_t call = 0;
        Host *host = nullptr;
        BackendPtr backend;
        TimePoint sentAt;
    };

    Options m_options;
    std::mt19937 m_random{7};
    TimePoint m_now = start;
    std::multimap<TimePoint, std::function<void()>> m_events;
    std::map<std::string, SimulatedServer> m_servers;
    std::map<AttemptId, Attempt> m_attempts;
    std::map<std::uint64_t, RunningCall> m_calls;
    std::vector<std::unique_ptr<Host>> m_hosts;
    // Repeats that are left for a call.
    std::map<std::uint64_t, int> m_repeats;
    std::map<std::string, OutcomeCounts> m_counts;
    AttemptId m_lastAttempt = 0;
    std::uint64_t m_lastCall = 0;
};

} // namespace goldcrestline::simulation
