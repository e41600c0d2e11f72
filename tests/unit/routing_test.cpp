#include "policy/routing/server_table.h"

#include "policy/admission/concurrency_limiter.h"
#include "policy/retry/budget.h"

#include <catch2/catch.hpp>
#include <map>

using namespace goldcrestline;
using namespace goldcrestline::policy::routing;
using namespace std::chrono_literals;
using core::TimePoint;

namespace {

const TimePoint start = TimePoint{} + 1h;

ServiceRecord threeServers()
{
    ServiceRecord service;
    for (const char *zone : {"a", "b", "c"})
        service.servers.push_back(
            {std::string("s-") + zone, zone, "127.0.0.1:1", 0, 100, 24, false});
    service.snapshots = {{{1, 1}, {{0, 10}}}, {{2, 1}, {{0, 10}}}};
    return service;
}

struct Table
{
    unsigned lastRandom = 0;
    ServerTable servers;

    explicit Table(int share = 2)
        : servers("a", limits(share), [this](unsigned n) { return lastRandom++ % n; })
    {
        servers.update(threeServers(), start);
    }

    static RoutingParameters limits(int share)
    {
        RoutingParameters out;
        out.connectionLimit = [share](const ServerRecord &) { return share; };
        return out;
    }

    // Sends `n` requests; each takes the time, in ms, of its server.
    std::map<std::string, int> sendRequests(int n, std::map<std::string, int> timesMs,
                                            TimePoint &now)
    {
        std::map<std::string, int> counts;
        for (int i = 0; i < n; ++i) {
            const auto id = servers.pick(0, {}, std::nullopt, now);
            REQUIRE(id);
            servers.onSent(*id);
            servers.onEnded(*id, AttemptOutcome::Answered, now,
                            now + std::chrono::milliseconds(timesMs[*id]));
            ++counts[*id];
            now += 1ms;
        }
        return counts;
    }
};

} // namespace

TEST_CASE("servers of the local zone are preferred while they are as fast", "[routing]")
{
    Table table;
    auto now = start;
    auto counts = table.sendRequests(200, {{"s-a", 6}, {"s-b", 14}, {"s-c", 14}}, now);
    CHECK(counts["s-a"] > 180);
}

TEST_CASE("a slow server of the local zone is avoided and selected again after it recovers",
          "[routing]")
{
    Table table;
    auto now = start;
    auto counts = table.sendRequests(200, {{"s-a", 80}, {"s-b", 14}, {"s-c", 14}}, now);
    CHECK(counts["s-a"] < 20);
    now += 60s;
    counts = table.sendRequests(20, {{"s-a", 6}, {"s-b", 14}, {"s-c", 14}}, now);
    CHECK(counts["s-a"] > 10);
}

TEST_CASE("requests in flight at a server do not exceed the connection share", "[routing]")
{
    Table table(1);
    for (int i = 0; i < 3; ++i) {
        const auto id = table.servers.pick(0, {}, std::nullopt, start);
        REQUIRE(id);
        table.servers.onSent(*id);
        CHECK(table.servers.inFlight(*id) == 1);
    }
    CHECK_FALSE(table.servers.pick(0, {}, std::nullopt, start));
}

TEST_CASE("each notification that a server is leaving stops new requests until it restarts",
          "[routing][leaving]")
{
    const auto selected = [](Table &table, TimePoint now) {
        std::set<std::string> ids;
        for (int i = 0; i < 30; ++i)
            ids.insert(*table.servers.pick(0, {}, std::nullopt, now));
        return ids.count("s-a") != 0;
    };
    SECTION("the platform's list")
    {
        Table table;
        auto service = threeServers();
        service.servers[0].leaving = true;
        table.servers.update(service, start);
        CHECK_FALSE(selected(table, start));
    }
    SECTION("a draining response of the server, while the list still says live")
    {
        Table table;
        table.servers.onSent("s-a");
        table.servers.onEnded("s-a", AttemptOutcome::Draining, start, start);
        table.servers.update(threeServers(), start + 1s);
        CHECK_FALSE(selected(table, start + 30s));
        auto service = threeServers();
        service.servers[0].startedAt = 200;
        table.servers.update(service, start + 31s);
        CHECK(selected(table, start + 40s));
    }
    SECTION("a peer's notification, unless it is for an earlier start")
    {
        Table table;
        CHECK_FALSE(table.servers.noteLeaving({"s-a", 99}));
        CHECK(selected(table, start));
        CHECK(table.servers.noteLeaving({"s-a", 100}));
        CHECK_FALSE(selected(table, start));
    }
}

