#include "policy/forward/backend_table.h"
#include "policy/forward/departed_servers.h"
#include "policy/routing/note_rotation.h"

#include <catch2/catch.hpp>
#include <map>
#include <set>

using namespace goldcrestline;
using namespace goldcrestline::policy::forward;
using namespace std::chrono_literals;
using core::TimePoint;

namespace {

const TimePoint start = TimePoint{} + 1h;

BackendRecord recordOf(const std::string &id, const std::string &zone)
{
    BackendRecord record;
    record.id = id;
    record.service = "s";
    record.address = "127.0.0.1:1";
    record.zone = zone;
    record.slots = 2;
    return record;
}

struct Table
{
    int share = 2;
    BackendTable backends{
        "a", {}, [this](const std::string &) { return share; }, [] { return 0.5; }};

    Table()
    {
        for (const char *zone : {"a", "b", "c"})
            backends.put(recordOf(std::string("s-") + zone, zone));
    }

    // Sends `n` requests one after the other; each takes the time, in ms, of its server.
    std::map<std::string, int> sendRequests(int n, std::map<std::string, int> timesMs,
                                            TimePoint &now)
    {
        std::map<std::string, int> counts;
        for (int i = 0; i < n; ++i) {
            const auto backend = backends.pick("s", {}, now);
            REQUIRE(backend);
            backends.onSent(*backend, now);
            const auto sentAt = now;
            now += std::chrono::milliseconds(timesMs[backend->record.id]);
            backends.onEnded(*backend, AttemptOutcome::Answered, sentAt, now);
            ++counts[backend->record.id];
        }
        return counts;
    }
};

} // namespace

TEST_CASE("servers of the local zone are preferred")
{
    Table table;
    auto now = start;
    const auto counts = table.sendRequests(50, {{"s-a", 8}, {"s-b", 17}, {"s-c", 17}}, now);
    CHECK(counts.at("s-a") == 50);
}

TEST_CASE("a slow server is avoided and selected again after it recovers")
{
    Table table;
    auto now = start;
    table.sendRequests(20, {{"s-a", 8}, {"s-b", 17}, {"s-c", 17}}, now);
    auto counts = table.sendRequests(60, {{"s-a", 80}, {"s-b", 17}, {"s-c", 17}}, now);
    CHECK(counts["s-a"] < 10);
    now += 10s;
    counts = table.sendRequests(60, {{"s-a", 8}, {"s-b", 17}, {"s-c", 17}}, now);
    CHECK(counts["s-a"] > 30);
}

TEST_CASE("a stalled server gets no further requests")
{
    Table table;
    auto now = start;
    table.sendRequests(20, {{"s-a", 8}, {"s-b", 17}, {"s-c", 17}}, now);
    const auto stalled = table.backends.pick("s", {}, now);
    REQUIRE(stalled->record.id == "s-a");
    table.backends.onSent(*stalled, now);
    const auto next = table.backends.pick("s", {}, now + 50ms);
    CHECK(next->record.id != "s-a");
}

TEST_CASE("a host uses no more than its share of a server's connections")
{
    Table table;
    std::vector<BackendPtr> sent;
    for (int i = 0; i < 6; ++i) {
        auto backend = table.backends.pick("s", {}, start);
        REQUIRE(backend);
        table.backends.onSent(*backend, start);
    }
    CHECK_FALSE(table.backends.pick("s", {}, start));
    CHECK(table.backends.countAvailable("s", start) == 0);
    CHECK(table.backends.hasUsable("s", {}, start));
}

TEST_CASE("leaving, removed and misdirected servers get no requests")
{
    Table table;
    auto leaving = recordOf("s-a", "a");
    leaving.leaving = true;
    table.backends.put(leaving);
    table.backends.remove("s-b");
    auto last = table.backends.pick("s", {}, start);
    REQUIRE(last->record.id == "s-c");
    table.backends.onSent(*last, start);
    table.backends.onEnded(*last, AttemptOutcome::Misdirected, start, start + 1ms);
    CHECK_FALSE(table.backends.pick("s", {}, start + 1ms));
    CHECK_FALSE(table.backends.hasUsable("s", {}, start + 1ms));
    SECTION("a leaving server gets no requests although its entry says that it is ready")
    {
        table.backends.put(recordOf("s-a", "a"));
        CHECK_FALSE(table.backends.hasUsable("s", {}, start + 1ms));
    }
    SECTION("a new start time under the same id is a new server")
    {
        auto again = recordOf("s-a", "a");
        again.startedAt = 7;
        table.backends.put(again);
        CHECK(table.backends.pick("s", {}, start + 1ms)->record.startedAt == 7);
    }
}

