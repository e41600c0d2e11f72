#include "policy/routing/server_table.h"

#include "policy/admission/service_limiter.h"
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
    unsigned last = 0;
    ServerTable servers;

    explicit Table(int share = 2)
        : servers("a", limits(share), [this](unsigned n) { return last++ % n; })
    {
        servers.update(threeServers(), start);
    }

    static RoutingParameters limits(int share)
    {
        RoutingParameters out;
        out.connectionLimit = [share](const ServerRecord &) { return share; };
        return out;
    }

    // Sends `n` requests that each take the server's time in milliseconds.
    std::map<std::string, int> load(int n, std::map<std::string, int> timesMs, TimePoint &now)
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

TEST_CASE("the own zone is preferred while it is as fast", "[routing]")
{
    Table table;
    auto now = start;
    auto counts = table.load(200, {{"s-a", 6}, {"s-b", 14}, {"s-c", 14}}, now);
    CHECK(counts["s-a"] > 180);
}

TEST_CASE("a slow server of the own zone is avoided and tried again later", "[routing]")
{
    Table table;
    auto now = start;
    auto counts = table.load(200, {{"s-a", 80}, {"s-b", 14}, {"s-c", 14}}, now);
    CHECK(counts["s-a"] < 20);
    now += 60s;
    counts = table.load(20, {{"s-a", 6}, {"s-b", 14}, {"s-c", 14}}, now);
    CHECK(counts["s-a"] > 10);
}

TEST_CASE("no server is given more than the connection share", "[routing]")
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

TEST_CASE("each sign of leaving stops new work until a later start", "[routing][leaving]")
{
    const auto used = [](Table &table, TimePoint now) {
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
        CHECK_FALSE(used(table, start));
    }
    SECTION("the server's own answer, though the list still says live")
    {
        Table table;
        table.servers.onSent("s-a");
        table.servers.onEnded("s-a", AttemptOutcome::Draining, start, start);
        table.servers.update(threeServers(), start + 1s);
        CHECK_FALSE(used(table, start + 30s));
        auto service = threeServers();
        service.servers[0].startedAt = 200;
        table.servers.update(service, start + 31s);
        CHECK(used(table, start + 40s));
    }
    SECTION("a peer's word, but not one of an earlier start")
    {
        Table table;
        CHECK_FALSE(table.servers.noteLeaving({"s-a", 99}));
        CHECK(used(table, start));
        CHECK(table.servers.noteLeaving({"s-a", 100}));
        CHECK_FALSE(used(table, start));
    }
}

TEST_CASE("a silent connection is not blamed on a server that answers others", "[routing]")
{
    Table blamed;
    Table spared;
    for (auto *table : {&blamed, &spared}) {
        table->servers.onSent("s-a");
        table->servers.onSent("s-a");
    }
    spared.servers.onEnded("s-a", AttemptOutcome::Answered, start, start + 5ms);
    blamed.servers.onEnded("s-a", AttemptOutcome::Broken, start, start + 5ms);
    spared.servers.onEnded("s-a", AttemptOutcome::TimedOut, start, start + 500ms);
    blamed.servers.onEnded("s-a", AttemptOutcome::TimedOut, start, start + 500ms);
    int sparedPicks = 0;
    int blamedPicks = 0;
    for (int i = 0; i < 40; ++i) {
        sparedPicks += *spared.servers.pick(0, {}, std::nullopt, start + 501ms) == "s-a" ? 1 : 0;
        blamedPicks += *blamed.servers.pick(0, {}, std::nullopt, start + 501ms) == "s-a" ? 1 : 0;
    }
    CHECK(sparedPicks > 35);
    CHECK(blamedPicks < 5);
}

TEST_CASE("a cold server starts with one request at a time", "[routing]")
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

TEST_CASE("the query limiter falls under strain and recovers", "[admission]")
{
    policy::admission::ConcurrencyLimiter limiter(16, 64);
    auto now = start;
    for (int i = 0; i < 50; ++i) {
        REQUIRE(limiter.admit(policy::config::Priority::Interactive));
        limiter.finished(true, now);
        now += 200ms;
    }
    const double low = limiter.limit();
    CHECK(low < 4);
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

TEST_CASE("background work is refused before interactive work", "[admission]")
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

TEST_CASE("a budget allows its share of extra attempts", "[retry]")
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
