#include "policy/quarantine/request_quarantine.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace goldcrestline;
using namespace goldcrestline::policy::quarantine;
using namespace std::chrono_literals;
using core::TimePoint;

namespace {

const TimePoint start = TimePoint{} + 1h;
const std::string bad = "bad";

ServerProcess process(int n)
{
    return {"i-" + std::to_string(n), 1};
}

// A request that crashed servers 0 to `crashes` - 1, a second apart.
RequestQuarantine makeCrashed(int crashes)
{
    RequestQuarantine out;
    for (int i = 0; i < crashes; ++i)
        out.onCrash(bad, process(i), start + i * 1s - 50ms, start + i * 1s);
    return out;
}

} // namespace

TEST_CASE("the third crash blocks a request, and the earlier ones make it be handled with care")
{
    CHECK(makeCrashed(0).handling(bad, start + 3s) == Handling::Normal);
    CHECK(makeCrashed(1).handling(bad, start + 3s) == Handling::OneServer);
    CHECK(makeCrashed(2).handling(bad, start + 3s) == Handling::OneCall);
    const auto blocked = makeCrashed(3);
    CHECK(blocked.handling(bad, start + 3s) == Handling::Blocked);
    CHECK(blocked.handling("other", start + 3s) == Handling::Normal);
    CHECK(blocked.blockedCount(start + 3s) == 1);
}

TEST_CASE("hosts that saw the same server end count it once, and sum what each saw")
{
    std::vector<RequestQuarantine> hosts(3);
    hosts[0].onCrash(bad, process(0), start, start);
    hosts[1].onCrash(bad, process(0), start, start + 1s);
    hosts[2].onCrash(bad, process(1), start + 1s, start + 2s);
    // In any order, and again and again.
    for (int round = 0; round < 2; ++round) {
        for (auto &to : hosts) {
            for (const auto &from : hosts)
                to.apply(from.all(start + 3s), start + 3s);
        }
    }
    for (const auto &it : hosts) {
        CHECK(it.crashes(bad) == 2);
        CHECK(it.digest() == hosts[0].digest());
    }
    hosts[1].onCrash(bad, process(2), start + 3s, start + 4s);
    CHECK(hosts[0].apply(hosts[1].news(start + 4s, 8), start + 4s)
          == std::vector<std::string>{bad});
    CHECK(hosts[0].handling(bad, start + 4s) == Handling::Blocked);
}

TEST_CASE("a server that restarted under its id counts as another one")
{
    auto crashed = makeCrashed(1);
    crashed.onCrash(bad, {"i-0", 2}, start + 1s, start + 1s);
    CHECK(crashed.crashes(bad) == 2);
}

TEST_CASE("a request that ran to its end is not held responsible for earlier crashes")
{
    auto crashed = makeCrashed(2);
    RequestQuarantine other;
    other.apply(crashed.all(start + 2s), start + 2s);
    CHECK(crashed.onCompleted(bad, start + 2s));
    CHECK(crashed.handling(bad, start + 2s) == Handling::Normal);
    CHECK_FALSE(crashed.onCompleted(bad, start + 2s));
    // Other hosts hear of it, and the old news does not come back.
    other.apply(crashed.news(start + 3s, 8), start + 3s);
    crashed.apply(makeCrashed(2).all(start + 3s), start + 3s);
    CHECK(other.handling(bad, start + 3s) == Handling::Normal);
    CHECK(crashed.handling(bad, start + 3s) == Handling::Normal);
    RequestQuarantine late;
    late.onCrash(bad, process(9), start + 1s, start + 1s);
    crashed.apply(late.all(start + 3s), start + 3s);
    CHECK(crashed.handling(bad, start + 3s) == Handling::Normal);
    // A later crash counts.
    crashed.onCrash(bad, process(7), start + 4s, start + 4s);
    CHECK(crashed.handling(bad, start + 4s) == Handling::OneServer);
}

TEST_CASE("a request at many servers that end together is tried again before it is blocked")
{
    RequestQuarantine crashed;
    for (int i = 0; i < 10; ++i)
        crashed.onCrash(bad, process(i), start + i * 30ms, start + i * 40ms);
    CHECK(crashed.handling(bad, start + 1s) == Handling::OneCall);
    SECTION("which ends another server")
    {
        crashed.onCrash(bad, process(10), start + 900ms, start + 1s);
        CHECK(crashed.handling(bad, start + 1s) == Handling::Blocked);
    }
    SECTION("which succeeds")
    {
        crashed.onCompleted(bad, start + 1s);
        CHECK(crashed.handling(bad, start + 1s) == Handling::Normal);
    }
}

