#include "policy/mirror/mirror.h"
#include "policy/mirror/store_era.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>
#include <set>

using namespace goldcrestline;
using namespace goldcrestline::policy::mirror;
using namespace std::chrono_literals;
using core::TimePoint;

namespace {

const TimePoint start = TimePoint{} + 1h;

Mirror makeMirror()
{
    return {{}, [] { return 1.0; }};
}

// Completes a list of one page with the names.
void listAll(Mirror &mirror, const std::vector<std::string> &names, std::uint64_t revision,
             TimePoint now)
{
    const auto step = mirror.next(now);
    REQUIRE(step);
    REQUIRE(std::holds_alternative<ListStep>(*step));
    mirror.onPage(names, std::nullopt, revision, now);
}

} // namespace

TEST_CASE("a copy is listed page by page and then watched from the first page's revision")
{
    auto mirror = makeMirror();
    auto step = mirror.next(start);
    REQUIRE(std::get<ListStep>(*step).after.empty());
    CHECK_FALSE(mirror.next(start));
    mirror.onPage({"a", "b"}, "b", 10, start);
    CHECK_FALSE(mirror.complete());
    step = mirror.next(start);
    CHECK(std::get<ListStep>(*step).after == "b");
    mirror.onPage({"c"}, std::nullopt, 12, start);
    CHECK(mirror.complete());
    step = mirror.next(start);
    CHECK(std::get<WatchStep>(*step).revision == 10);
}

TEST_CASE("an object that is deleted while the store is healthy is removed at once")
{
    auto mirror = makeMirror();
    listAll(mirror, {"a", "b"}, 1, start);
    mirror.next(start);
    mirror.onChange("a", true, start + 1s);
    mirror.onWatchResponse(2, true, start + 1s);
    CHECK(mirror.takeRemovals(start + 1s) == std::vector<std::string>{"a"});
    CHECK(mirror.takeRemovals(start + 9s).empty());
}

TEST_CASE("objects deleted during a store outage are removed only after the grace period")
{
    auto mirror = makeMirror();
    listAll(mirror, {"a", "b"}, 1, start);
    mirror.next(start);
    mirror.onFailure(std::nullopt, start + 1s);
    CHECK(mirror.failing());
    const auto recovered = start + 5s;
    mirror.next(recovered);
    mirror.onChange("a", true, recovered);
    mirror.onChange("b", true, recovered);
    mirror.onWatchResponse(5, true, recovered);
    CHECK(mirror.takeMissing() == std::vector<std::string>{"a", "b"});
    CHECK(mirror.takeMissing().empty());
    CHECK(mirror.takeRemovals(recovered + 2400ms).empty());
    mirror.next(recovered + 1s);
    mirror.onChange("b", false, recovered + 1s);
    mirror.onWatchResponse(6, true, recovered + 1s);
    CHECK(mirror.takeRemovals(recovered + 2500ms) == std::vector<std::string>{"a"});
}

TEST_CASE("the list is read again when the history is lost, and objects missing on it are removed")
{
    auto mirror = makeMirror();
    listAll(mirror, {"a", "b"}, 1, start);
    mirror.next(start);
    mirror.onHistoryLost(start + 1s);
    listAll(mirror, {"b", "c"}, 9, start + 1s);
    CHECK(mirror.takeRemovals(start + 1s) == std::vector<std::string>{"a"});
    CHECK(std::get<WatchStep>(*mirror.next(start + 1s)).revision == 9);
}

TEST_CASE("failed calls are retried with increasing and bounded backoff")
{
    auto mirror = makeMirror();
    auto now = start;
    core::Duration last{};
    for (int i = 0; i < 12; ++i) {
        REQUIRE(mirror.next(now));
        mirror.onFailure(std::nullopt, now);
        auto later = now;
        while (!mirror.next(later))
            later += 10ms;
        mirror.onWatchAborted(later);
        const auto pause = later - now;
        CHECK(pause >= last);
        CHECK(pause <= MirrorTimings{}.maxBackoff);
        last = pause;
        now = later;
    }
}

