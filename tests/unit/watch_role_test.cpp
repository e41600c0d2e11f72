#include "policy/mirror/watch_role.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace goldcrestline;
using namespace goldcrestline::policy::mirror;
using namespace std::chrono_literals;
using core::TimePoint;
using policy::membership::Member;

namespace {

const TimePoint start = TimePoint{} + 1h;
// A host that has copies and whose own watches work.
const WatchRole::OwnState copies{true, true};

std::vector<Member> makeHosts(int count, const std::string &zone = "a")
{
    std::vector<Member> out;
    for (int i = 0; i < count; ++i) {
        Member it;
        it.name = zone + std::to_string(i);
        it.zone = zone;
        it.peersAddress = it.name;
        out.push_back(it);
    }
    return out;
}

// Returns how many of the hosts watch, each deciding by itself.
int countWatching(const std::vector<Member> &hosts, TimePoint now)
{
    int n = 0;
    for (const auto &it : hosts) {
        WatchRole role({});
        role.update(hosts, it, copies, start);
        role.update(hosts, it, copies, now);
        n += role.watching() ? 1 : 0;
    }
    return n;
}

// The first host of the zone that is not one of its watchers.
Member followerOf(const std::vector<Member> &hosts)
{
    for (const auto &it : hosts) {
        WatchRole role({});
        role.update(hosts, it, copies, start);
        if (!role.followed())
            return it;
    }
    throw std::logic_error("every host watches");
}

} // namespace

TEST_CASE("each host of a small zone watches the store and two of a large one do")
{
    CHECK(countWatching(makeHosts(6), start + 2s) == 6);
    CHECK(countWatching(makeHosts(7), start + 2s) == 2);
    auto hosts = makeHosts(40);
    const auto others = makeHosts(30, "b");
    hosts.insert(hosts.end(), others.begin(), others.end());
    CHECK(countWatching(hosts, start + 2s) == 4);
}

TEST_CASE("a host that starts reads the store itself if no other host gives it copies in time")
{
    const auto hosts = makeHosts(10);
    const auto self = followerOf(hosts);
    WatchRole role({});
    role.setStartupDelay(250ms);
    const bool knowsOthers = GENERATE(false, true);
    const auto live = knowsOthers ? hosts : std::vector<Member>{self};
    role.update(live, self, {}, start);
    CHECK_FALSE(role.watching());
    role.update(live, self, {}, start + 200ms);
    CHECK_FALSE(role.watching());
    role.update(live, self, {}, start + 300ms);
    CHECK(role.watching());
    // With copies it watches on only if it has no one to follow.
    role.update(live, self, copies, start + 400ms);
    CHECK(role.watching() == !knowsOthers);
}

TEST_CASE(
    "a follower watches by itself while its watchers do not confirm that they reach the store")
{
    const auto hosts = makeHosts(10);
    const auto self = followerOf(hosts);
    WatchRole role({});
    auto now = start;
    const auto run = [&](core::Duration length, std::optional<core::Duration> age) {
        for (const auto end = now + length; now < end; now += 300ms) {
            if (age)
                role.onConfirmation(*age, now - 10ms);
            role.update(hosts, self, copies, now);
        }
    };
    run(10s, 500ms);
    CHECK_FALSE(role.watching());
    CHECK(role.watchers().size() == 2);
    SECTION("its watchers do not answer")
    {
        run(3s, std::nullopt);
    }
    SECTION("its watchers have lost the store")
    {
        run(3s, 20s);
    }
    CHECK(role.watching());
    // It goes on for a time, since the watchers may lose the store again.
    run(4s, 500ms);
    CHECK(role.watching());
    run(2s, 500ms);
    CHECK_FALSE(role.watching());
}

TEST_CASE("a watcher that stops or is suspect is replaced")
{
    auto hosts = makeHosts(10);
    const auto self = followerOf(hosts);
    WatchRole role({});
    role.update(hosts, self, copies, start);
    const auto before = role.watchers();
    REQUIRE(before.size() == 2);
    for (auto &it : hosts) {
        if (it.peersAddress == before[0])
            it.leaving = true;
        if (it.peersAddress == before[1])
            it.state = policy::membership::MemberState::Suspect;
    }
    role.update(hosts, self, copies, start + 300ms);
    for (const auto &it : role.watchers())
        CHECK(std::find(before.begin(), before.end(), it) == before.end());
    CHECK((role.watchers().size() == 2 || role.followed()));
}

// Hosts of a large fleet that all listed everything again after an outage of the store made most of
// a day's calls.
TEST_CASE("a host whose own watch never worked follows at once when its watchers confirm again")
{
    const auto hosts = makeHosts(40);
    const auto self = followerOf(hosts);
    for (const bool works : {false, true}) {
        WatchRole role({});
        role.update(hosts, self, copies, start);
        role.onConfirmation(0ms, start);
        auto now = start + 3s;
        role.update(hosts, self, {true, false}, now);
        CHECK(role.watching());
        now += 4s;
        role.update(hosts, self, {true, works}, now);
        CHECK(role.watching());
        role.onConfirmation(0ms, now);
        role.update(hosts, self, {true, works}, now + 300ms);
        CHECK(role.watching() == works);
    }
}

// While hosts start together, the hosts that others follow change. A new one whose watch had a long
// wait confirmed nothing for up to 25 s, so that all its followers read the store themselves.
TEST_CASE("a watching host that others begin to follow renews its watches")
{
    const auto hosts = makeHosts(10);
    for (const auto &it : hosts) {
        WatchRole role({});
        role.update({it}, it, copies, start);
        REQUIRE(role.watching());
        CHECK_FALSE(role.takeWatchesOutdated());
        role.update(hosts, it, copies, start + 300ms);
        CHECK(role.takeWatchesOutdated() == role.followed());
        CHECK_FALSE(role.takeWatchesOutdated());
    }
}
