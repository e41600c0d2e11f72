#pragma once

#include "policy/forward/call.h"
#include "policy/retry/budget.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <set>

// A call of forwarded requests with servers and budgets that a test sets.
namespace forward_test {

using namespace goldcrestline;
using namespace goldcrestline::policy::forward;
using namespace std::chrono_literals;
using core::TimePoint;

inline const TimePoint start = TimePoint{} + 1h;

// Servers and budgets of a call, and what happened to its attempts.
struct World
{
    std::map<std::string, std::vector<BackendPtr>> servers;
    std::set<BackendPtr> full;
    // What the services' servers promise, where it is not a quick answer.
    std::map<std::string, Outlook> outlooks;
    std::map<std::string, policy::retry::Budget> budgets;
    AttemptId last = 0;
    int spent = 0;
    CallHooks hooks;

    World()
    {
        hooks.pick = [this](const std::string &service, CallRank, const auto &exclude, TimePoint) {
            for (const auto &it : servers[service]) {
                const bool tried = std::find(exclude.begin(), exclude.end(), it) != exclude.end();
                if (!tried && full.count(it) == 0)
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
                                       TimePoint) -> std::optional<Outlook> {
            if (servers[service].empty())
                return std::nullopt;
            const auto it = outlooks.find(service);
            return it == outlooks.end() ? Outlook{10, 10} : it->second;
        };
        hooks.tryWithdraw = [this](const std::string &service, TimePoint) {
            const bool may = budgets.try_emplace(service, 0.2, 3).first->second.tryWithdraw();
            spent += may ? 1 : 0;
            return may;
        };
        hooks.deposit = [this](const std::string &service, TimePoint) {
            budgets.try_emplace(service, 0.2, 3).first->second.deposit();
        };
        hooks.hedgeDelay = [](const std::string &) { return core::Duration(20ms); };
        hooks.nextAttempt = [this] { return ++last; };
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

inline RouteTablePtr tableOf(Route route)
{
    return std::make_shared<const RouteTable>(1, std::vector<Route>{std::move(route)},
                                              std::map<std::string, ServiceTraits>{},
                                              CallerLimits{});
}

inline Route plainRoute(Idempotency idempotency)
{
    Route route;
    route.name = "plain";
    route.services = {{"s", 1}};
    route.idempotency = idempotency;
    route.maxAttempts = 2;
    return route;
}

inline Route fanoutRoute(int shards, double least)
{
    Route route;
    route.name = "all";
    route.idempotency = Idempotency::Idempotent;
    route.maxAttempts = 2;
    route.minShardShare = least;
    for (int i = 0; i < shards; ++i)
        route.shards.push_back("shard" + std::to_string(i));
    return route;
}

inline CallTimes times()
{
    return {start, start + 90ms, start + 500ms, start + 20ms};
}

// A call with the actions that it gave.
struct Run
{
    World &world;
    RouteTablePtr table;
    Call call;
    std::vector<Send> sends;
    std::vector<Finish> ends;

    Run(World &world, Route route)
        : world(world), table(tableOf(std::move(route))),
          call(table, table->routes().front(), servicesOf(table->routes().front()), 1, times(),
               world.hooks)
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
                ends.push_back(std::get<Finish>(it));
        }
    }

    void reply(std::size_t send, ReplyKind kind, TimePoint now)
    {
        step([&](CallActions &out) { call.onReply(sends[send].attempt, kind, now, out); });
    }
    void lose(std::size_t send, AttemptError loss, TimePoint now)
    {
        step([&](CallActions &out) { call.onError(sends[send].attempt, loss, now, out); });
    }
    void passTime(TimePoint now)
    {
        step([&](CallActions &out) { call.onTimer(now, out); });
    }
};

} // namespace forward_test
