#include "daemon/forward/quarantine_sync.h"

#include <catch2/catch.hpp>

using namespace goldcrestline;
using namespace goldcrestline::policy::quarantine;
using namespace std::chrono_literals;
using daemon::forward::QuarantineSync;

namespace {

const core::TimePoint start = core::Clock::now();

// Answers the fetch requests to another host at once.
struct FakeLink : ports::PeerLink
{
    std::function<ports::FetchResponse()> answer;
    int fetches = 0;

    void call(const std::string &, ports::PeerRequest, core::Millis,
              ports::PeerHandler done) override
    {
        ++fetches;
        done({ports::PeerOutcome::Answered, answer()});
    }
};

struct Host
{
    RequestQuarantine quarantine;
    FakeLink link;
    QuarantineSync sync{quarantine, link};
};

} // namespace

// Guards against hosts that never fetch the notes which had no place in messages, because new
// crashes keep on being reported.
TEST_CASE("a host fetches the notes of another one while crashes go on")
{
    Host a;
    Host b;
    b.link.answer = [&] { return a.sync.handleFetch(core::Clock::now()); };
    // Many calls of other requests were running at the servers that ended.
    for (int i = 0; i < 40; ++i)
        a.quarantine.onCrash("r" + std::to_string(i), {"early", 1}, start, start);
    auto now = start;
    for (int i = 0; i < 30; ++i) {
        now += 250ms;
        for (int n = 0; n < 20; ++n)
            a.quarantine.onCrash("s" + std::to_string(20 * i + n), {"i", i}, now, now);
        ports::Gossip gossip;
        a.sync.fillGossip(gossip, now);
        b.sync.onGossip(gossip, "a", now);
    }
    CHECK(b.quarantine.handling("r0", now) == Handling::OneServer);
    CHECK(b.link.fetches >= 1);
    CHECK(b.link.fetches <= 3);
}

TEST_CASE("notes that one host fetches from another are the same at both, also of full records")
{
    Host a;
    Host b;
    b.link.answer = [&] { return a.sync.handleFetch(core::Clock::now()); };
    for (int i = 0; i < 40; ++i) {
        a.quarantine.onCrash("bad", {"i-" + std::to_string(i), 1}, start, start);
        b.quarantine.onCrash("bad", {"i-" + std::to_string(20 + i), 1}, start, start);
    }
    a.link.answer = [&] { return b.sync.handleFetch(core::Clock::now()); };
    auto now = start;
    for (int i = 0; i < 400; ++i) {
        now += 100ms;
        for (auto *it : {&a, &b}) {
            ports::Gossip gossip;
            (it == &a ? b : a).sync.fillGossip(gossip, now);
            it->sync.onGossip(gossip, "other", now);
        }
    }
    CHECK(a.quarantine.digest() == b.quarantine.digest());
    CHECK(a.link.fetches + b.link.fetches <= 2);
}