TEST_CASE("a copy converges to the store after arbitrary failures")
{
    rc::prop("random faults", [](const std::vector<unsigned char> &events) {
        auto mirror = makeMirror();
        std::set<std::string> store{"a", "b", "c"};
        std::set<std::string> copy;
        std::vector<std::pair<std::string, bool>> history;
        auto now = start;
        const auto applyRemovals = [&] {
            for (const auto &it : mirror.takeRemovals(now))
                copy.erase(it);
        };
        const auto respond = [&](const Step &step) {
            if (std::holds_alternative<ListStep>(step)) {
                copy.insert(store.begin(), store.end());
                return mirror.onPage({store.begin(), store.end()}, std::nullopt, history.size(),
                                     now);
            }
            const auto from = std::get<WatchStep>(step).revision;
            for (std::size_t i = from; i < history.size(); ++i) {
                mirror.onChange(history[i].first, !history[i].second, now);
                if (history[i].second)
                    copy.insert(history[i].first);
            }
            mirror.onWatchResponse(history.size(), from < history.size(), now);
        };
        for (const auto event : events) {
            now += std::chrono::milliseconds(50 * (event % 7));
            const std::string name(1, static_cast<char>('a' + event % 5));
            const bool add = event % 2 == 0;
            if ((store.count(name) != 0) != add) {
                add ? (void)store.insert(name) : (void)store.erase(name);
                history.emplace_back(name, add);
            }
            const auto step = mirror.next(now);
            if (!step)
                continue;
            if (event % 11 == 0)
                mirror.onFailure(std::nullopt, now);
            else if (event % 13 == 0 && std::holds_alternative<WatchStep>(*step))
                mirror.onHistoryLost(now);
            else
                respond(*step);
            applyRemovals();
        }
        for (int i = 0; i < 5; ++i) {
            now += 3s;
            if (const auto step = mirror.next(now))
                respond(*step);
            applyRemovals();
        }
        now += 3s;
        applyRemovals();
        RC_ASSERT(copy == store);
    });
}

TEST_CASE("a burst of changes takes few calls, and a change after a quiet period is fetched soon")
{
    // The servers of a large deployment register one after another over several seconds.
    auto mirror = makeMirror();
    listAll(mirror, {}, 1, start);
    auto now = start;
    std::uint64_t revision = 1;
    int calls = 0;
    for (const auto end = start + 4s; now < end; now += 10ms) {
        if (mirror.next(now))
            ++calls;
        else
            continue;
        mirror.onChange("s" + std::to_string(revision), false, now + 5ms);
        mirror.onWatchResponse(++revision, true, now + 5ms);
    }
    CHECK(calls <= 12);
    CHECK(calls >= 4);
    now += 5s;
    REQUIRE(mirror.next(now));
    now += 10s;
    mirror.onWatchResponse(++revision, true, now);
    CHECK_FALSE(mirror.next(now + 10ms));
    CHECK(mirror.next(now + 50ms));
}

TEST_CASE(
    "after a restore of the store all objects are listed again and missing ones kept for a time")
{
    auto mirror = makeMirror();
    listAll(mirror, {"a", "b"}, 20, start);
    CHECK(std::get<WatchStep>(*mirror.next(start)).revision == 20);
    // The restored store counts from an older revision, which has passed 20 again meanwhile.
    mirror.onStoreRestored(start + 1s);
    listAll(mirror, {"a"}, 23, start + 1s);
    CHECK(std::get<WatchStep>(*mirror.next(start + 1s)).revision == 23);
    CHECK(mirror.takeRemovals(start + 3400ms).empty());
    SECTION("an object whose owner writes it again is kept")
    {
        mirror.onChange("b", false, start + 3400ms);
        mirror.onWatchResponse(24, true, start + 3400ms);
        CHECK(mirror.takeRemovals(start + 9s).empty());
    }
    SECTION("an object that stays missing is removed")
    {
        CHECK(mirror.takeRemovals(start + 3500ms) == std::vector<std::string>{"b"});
    }
    SECTION("a lower revision replaces the earlier one")
    {
        mirror.onStoreRestored(start + 2s);
        listAll(mirror, {"a"}, 7, start + 2s);
        CHECK(std::get<WatchStep>(*mirror.next(start + 2s)).revision == 7);
    }
}