TEST_CASE("the ejection time of an unreachable server increases")
{
    Table table;
    auto now = start;
    for (int i = 0; i < 3; ++i) {
        const auto backend = table.backends.pick("s", {}, now);
        REQUIRE(backend->record.id == "s-a");
        table.backends.onSent(*backend, now);
        table.backends.onEnded(*backend, AttemptOutcome::NotReached, now, now);
        CHECK(table.backends.pick("s", {}, now) != backend);
        now = backend->ejectedUntil + 1ms;
        // Failures add to the selection cost, so the server is retried only without other servers.
        table.backends.remove("s-b");
        table.backends.remove("s-c");
    }
    CHECK(now - start > 1500ms);
}

TEST_CASE("a server that refused a request gets none during the backoff")
{
    Table table;
    const auto backend = table.backends.pick("s", {}, start);
    table.backends.onSent(*backend, start);
    table.backends.onEnded(*backend, AttemptOutcome::Refused, start, start + 1ms);
    CHECK(table.backends.pick("s", {}, start + 2ms) != backend);
    CHECK(table.backends.pick("s", {}, start + 100ms) == backend);
}

TEST_CASE("a server that refuses half of its requests gets few until it recovers")
{
    Table table;
    auto now = start;
    std::map<std::string, int> counts;
    const auto sendRequests = [&](int n, bool refuses) {
        counts.clear();
        for (int i = 0; i < n; ++i) {
            const auto backend = table.backends.pick("s", {}, now);
            REQUIRE(backend);
            const auto &id = backend->record.id;
            table.backends.onSent(*backend, now);
            const bool refused = refuses && id == "s-a" && ++counts["turns"] % 2 == 0;
            const auto end = now + (refused ? 1ms : id == "s-a" ? 8ms : 17ms);
            table.backends.onEnded(
                *backend, refused ? AttemptOutcome::Refused : AttemptOutcome::Answered, now, end);
            ++counts[id];
            now = end + 20ms;
        }
    };
    sendRequests(50, false);
    CHECK(counts["s-a"] == 50);
    sendRequests(400, true);
    CHECK(counts["s-a"] < 100);
    now += 10s;
    sendRequests(200, false);
    CHECK(counts["s-a"] > 150);
}

TEST_CASE("the latency estimate includes the requests queued ahead")
{
    Table table;
    auto now = start;
    table.sendRequests(30, {{"s-a", 20}, {"s-b", 20}, {"s-c", 20}}, now);
    const auto idle = table.backends.estimateLatency("s", 0, now);
    REQUIRE(idle);
    CHECK(idle->responseMs == Approx(20).margin(1));
    CHECK(idle->processingMs == Approx(20).margin(1));
    for (int i = 0; i < 6; ++i)
        table.backends.onSent(*table.backends.pick("s", {}, now), now);
    const auto busy = table.backends.estimateLatency("s", 0, now);
    const auto queued = table.backends.estimateLatency("s", 12, now);
    // Both slots of each server are in use: on average one is free after half a processing time.
    CHECK(busy->responseMs == Approx(30).margin(2));
    // Twelve requests queued ahead take two rounds of the six in flight.
    CHECK(queued->responseMs == Approx(90).margin(5));
    CHECK(queued->processingMs == Approx(20).margin(1));
}

TEST_CASE("queueing at a server is not counted as processing time")
{
    Table table;
    auto now = start;
    for (int i = 0; i < 30; ++i) {
        const auto backend = table.backends.pick("s", {}, now);
        table.backends.onSent(*backend, now);
        const auto sentAt = now;
        now += 120ms;
        table.backends.onLoadReport(*backend, 2, 10, 2, now);
        table.backends.onEnded(*backend, AttemptOutcome::Answered, sentAt, now);
    }
    const auto estimate = table.backends.estimateLatency("s", 0, now);
    REQUIRE(estimate);
    // Ten requests queued for two slots: five sixths of the response time were queueing.
    CHECK(estimate->processingMs == Approx(20).margin(2));
    CHECK(table.backends.estimateLatency("s", 0, now + 5s)->responseMs < 30);
}

// Guards against messages that tell of the same servers each time while others leave unheard.
TEST_CASE("hosts hear of all servers that leave together, in several messages")
{
    Table table;
    for (int i = 0; i < 60; ++i)
        table.backends.noteLeaving({"s" + std::to_string(i), 0}, start);
    policy::routing::NoteRotation rotation;
    std::set<std::string> told;
    for (int message = 0; message < 4; ++message) {
        const auto notes = rotation.next(table.backends.recentLeavingNotes(start + 1s), 16);
        CHECK(notes.size() == 16);
        for (const auto &it : notes)
            told.insert(it.serverId);
    }
    CHECK(told.size() == 60);
}

