#include "policy/entrypoints/entry_points.h"
#include "policy/reach/reach_monitor.h"

#include <catch2/catch.hpp>

using namespace goldcrestline;
using namespace goldcrestline::policy::reach;
using namespace std::chrono_literals;
using core::TimePoint;

namespace {

const TimePoint start = TimePoint{} + 1h;

void failAt(ReachMonitor &monitor, int servers, TimePoint now)
{
    for (int i = 0; i < servers; ++i)
        monitor.onFailure("s" + std::to_string(i), now);
}

ReachMonitor makeCutOff(TimePoint now)
{
    ReachMonitor monitor;
    monitor.onResponse(now - 500ms);
    monitor.onPeerResponse(now);
    failAt(monitor, 3, now);
    REQUIRE(monitor.shouldCheck(now));
    monitor.onChecked(false, now + 200ms);
    REQUIRE(monitor.cutOff());
    return monitor;
}

} // namespace

TEST_CASE("a host that reaches no server while others do is cut off")
{
    ReachMonitor monitor;
    monitor.onResponse(start);
    failAt(monitor, 2, start + 500ms);
    CHECK_FALSE(monitor.shouldCheck(start + 500ms));
    failAt(monitor, 3, start + 500ms);
    REQUIRE(monitor.shouldCheck(start + 500ms));
    CHECK_FALSE(monitor.shouldCheck(start + 500ms));
    SECTION("as soon as another host had a later response")
    {
        monitor.onPeerResponse(start + 400ms);
        monitor.onChecked(false, start + 700ms);
        CHECK(monitor.cutOff());
    }
    SECTION("not while the servers are down for all")
    {
        monitor.onPeerResponse(start + 100ms);
        monitor.onChecked(false, start + 700ms);
        CHECK_FALSE(monitor.cutOff());
        failAt(monitor, 3, start + 1s);
        REQUIRE(monitor.shouldCheck(start + 1s));
        monitor.onChecked(false, start + 1200ms);
        CHECK_FALSE(monitor.cutOff());
    }
    SECTION("not if a connection opens")
    {
        monitor.onPeerResponse(start + 400ms);
        monitor.onChecked(true, start + 700ms);
        CHECK_FALSE(monitor.cutOff());
    }
    SECTION("not by old news")
    {
        monitor.onPeerResponse(start + 400ms);
        monitor.onChecked(false, start + 5s);
        CHECK_FALSE(monitor.cutOff());
    }
}

TEST_CASE("a host that can open no new connection is cut off while its open ones respond")
{
    ReachMonitor monitor;
    failAt(monitor, 3, start);
    REQUIRE(monitor.shouldCheck(start));
    monitor.onResponse(start + 50ms);
    monitor.onChecked(false, start + 100ms);
    CHECK_FALSE(monitor.cutOff());
    monitor.onResponse(start + 200ms);
    failAt(monitor, 3, start + 500ms);
    REQUIRE(monitor.shouldCheck(start + 500ms));
    monitor.onChecked(false, start + 700ms);
    CHECK(monitor.cutOff());
}

TEST_CASE("one failed attempt of a host with few requests is enough where others lead")
{
    ReachMonitor monitor;
    monitor.onResponse(start);
    monitor.onPeerResponse(start + 700ms);
    CHECK_FALSE(monitor.shouldCheck(start + 800ms));
    failAt(monitor, 1, start + 800ms);
    CHECK(monitor.shouldCheck(start + 800ms));
}

TEST_CASE("a host that was cut off returns after two rounds, and later if it is cut off again")
{
    auto monitor = makeCutOff(start);
    auto now = start + 400ms;
    const auto roundsUntilReturn = [&] {
        int rounds = 0;
        while (monitor.cutOff()) {
            now += 400ms;
            REQUIRE(monitor.shouldCheck(now));
            monitor.onChecked(true, now);
            ++rounds;
        }
        return rounds;
    };
    CHECK(roundsUntilReturn() == 2);
    for (const int rounds : {4, 8, 16, 16}) {
        now += 1s;
        monitor.onPeerResponse(now);
        failAt(monitor, 3, now);
        REQUIRE(monitor.shouldCheck(now));
        monitor.onChecked(false, now);
        REQUIRE(monitor.cutOff());
        CHECK(roundsUntilReturn() == rounds);
    }
}

TEST_CASE("failures from before a pause of the process prove nothing")
{
    ReachMonitor monitor;
    failAt(monitor, 3, start);
    monitor.onPause(start + 100ms);
    CHECK_FALSE(monitor.shouldCheck(start + 100ms));
    CHECK_FALSE(monitor.shouldCheck(start + 600ms));
}

TEST_CASE("hosts that reach no server are no entry points unless all are cut off")
{
    std::vector<policy::membership::Member> members(3);
    for (std::size_t i = 0; i < members.size(); ++i) {
        members[i].name = "h" + std::to_string(i);
        members[i].zone = "z";
    }
    members[0].cutOff = true;
    CHECK_FALSE(
        policy::entrypoints::containsHost(policy::entrypoints::eligibleHosts(members), "h0"));
    CHECK(policy::entrypoints::eligibleHosts(members).size() == 2);
    for (auto &it : members)
        it.cutOff = true;
    CHECK(policy::entrypoints::eligibleHosts(members).size() == 3);
}