TEST_CASE("a block ends with one try, and lasts longer after each that fails")
{
    auto crashed = makeCrashed(3);
    auto until = crashed.blockedUntil(bad);
    CHECK(until == start + 2s + 20s);
    CHECK(crashed.handling(bad, until) == Handling::OneCall);
    crashed.onCrash(bad, process(3), until, until + 1s);
    CHECK(crashed.handling(bad, until + 1s) == Handling::Blocked);
    CHECK(crashed.blockedUntil(bad) == until + 1s + 200s);
    until = crashed.blockedUntil(bad);
    crashed.onCrash(bad, process(4), until, until);
    CHECK(crashed.blockedUntil(bad) == until + 2000s);
    SECTION("and what is not seen again is forgotten")
    {
        crashed.expire(until + 4 * 2000s + 10min);
        CHECK(crashed.empty());
        CHECK(crashed.digest() == 0);
    }
    SECTION("and ends when a try succeeds")
    {
        crashed.onCompleted(bad, until + 2000s);
        CHECK(crashed.handling(bad, until + 2000s) == Handling::Normal);
    }
}

TEST_CASE("the hosts try a blocked request one after the other")
{
    const auto crashed = makeCrashed(3);
    std::vector<RequestQuarantine> hosts;
    for (std::size_t rank = 0; rank < 3; ++rank) {
        hosts.emplace_back(QuarantineParameters{}, [rank](const std::string &) { return rank; });
        hosts.back().apply(crashed.all(start + 2s), start + 2s);
        CHECK(hosts.back().blockedUntil(bad) == start + 2s + (rank + 1) * 20s);
    }
    hosts[0].onCrash(bad, process(3), start + 22s, start + 22s);
    hosts[1].apply(hosts[0].news(start + 23s, 8), start + 23s);
    CHECK(hosts[1].blockedUntil(bad) == start + 22s + 2 * 200s);
}

TEST_CASE("a host that learns of a crash late forgets it at the same time as the others")
{
    const auto crashed = makeCrashed(1);
    RequestQuarantine other;
    other.apply(crashed.all(start + 9min), start + 9min);
    CHECK(other.handling(bad, start + 9min) == Handling::OneServer);
    CHECK(other.handling(bad, start + 10min) == Handling::Normal);
    other.apply(crashed.all(start + 11min), start + 11min);
    CHECK(other.empty());
}

TEST_CASE("the memory for crashes is bounded, and blocked requests are kept longest")
{
    QuarantineParameters parameters;
    parameters.maxRequests = 10;
    RequestQuarantine crashed(parameters);
    for (int i = 0; i < 3; ++i)
        crashed.onCrash(bad, process(i), start + i * 1s, start + i * 1s);
    for (int i = 0; i < 100; ++i)
        crashed.onCrash("r" + std::to_string(i), process(100 + i), start + 3s, start + 3s);
    CHECK(crashed.requestCount() == 10);
    CHECK(crashed.handling(bad, start + 4s) == Handling::Blocked);
    for (int i = 0; i < 100; ++i)
        crashed.onCrash(bad, process(i), start + 4s, start + 4s);
    CHECK(crashed.all(start + 4s).size() == 9 + parameters.maxCrashes);
}

TEST_CASE("notes merge to the same state in any order")
{
    rc::prop("notes merge to the same state in any order", [] {
        const auto below = [](int n) { return *rc::gen::inRange(0, n); };
        std::vector<CrashNote> notes;
        for (int i = 0; i < 12; ++i) {
            notes.push_back({"r" + std::to_string(below(2)), process(below(4)), below(2) == 0,
                             below(2) == 0, core::Millis(0)});
        }
        RequestQuarantine inOrder;
        inOrder.apply(notes, start);
        RequestQuarantine reversed;
        for (auto it = notes.rbegin(); it != notes.rend(); ++it) {
            reversed.apply({*it}, start);
            reversed.apply({*it}, start);
        }
        RC_ASSERT(inOrder.digest() == reversed.digest());
    });
}