TEST_CASE("the store's era rises once with each restore and earlier eras are outdated")
{
    StoreEra era;
    CHECK(era.observe(std::nullopt) == EraOrder::Current);
    CHECK(era.observe(4) == EraOrder::Current);
    CHECK(era.observe(4) == EraOrder::Current);
    CHECK(era.observe(6) == EraOrder::Risen);
    CHECK(era.observe(5) == EraOrder::Outdated);
    CHECK(era.observe(std::nullopt) == EraOrder::Current);
    CHECK(era.observe(6) == EraOrder::Current);
    CHECK(era.rises() == 1);
}

TEST_CASE("the first watch after a failure returns at once, so that a restore of the store is seen")
{
    auto mirror = makeMirror();
    listAll(mirror, {"a"}, 20, start);
    CHECK_FALSE(std::get<WatchStep>(*mirror.next(start)).immediate);
    mirror.onFailure(std::nullopt, start + 1s);
    CHECK(std::get<WatchStep>(*mirror.next(start + 2s)).immediate);
    mirror.onWatchResponse(20, false, start + 2s);
    CHECK_FALSE(std::get<WatchStep>(*mirror.next(start + 2s)).immediate);
}

TEST_CASE("the first watch after an aborted one returns at once, so that a silent store is noticed")
{
    auto mirror = makeMirror();
    listAll(mirror, {"a"}, 20, start);
    CHECK_FALSE(std::get<WatchStep>(*mirror.next(start)).immediate);
    mirror.onWatchAborted(start + 1s);
    CHECK(std::get<WatchStep>(*mirror.next(start + 1s)).immediate);
    mirror.onWatchResponse(20, false, start + 1s);
    CHECK_FALSE(std::get<WatchStep>(*mirror.next(start + 1s)).immediate);
}

namespace {

// Reads a list from a store that rejects each call whose `after` contains a character that has to
// be encoded. Returns the names read.
std::set<std::string> readList(const std::set<std::string> &stored, std::size_t pageSize)
{
    constexpr std::string_view plain =
        "-.0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZ_abcdefghijklmnopqrstuvwxyz~";
    auto mirror = makeMirror();
    std::set<std::string> names;
    auto now = start;
    for (std::size_t calls = 0; !mirror.complete(); ++calls) {
        RC_ASSERT(calls < 10 * stored.size() + 10);
        now += 10s;
        const auto after = std::get<ListStep>(*mirror.next(now)).after;
        if (after.find_first_not_of(plain) != std::string::npos) {
            mirror.onRejected(now);
            continue;
        }
        std::vector<std::string> page;
        auto it = stored.upper_bound(after);
        for (; it != stored.end() && page.size() < pageSize; ++it)
            page.push_back(*it);
        names.insert(page.begin(), page.end());
        std::optional<std::string> next;
        if (it != stored.end())
            next = page.back();
        mirror.onPage(page, next, 5, now);
    }
    return names;
}

} // namespace

// Guards against a call that is rejected for good and repeated, so that nothing behind is read.
TEST_CASE("a list continues behind a name that the store rejects")
{
    auto mirror = makeMirror();
    mirror.next(start);
    mirror.onPage({"a", "copy of b"}, "copy of b", 10, start);
    CHECK(std::get<ListStep>(*mirror.next(start)).after == "copy of b");
    mirror.onRejected(start);
    CHECK_FALSE(mirror.next(start));
    CHECK(std::get<ListStep>(*mirror.next(start + 2s)).after == "copy-");
    mirror.onPage({"i-1"}, std::nullopt, 12, start + 2s);
    CHECK(mirror.complete());
    CHECK(std::get<WatchStep>(*mirror.next(start + 2s)).revision == 10);
}

