#include "daemon/forward/server_list.h"

#include <catch2/catch.hpp>
#include <map>
#include <optional>
#include <rapidcheck/catch.h>

using namespace goldcrestline;
using daemon::forward::ServerList;
using nlohmann::json;
using namespace std::chrono_literals;
using core::TimePoint;

namespace {

const TimePoint start = TimePoint{} + 1h;

json entryOf(int sequence, const std::string &state = "ready")
{
    return {
        {"service", "s"}, {"address", "127.0.0.1:1"}, {"zone", "a"},         {"version", "v"},
        {"capacity", 2},  {"state", state},           {"warmup_left_ms", 0}, {"sequence", sequence},
        {"born", 7}};
}

struct Host
{
    policy::forward::BackendTable backends{
        "a", {}, [](const std::string &) { return 1; }, [] { return 0.5; }};
    ServerList list{backends, 4s};
    core::Version version;

    // Follows another host, as CopyFollower and PlatformCopy do.
    void follow(const Host &watcher, TimePoint now)
    {
        if (watcher.version < version)
            return;
        list.applyChanges(watcher.list.changesSince(version, now), now);
        version = watcher.version;
        list.commit(version, false, now);
    }
};

// The store's server list with its history, as hosts list and watch it.
struct Store
{
    struct Event
    {
        std::uint64_t revision;
        std::string id;
        // Empty for a removal.
        std::optional<json> entry;
    };
    std::map<std::string, json> entries;
    std::vector<Event> events;
    core::Version version{1, 1};
    int sequence = 0;

    void put(const std::string &id)
    {
        entries[id] = entryOf(++sequence);
        events.push_back({++version.revision, id, entries[id]});
    }

    void remove(const std::string &id)
    {
        entries.erase(id);
        events.push_back({++version.revision, id, std::nullopt});
    }

    // Comes back from a copy without the entry, from which it continues at a lower revision.
    void restoreWithout(const std::string &id)
    {
        entries.erase(id);
        events.clear();
        version = {version.era + 1, 1};
    }

    void listTo(Host &host, TimePoint now) const
    {
        for (const auto &it : entries)
            host.list.onObject(it.first, it.second, now);
        for (const auto &it : host.list.ids()) {
            if (entries.count(it) == 0)
                host.list.onRemoved(it, now);
        }
        host.version = version;
        host.list.commit(version, false, now);
    }

    void watchBy(Host &host, TimePoint now) const
    {
        if (host.version.era != version.era)
            return listTo(host, now);
        for (const auto &it : events) {
            if (it.revision <= host.version.revision)
                continue;
            if (it.entry)
                host.list.onObject(it.id, *it.entry, now);
            else
                host.list.onRemoved(it.id, now);
        }
        host.version = version;
        host.list.commit(version, true, now);
    }
};

} // namespace

TEST_CASE("a malformed entry leaves nothing behind")
{
    Host host;
    host.list.loadFromPeer({{"bad", "text"}, {"good", entryOf(1)}}, start);
    CHECK(host.list.ids() == std::vector<std::string>{"good"});
    CHECK(host.backends.ids() == std::vector<std::string>{"good"});
}

TEST_CASE("a follower of changing watchers holds the list of the newest one")
{
    rc::prop("two watchers that list and watch at different times, and restores", [] {
        Host watchers[2];
        Host follower;
        Store store;
        auto now = start;
        for (const int step : *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 100))) {
            now += 300ms;
            const auto id = "s" + std::to_string(step % 5);
            auto &watcher = watchers[step % 2];
            if (step < 30)
                store.put(id);
            else if (step < 45)
                store.remove(id);
            else if (step < 48)
                store.restoreWithout(id);
            else if (step < 55)
                store.listTo(watcher, now);
            else if (step < 72)
                store.watchBy(watcher, now);
            else if (step < 75)
                watcher.list.onMissing(id);
            else
                follower.follow(watcher, now);
        }
        // Owners of missing entries write them again.
        for (const auto &it : std::map(store.entries))
            store.put(it.first);
        store.watchBy(watchers[0], now);
        now += 10s;
        follower.follow(watchers[0], now);
        RC_ASSERT(follower.list.ids().size() == store.entries.size());
        RC_ASSERT(follower.list.toJson() == watchers[0].list.toJson());
        RC_ASSERT(follower.list.digest() == watchers[0].list.digest());
    });
}

TEST_CASE("a watcher that keeps a missing server does not bring it back at a follower")
{
    Host watchers[2];
    Host follower;
    Store store;
    for (const char *it : {"s1", "s2", "s3"})
        store.put(it);
    for (auto &it : watchers)
        store.listTo(it, start);
    follower.follow(watchers[0], start);
    store.remove("s1");
    store.listTo(watchers[1], start + 1s);
    follower.follow(watchers[1], start + 1s);
    REQUIRE(follower.list.ids().size() == 2);
    // The other watcher was cut off from the store and lists it now.
    store.put("s2");
    for (const auto &it : store.entries)
        watchers[0].list.onObject(it.first, it.second, start + 2s);
    watchers[0].list.onMissing("s1");
    watchers[0].version = store.version;
    watchers[0].list.commit(store.version, false, start + 2s);
    follower.follow(watchers[0], start + 2s);
    CHECK(follower.list.ids().size() == 2);
    CHECK(watchers[0].list.ids().size() == 3);
    watchers[0].list.onRemoved("s1", start + 4s);
    watchers[0].list.commit(store.version, true, start + 4s);
    follower.follow(watchers[0], start + 4s);
    follower.list.tick(start + 10s);
    CHECK(follower.list.ids().size() == 2);
    CHECK(watchers[0].backends.countAvailable("s", start + 2s) == 2);
}

TEST_CASE("a server that is listed again after an outage is used, also by an outdated entry")
{
    Host host;
    for (const char *it : {"s1", "s2", "s3"})
        host.list.onObject(it, entryOf(5), start);
    host.list.onMissing("s1");
    CHECK(host.backends.countAvailable("s", start) == 2);
    host.list.onObject("s1", entryOf(4), start + 1s);
    CHECK(host.backends.countAvailable("s", start) == 3);
}

TEST_CASE("a late heartbeat of a removed server does not bring it back")
{
    Host host;
    host.list.onObject("s1", entryOf(5), start);
    host.list.onRemoved("s1", start + 1s);
    host.list.onObject("s1", entryOf(4), start + 2s);
    CHECK(host.list.ids().empty());
    CHECK(host.backends.ids().empty());
    SECTION("a heartbeat after the removal does")
    {
        host.list.onObject("s1", entryOf(6), start + 3s);
        CHECK(host.backends.ids().size() == 1);
    }
    SECTION("a later process of the server does")
    {
        auto entry = entryOf(1);
        entry["born"] = 8;
        host.list.onObject("s1", entry, start + 3s);
        CHECK(host.backends.ids().size() == 1);
    }
    SECTION("a restored entry that stays listed does")
    {
        host.list.onStoreRestored(start + 3s);
        host.list.onObject("s1", entryOf(4), start + 3s);
        CHECK(host.backends.ids().empty());
        host.list.tick(start + 6900ms);
        CHECK(host.backends.ids().empty());
        host.list.tick(start + 7s);
        CHECK(host.backends.ids().size() == 1);
    }
}
