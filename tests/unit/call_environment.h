#pragma once

#include "policy/forward/call.h"
#include "policy/retry/budget.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <set>

// Test fixture of one forwarded call with simulated servers and budgets.
namespace forward_test {

using namespace goldcrestline;
using namespace goldcrestline::policy::forward;
using namespace std::chrono_literals;
using core::TimePoint;

inline const TimePoint start = TimePoint{} + 1h;

// Servers, latency estimates and budgets of a call, and the hooks that give access to them.
struct CallEnvironment
{
    std::map<std::string, std::vector<BackendPtr>> servers;
    std::set<BackendPtr> atCapacity;
    // Latency estimates by service; others get a short default.
    std::map<std::string, LatencyEstimate> estimates;
    std::map<std::string, policy::retry::Budget> budgets;
    AttemptId lastAttempt = 0;
    int extraAttempts = 0;
    SendPermission permission = SendPermission::Any;
    CallHooks hooks;

    CallEnvironment()
    {
        hooks.pick = [this](const std::string &service, CallRank, const auto &exclude, TimePoint) {
            for (const auto &it : servers[service]) {
                const bool tried = std::find(exclude.begin(), exclude.end(), it) != exclude.end();
                if (!tried && atCapacity.count(it) == 0)
                    return it;
            }
            return BackendPtr();
        };
        hooks.hasUsable = [this](const std::string &service, const auto &exclude, TimePoint) {
            return std::any_of(servers[service].begin(), servers[service].end(), [&](auto &it) {
                return std::find(exclude.begin(), exclude.end(), it) == exclude.end();
            });
        };
        hooks.estimateLatency = [this](const std::string &service, CallRank,
                                       TimePoint) -> std::optional<LatencyEstimate> {
            if (servers[service].empty())
                return std::nullopt;
            const auto it = estimates.find(service);
            return it == estimates.end() ? LatencyEstimate{10, 10} : it->second;
        };
        hooks.availableAgainAt = [](const std::string &, TimePoint) -> std::optional<TimePoint> {
            return std::nullopt;
        };
        hooks.tryWithdraw = [this](const std::string &service, TimePoint) {
            const bool granted = budgets.try_emplace(service, 0.2, 3).first->second.tryWithdraw();
            extraAttempts += granted ? 1 : 0;
            return granted;
        };
        hooks.deposit = [this](const std::string &service, TimePoint) {
            budgets.try_emplace(service, 0.2, 3).first->second.deposit();
        };
        hooks.hedgeDelay = [](const std::string &) { return core::Duration(20ms); };
        hooks.permission = [this](std::uint64_t, TimePoint) { return permission; };
        hooks.nextAttempt = [this] { return ++lastAttempt; };
    }

    void add(const std::string &service, int count)
    {
        for (int i = 0; i < count; ++i) {
            auto backend = std::make_shared<Backend>();
            backend->record.id = service + "-" + std::to_string(i);
            backend->record.service = service;
            servers[service].push_back(backend);
        }
    }
};

inline RouteTablePtr makeTable(Route route)
{
    return std::make_shared<const RouteTable>(1, std::vector<Route>{std::move(route)},
                                              std::map<std::string, ServiceTraits>{},
                                              CallerLimits{});
}

inline Route makePlainRoute(Idempotency idempotency)
{
    Route route;
    route.name = "plain";
    route.services = {{"s", 1}};
    route.idempotency = idempotency;
    route.maxAttempts = 2;
    return route;
}

inline Route makeFanoutRoute(int shards, double minShare)
{
    Route route;
    route.name = "all";
    route.idempotency = Idempotency::Idempotent;
    route.maxAttempts = 2;
    route.minShardShare = minShare;
    for (int i = 0; i < shards; ++i)
        route.shards.push_back("shard" + std::to_string(i));
    return route;
}

inline CallTimes makeTimes()
{
    return {start, start + 90ms, start + 500ms, start + 20ms};
}

// Drives a call and collects the actions that it returns.
struct CallDriver
{
    CallEnvironment &environment;
    RouteTablePtr table;
    Call call;
    std::vector<Send> sends;
    std::vector<Finish> finishes;

    CallDriver(CallEnvironment &environment, Route route)
        : environment(environment), table(makeTable(std::move(route))),
          call(table, table->routes().front(), servicesOf(table->routes().front()),
               CallRank{table->routes().front().priority, 0, 1}, makeTimes(), environment.hooks)
    {
        step([&](CallActions &out) { call.start(start, out); });
    }

    static std::vector<std::string> servicesOf(const Route &route)
    {
        return route.fansOut() ? route.shards : std::vector<std::string>{"s"};
    }

    template <typename Work>
    void step(Work work)
    {
        CallActions out;
        work(out);
        for (const auto &it : out) {
            if (const auto *send = std::get_if<Send>(&it))
                sends.push_back(*send);
            else
                finishes.push_back(std::get<Finish>(it));
        }
    }

    void reply(std::size_t send, ReplyKind kind, TimePoint now)
    {
        step([&](CallActions &out) { call.onReply(sends[send].attempt, kind, now, out); });
    }
    void reportError(std::size_t send, AttemptError error, TimePoint now)
    {
        step([&](CallActions &out) { call.onError(sends[send].attempt, error, now, out); });
    }
    void advanceTo(TimePoint now)
    {
        step([&](CallActions &out) { call.onTimer(now, out); });
    }
};

} // namespace forward_test