TEST_CASE("a server that reports that it is leaving gets no requests until it restarts")
{
    Table table;
    CHECK(table.backends.noteLeaving({"s-a", 0}, start));
    CHECK_FALSE(table.backends.noteLeaving({"s-a", 0}, start));
    const auto used = [&](const std::string &id, TimePoint now) {
        std::vector<BackendPtr> exclude;
        while (auto backend = table.backends.pick("s", exclude, now)) {
            if (backend->record.id == id)
                return true;
            exclude.push_back(std::move(backend));
        }
        return false;
    };
    CHECK_FALSE(used("s-a", start));
    CHECK(used("s-b", start));
    REQUIRE(table.backends.recentLeavingNotes(start + 1s).size() == 1);
    CHECK(table.backends.recentLeavingNotes(start + 1min).empty());
    SECTION("also after its entry was removed and listed again")
    {
        table.backends.remove("s-a");
        table.backends.put(recordOf("s-a", "a"));
        CHECK_FALSE(used("s-a", start + 10s));
    }
    SECTION("a later start under the same id is another server")
    {
        auto restarted = recordOf("s-a", "a");
        restarted.startedAt = 5;
        table.backends.put(restarted);
        CHECK(used("s-a", start));
        // A delayed report about the earlier process.
        CHECK_FALSE(table.backends.noteLeaving({"s-a", 0}, start + 1s));
        CHECK(used("s-a", start + 1s));
    }
}

TEST_CASE("a server that asks for a rest gets no requests until its end and few right after it")
{
    Table table;
    for (const char *it : {"s-b", "s-c"})
        table.backends.remove(it);
    const auto backend = table.backends.pick("s", {}, start);
    REQUIRE(backend);
    CHECK_FALSE(table.backends.availableAgainAt("s", start));
    table.backends.onRestRequested(*backend, 2s, start);
    CHECK_FALSE(table.backends.pick("s", {}, start + 2s));
    CHECK_FALSE(table.backends.hasUsable("s", {}, start + 2s));
    const auto at = table.backends.availableAgainAt("s", start);
    REQUIRE(at);
    CHECK(*at >= start + 2s);
    CHECK(*at <= start + 2400ms);
    // One request at a time until the load of the returning hosts is known.
    REQUIRE(table.backends.pick("s", {}, *at));
    table.backends.onSent(*backend, *at);
    CHECK_FALSE(table.backends.pick("s", {}, *at + 10ms));
    table.backends.onEnded(*backend, AttemptOutcome::Answered, *at, *at + 10ms);
    table.backends.onSent(*backend, *at + 1100ms);
    CHECK(table.backends.pick("s", {}, *at + 1100ms));
}

TEST_CASE("a restored entry of a removed server is held back until the store would have removed it")
{
    DepartedServers departed(4s);
    departed.onRemoved("gone", 7, 4, start);
    CHECK_FALSE(departed.heldUntil("gone", 7, 5, start + 1s));
    departed.onStoreRestored(start + 1s);
    CHECK(departed.heldUntil("gone", 7, 5, start + 4900ms) == start + 5s);
    CHECK_FALSE(departed.heldUntil("gone", 7, 5, start + 5s));
    CHECK_FALSE(departed.heldUntil("gone", 8, 5, start + 2s));
    CHECK_FALSE(departed.heldUntil("other", 7, 5, start + 2s));
    // Removed and listed again after the restore, as a server that writes its entry late.
    departed.onRemoved("late", 7, 4, start + 2s);
    CHECK_FALSE(departed.heldUntil("late", 7, 5, start + 3s));
    CHECK(departed.heldUntil("late", 7, 4, start + 3s) == start + 7s);
    departed.onReturned("late");
    CHECK_FALSE(departed.heldUntil("late", 7, 4, start + 3s));
}

TEST_CASE(
    "a server whose entry is missing since an outage is used only while most of its service is")
{
    Table table;
    const auto usable = [&] { return table.backends.countAvailable("s", start); };
    table.backends.setMissing("s-a", true);
    CHECK(usable() == 2);
    SECTION("entries that lapsed in the outage are missing together")
    {
        table.backends.setMissing("s-b", true);
        CHECK(usable() == 3);
        table.backends.put(recordOf("s-b", "b"));
        CHECK(usable() == 2);
    }
    SECTION("a server that writes its entry again is used")
    {
        table.backends.put(recordOf("s-a", "a"));
        CHECK(usable() == 3);
    }
    SECTION("a server that is removed no longer counts")
    {
        table.backends.remove("s-a");
        table.backends.setMissing("s-b", true);
        CHECK(usable() == 1);
    }
}

TEST_CASE("a service that was left out as too slow is tried again after a while")
{
    Table table;
    auto now = start;
    // Responses that a pause of this host delayed.
    table.sendRequests(30, {{"s-a", 900}, {"s-b", 900}, {"s-c", 900}}, now);
    CHECK(table.backends.estimateLatency("s", 0, now)->responseMs > 400);
    CHECK(table.backends.estimateLatency("s", 0, now + 1s)->responseMs > 250);
    CHECK(table.backends.estimateLatency("s", 0, now + 9s)->responseMs < 60);
}