TEST_CASE("every plain name is listed, whatever names the store rejects")
{
    rc::prop("odd names of any bytes", [](const std::vector<std::string> &odd) {
        std::set<std::string> stored, plain;
        for (int i = 0; i < 20; ++i)
            plain.insert("i-" + std::to_string(100 + 37 * i));
        stored = plain;
        for (const auto &it : odd) {
            if (!it.empty() && !it.starts_with("i-"))
                stored.insert(it);
        }
        stored.insert("copy of i-100");
        for (const std::size_t pageSize : {1, 2, 7}) {
            const auto names = readList(stored, pageSize);
            RC_ASSERT(std::includes(names.begin(), names.end(), plain.begin(), plain.end()));
        }
    });
}

TEST_CASE("a list that cannot be continued removes nothing behind its end, and the watch begins")
{
    for (const bool rejected : {true, false}) {
        auto mirror = makeMirror();
        listAll(mirror, {"a", "\xc3\xbf"}, 1, start);
        mirror.next(start);
        mirror.onHistoryLost(start);
        mirror.next(start);
        if (rejected) {
            mirror.onPage({"a", "\xc3\xbc"}, "\xc3\xbc", 5, start);
            mirror.next(start);
            mirror.onRejected(start);
        } else {
            // The name of the last object on the page cannot be read.
            mirror.onPage({"a"}, "", 5, start);
        }
        CHECK(mirror.complete());
        CHECK(mirror.takeRemovals(start + 9s).empty());
        CHECK(std::get<WatchStep>(*mirror.next(start + 9s)).revision == 5);
    }
}

TEST_CASE("an object that a list did not reach is kept, others that are missing are removed")
{
    auto mirror = makeMirror();
    listAll(mirror, {"a", "copy of b", "copy,", "i-1", "i-2"}, 1, start);
    mirror.next(start);
    mirror.onHistoryLost(start);
    mirror.next(start);
    mirror.onPage({"copy of b"}, "copy of b", 5, start);
    mirror.next(start);
    mirror.onRejected(start);
    mirror.next(start + 2s);
    mirror.onPage({"i-2"}, std::nullopt, 5, start + 2s);
    CHECK(mirror.takeRemovals(start + 9s) == std::vector<std::string>{"a", "i-1"});
}

TEST_CASE("a list ends if the store returns the same page again and again")
{
    auto mirror = makeMirror();
    auto now = start;
    int calls = 0;
    for (; !mirror.complete() && calls < 10; ++calls) {
        now += 2s;
        REQUIRE(mirror.next(now));
        mirror.onPage({"a", "b"}, "b", 5, now);
    }
    CHECK(mirror.complete());
    CHECK(calls <= 4);
}

TEST_CASE("a watch that the store rejects is followed by a list")
{
    auto mirror = makeMirror();
    listAll(mirror, {"a"}, 7, start);
    REQUIRE(std::holds_alternative<WatchStep>(*mirror.next(start)));
    mirror.onRejected(start);
    CHECK_FALSE(mirror.next(start));
    CHECK(std::holds_alternative<ListStep>(*mirror.next(start + 2s)));
}

TEST_CASE("the first page of a list is requested again after it was rejected")
{
    auto mirror = makeMirror();
    mirror.next(start);
    mirror.onRejected(start);
    CHECK_FALSE(mirror.complete());
    CHECK(std::get<ListStep>(*mirror.next(start + 2s)).after.empty());
}

TEST_CASE("a name that is too long for a request line is not sent")
{
    ListCursor cursor;
    const std::string name = std::string(500, 'n') + std::string(100000, ' ');
    REQUIRE(cursor.advance(name));
    CHECK(cursor.after().size() <= 200);
    CHECK(cursor.after() > name);
    REQUIRE(cursor.advance(std::string(20000, '~') + "a") == false);
}