namespace {

// A request whose first arrival crashed servers 0 to `crashes` - 1 together.
RequestQuarantine makeFull(int crashes)
{
    RequestQuarantine out;
    for (int i = 0; i < crashes; ++i)
        out.onCrash(bad, process(i), start, start + i * 1ms);
    return out;
}

} // namespace

// Guards against a full record that drops the crashes from which the request would be blocked.
TEST_CASE("a repeated crash counts although the record of the request is full")
{
    auto crashed = makeFull(40);
    REQUIRE(crashed.handling(bad, start + 1s) == Handling::OneCall);
    SECTION("seen by this host")
    {
        crashed.onCrash(bad, process(40), start + 1s, start + 1100ms);
    }
    SECTION("reported by another host")
    {
        auto other = makeFull(2);
        other.onCrash(bad, process(40), start + 1s, start + 1100ms);
        CHECK(crashed.apply(other.news(start + 1100ms, 1), start + 1100ms)
              == std::vector<std::string>{bad});
    }
    CHECK(crashed.handling(bad, start + 1100ms) == Handling::Blocked);
    // The record stays full, and later tries extend the block.
    for (int i = 0; i < 40; ++i)
        crashed.onCrash(bad, process(50 + i), start + 1s, start + 2s + i * 1ms);
    const auto until = crashed.blockedUntil(bad);
    crashed.onCrash(bad, process(41), until, until);
    CHECK(crashed.blockedUntil(bad) == until + 200s);
    CHECK(crashed.crashes(bad) == QuarantineParameters{}.maxCrashes);
}

// Guards against a record whose newest crashes are all recent, so that none counts as repeated.
TEST_CASE("a crash is repeated also if the first ones have no place in the record")
{
    RequestQuarantine crashed;
    for (int i = 0; i < 100; ++i)
        crashed.onCrash(bad, process(i), start, start + i * 10ms);
    REQUIRE(crashed.handling(bad, start + 1s) == Handling::OneCall);
    crashed.onCrash(bad, process(100), start + 600ms, start + 1s);
    CHECK(crashed.handling(bad, start + 1s) == Handling::Blocked);
}

// Guards against a try, and a crash, with each arrival while no crash counts as repeated.
TEST_CASE("a host tries a suspected request once in the time in which crashes are not repeated")
{
    auto crashed = makeFull(18);
    REQUIRE(crashed.handling(bad, start + 50ms) == Handling::OneCall);
    crashed.onCrash(bad, process(18), start + 50ms, start + 60ms);
    CHECK(crashed.handling(bad, start + 60ms) == Handling::Paused);
    CHECK(crashed.handling(bad, start + 499ms) == Handling::Paused);
    REQUIRE(crashed.handling(bad, start + 500ms) == Handling::OneCall);
    SECTION("the next try blocks it")
    {
        crashed.onCrash(bad, process(19), start + 500ms, start + 510ms);
        CHECK(crashed.handling(bad, start + 510ms) == Handling::Blocked);
    }
    SECTION("and not at all once it was completed")
    {
        crashed.onCompleted(bad, start + 70ms);
        CHECK(crashed.handling(bad, start + 80ms) == Handling::Normal);
    }
}

TEST_CASE("a request is blocked after another one that filled the records")
{
    QuarantineParameters parameters;
    parameters.maxRequests = 10;
    RequestQuarantine crashed(parameters);
    // Each one crashed several servers, so that it is handled with more caution than a new one.
    for (int n = 0; n < 10; ++n) {
        for (int i = 0; i < 40; ++i)
            crashed.onCrash("first" + std::to_string(n), process(i), start, start);
    }
    SECTION("of which none is blocked") { }
    SECTION("of which all are blocked")
    {
        for (int n = 0; n < 10; ++n)
            crashed.onCrash("first" + std::to_string(n), process(40), start + 1s, start + 1s);
        REQUIRE(crashed.blockedCount(start + 1s) == 10);
    }
    for (int i = 0; i < 3; ++i)
        crashed.onCrash(bad, process(50 + i), start + 2s + i * 1s, start + 2s + i * 1s);
    CHECK(crashed.handling(bad, start + 4s) == Handling::Blocked);
    CHECK(crashed.requestCount() == 10);
}

