#include "daemon/forward/server_list.h"

#include <catch2/catch.hpp>
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
        list.commit(version, now);
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
    rc::prop("two watchers that learn of changes at different times, and restores of the store",
             [] {
                 Host watchers[2];
                 Host follower;
                 auto now = start;
                 std::map<std::string, json> store;
                 core::Version version{1, 1};
                 const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 100));
                 const auto sync = [&](Host &watcher) {
                     for (const auto &it : store)
                         watcher.list.onObject(it.first, it.second, now);
                     for (const auto &it : watcher.list.ids()) {
                         if (store.count(it) == 0)
                             watcher.list.onRemoved(it, now);
                     }
                     watcher.version = version;
                     watcher.list.commit(version, now);
                 };
                 int sequence = 0;
                 for (const int step : steps) {
                     now += 300ms;
                     const auto id = "s" + std::to_string(step % 5);
                     if (step < 30) {
                         store[id] = entryOf(++sequence);
                         ++version.revision;
                     } else if (step < 45) {
                         store.erase(id);
                         ++version.revision;
                     } else if (step < 48) {
                         // A restored store lacks the latest changes and continues from a lower
                         // revision.
                         store.erase(id);
                         version = {version.era + 1, 1};
                     } else if (step < 75) {
                         sync(watchers[step % 2]);
                     } else {
                         follower.follow(watchers[step % 2], now);
                     }
                 }
                 sync(watchers[0]);
                 now += 10s;
                 follower.list.tick(now);
                 follower.follow(watchers[0], now);
                 auto ids = follower.list.ids();
                 RC_ASSERT(ids.size() == store.size());
                 RC_ASSERT(follower.list.toJson() == watchers[0].list.toJson());
             });
}