TEST_CASE("a connection timeout does not count against a server that answers on other connections",
          "[routing]")
{
    Table failing;
    Table answering;
    for (auto *table : {&failing, &answering}) {
        table->servers.onSent("s-a");
        table->servers.onSent("s-a");
    }
    answering.servers.onEnded("s-a", AttemptOutcome::Answered, start, start + 5ms);
    failing.servers.onEnded("s-a", AttemptOutcome::Broken, start, start + 5ms);
    answering.servers.onEnded("s-a", AttemptOutcome::TimedOut, start, start + 500ms);
    failing.servers.onEnded("s-a", AttemptOutcome::TimedOut, start, start + 500ms);
    int answeringPicks = 0;
    int failingPicks = 0;
    for (int i = 0; i < 40; ++i) {
        answeringPicks +=
            *answering.servers.pick(0, {}, std::nullopt, start + 501ms) == "s-a" ? 1 : 0;
        failingPicks += *failing.servers.pick(0, {}, std::nullopt, start + 501ms) == "s-a" ? 1 : 0;
    }
    CHECK(answeringPicks > 35);
    CHECK(failingPicks < 5);
}

TEST_CASE("a restarted server gets one request at a time during slow start", "[routing]")
{
    Table table(4);
    auto service = threeServers();
    service.servers[0].startedAt = 200;
    table.servers.update(service, start + 10s);
    table.servers.onSent("s-a");
    for (int i = 0; i < 20; ++i)
        CHECK(*table.servers.pick(0, {}, std::nullopt, start + 10s) != "s-a");
}

TEST_CASE("the newest snapshot that every group holds is pinned", "[routing]")
{
    Table table;
    const auto service = threeServers();
    const auto pinned = [&](TimePoint now) {
        return table.servers.newestUsable(service.snapshots, {}, now)->id.indexVersion;
    };
    for (const char *id : {"s-a", "s-b", "s-c"})
        table.servers.onSnapshotHeld(id, {1, 1});
    CHECK(pinned(start) == 1);
    table.servers.onSnapshotHeld("s-a", {2, 1});
    CHECK(pinned(start) == 1);
    table.servers.onSnapshotHeld("s-b", {2, 1});
    CHECK(pinned(start) == 2);
    const auto older = table.servers.newestUsable(service.snapshots, {{2, 1}}, start);
    CHECK(older->id == core::SnapshotId{1, 1});
}

TEST_CASE("the concurrency limit decreases under overload and recovers", "[admission]")
{
    policy::admission::ConcurrencyLimiter limiter(16, 64);
    auto now = start;
    for (int i = 0; i < 50; ++i) {
        REQUIRE(limiter.admit(policy::config::Priority::Interactive));
        limiter.finished(true, now);
        now += 200ms;
    }
    const double lowLimit = limiter.limit();
    CHECK(lowLimit < 4);
    for (int i = 0; i < 3000; ++i) {
        int admitted = 0;
        while (limiter.admit(policy::config::Priority::Interactive))
            ++admitted;
        for (int n = 0; n < admitted; ++n)
            limiter.finished(false, now);
        now += 10ms;
    }
    CHECK(limiter.limit() > 32);
}

TEST_CASE("background queries are rejected before interactive ones", "[admission]")
{
    policy::admission::ConcurrencyLimiter limiter(10, 10);
    for (int i = 0; i < 5; ++i)
        CHECK(limiter.admit(policy::config::Priority::Background));
    CHECK_FALSE(limiter.admit(policy::config::Priority::Background));
    CHECK(limiter.admit(policy::config::Priority::Page));
    for (int i = 0; i < 4; ++i)
        CHECK(limiter.admit(policy::config::Priority::Interactive));
    CHECK_FALSE(limiter.admit(policy::config::Priority::Interactive));
}

TEST_CASE("the retry budget limits extra attempts to its share", "[retry]")
{
    policy::retry::Budget budget(0.05, 10);
    int spent = 0;
    for (int i = 0; i < 10000; ++i) {
        budget.deposit();
        spent += budget.tryWithdraw() ? 1 : 0;
    }
    CHECK(spent <= 510);
    CHECK(spent >= 490);
}