// Guards against refuted notes that fill a record, and against refuted ones that come back.
TEST_CASE("crashes count again after a full record was refuted")
{
    auto crashed = makeFull(40);
    auto late = makeFull(40);
    crashed.onCrash(bad, process(40), start + 1s, start + 1s);
    crashed.onCompleted(bad, start + 2s);
    for (int i = 0; i < 3; ++i) {
        const auto at = start + 3s + i * 1s;
        crashed.onCrash(bad, process(50 + i), at, at);
        late.apply(crashed.all(at), at);
        crashed.apply(late.all(at), at);
        CHECK(crashed.crashes(bad) == static_cast<std::size_t>(i + 1));
        CHECK(late.crashes(bad) == crashed.crashes(bad));
        CHECK(late.digest() == crashed.digest());
    }
    CHECK(late.handling(bad, start + 5s) == Handling::Blocked);
}

TEST_CASE("a repeated crash is passed on before the others")
{
    auto crashed = makeFull(2);
    crashed.onCrash(bad, process(2), start + 1s, start + 1s);
    for (int i = 0; i < 100; ++i)
        crashed.onCrash("r" + std::to_string(i), process(100 + i), start + 2s, start + 2s);
    const auto news = crashed.news(start + 2s, 12);
    REQUIRE(news.size() == 12);
    CHECK(news.front().server.id == process(2).id);
    CHECK(news.front().repeated);
}

// Guards against hosts whose notes stay different, so that they fetch from each other for ever.
TEST_CASE("hosts that told each other all notes have the same digest, also with full records")
{
    rc::prop("hosts that told each other all notes have the same digest", [] {
        const auto below = [](int n) { return *rc::gen::inRange(0, n); };
        QuarantineParameters parameters;
        parameters.maxCrashes = 2;
        parameters.maxRequests = 3;
        std::vector<RequestQuarantine> hosts(3, RequestQuarantine(parameters));
        auto now = start;
        const auto exchange = [&](RequestQuarantine &a, RequestQuarantine &b) {
            a.apply(b.all(now), now);
            b.apply(a.all(now), now);
        };
        for (int i = 0; i < 60; ++i) {
            now += std::chrono::milliseconds(below(300));
            auto &host = hosts[static_cast<std::size_t>(below(3))];
            const auto request = "r" + std::to_string(below(5));
            switch (below(8)) {
            case 0:
                host.onCompleted(request, now);
                break;
            case 1:
                exchange(hosts[0], hosts[static_cast<std::size_t>(1 + below(2))]);
                break;
            case 2:
                hosts[0].apply(host.news(now, 2), now);
                break;
            default:
                host.onCrash(request, process(below(9)),
                             now - std::chrono::milliseconds(below(900)), now);
            }
        }
        for (int round = 0; round < 2; ++round) {
            exchange(hosts[0], hosts[1]);
            exchange(hosts[1], hosts[2]);
            exchange(hosts[2], hosts[0]);
        }
        RC_ASSERT(hosts[0].digest() == hosts[1].digest());
        RC_ASSERT(hosts[0].digest() == hosts[2].digest());
        // What is told again changes nothing.
        const auto changedAt = hosts[0].changedAt();
        now += 1s;
        RC_ASSERT(hosts[0].apply(hosts[1].all(now), now).empty());
        RC_ASSERT(hosts[0].changedAt() == changedAt);
    });
}

TEST_CASE("the order in which notes arrive does not decide which ones a full record keeps")
{
    rc::prop("the order in which notes arrive does not decide which ones a full record keeps", [] {
        QuarantineParameters parameters;
        parameters.maxCrashes = 3;
        const auto below = [](int n) { return *rc::gen::inRange(0, n); };
        RequestQuarantine source;
        for (int i = 0; i < 30; ++i)
            source.onCrash(bad, process(below(20)), start + below(2000) * 1ms, start + i * 100ms);
        const auto now = start + 3s;
        auto notes = source.all(now);
        RequestQuarantine together(parameters);
        together.apply(notes, now);
        RequestQuarantine reversed(parameters);
        for (auto it = notes.rbegin(); it != notes.rend(); ++it)
            reversed.apply({*it}, now);
        RC_ASSERT(together.digest() == reversed.digest());
    });
}
