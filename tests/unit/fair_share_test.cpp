#include "call_environment.h"
#include "policy/admission/fair_share.h"
#include "policy/forward/fair_admission.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace forward_test;
using policy::admission::FairShare;
using policy::admission::FairTicket;

namespace {

CallRank beginCall(FairAdmission &fair, std::uint64_t id, const std::string &workspace,
                   const std::vector<std::string> &services)
{
    return fair.begin(id, {0, workspace, "r", services, start + 100ms}, start);
}

BackendTable makeBackends()
{
    BackendTable backends(
        "a", {}, [](const std::string &) { return 4; }, [] { return 0.5; });
    BackendRecord record;
    record.id = "s-1";
    record.service = "s";
    backends.put(record);
    return backends;
}

} // namespace

// Guards against requests of one workspace that overtake each other.
TEST_CASE("requests of one workspace that wait together keep their order", "[fair-share]")
{
    CHECK(rc::check([] {
        FairShare share;
        std::map<std::string, std::vector<FairTicket>> waiting;
        auto now = start;
        const auto steps = *rc::gen::inRange(1, 200);
        for (int i = 0; i < steps; ++i) {
            now += core::Millis(*rc::gen::inRange(0, 300));
            const auto workspace = std::string(1, *rc::gen::inRange('a', 'd'));
            auto &own = waiting[workspace];
            if (own.empty() || *rc::gen::arbitrary<bool>()) {
                auto ticket = share.begin(1, workspace, *rc::gen::inRange(0, 50), now);
                if (!own.empty())
                    RC_ASSERT(ticket.startTag >= own.back().startTag);
                own.push_back(ticket);
                continue;
            }
            const auto at = own.begin() + *rc::gen::inRange(0, static_cast<int>(own.size()));
            if (*rc::gen::arbitrary<bool>())
                share.onSent(*at);
            share.onEnded(*at, *rc::gen::arbitrary<bool>() ? at->cost : 0);
            own.erase(at);
        }
    }));
}

// Guards against a workspace that is placed last for requests whose callers left.
TEST_CASE("a workspace is not charged for work that was not sent", "[fair-share]")
{
    FairShare share;
    auto other = share.begin(1, "other", 10, start);
    for (int i = 0; i < 100; ++i) {
        auto ticket = share.begin(1, "w", 54, start);
        CHECK(ticket.startTag == other.startTag);
        share.onEnded(ticket, 54);
    }
    auto partial = share.begin(1, "w", 54, start);
    share.onEnded(partial, 34);
    CHECK(share.begin(1, "w", 54, start).startTag == 20);
}

// Guards against one workspace that fills the queue ahead of another.
TEST_CASE("a workspace's first request goes ahead of another one's queue", "[fair-share]")
{
    FairShare share;
    const auto first = share.begin(1, "heavy", 10, start);
    const auto second = share.begin(1, "heavy", 10, start);
    const auto light = share.begin(1, "light", 10, start);
    CHECK(light.startTag == first.startTag);
    CHECK(light.startTag < second.startTag);
}

TEST_CASE("the memory for idle workspaces is bounded", "[fair-share]")
{
    FairShare share;
    for (int i = 0; i < 10000; ++i) {
        auto ticket = share.begin(1, std::to_string(i), 10, start + core::Millis(100 * i));
        share.onSent(ticket);
        share.onEnded(ticket, 0);
    }
    CHECK(share.size() <= 128);
}

TEST_CASE("a call whose caller left is removed from the shares and the queue", "[fair-share]")
{
    CallEnvironment environment;
    environment.add("s", 1);
    environment.atCapacity.insert(environment.servers["s"][0]);
    const auto backends = makeBackends();
    WaitQueue queue;
    FairAdmission fair(backends, queue);
    const auto table = makeTable(makePlainRoute(Idempotency::NonIdempotent));
    const auto rank = beginCall(fair, 1, "w", {"s"});
    Call call(table, table->routes().front(), {"s"}, rank,
              {start, start + 100ms, start + 400ms, start + 20ms}, environment.hooks);
    CallActions actions;
    call.start(start, actions);
    queue.update(1, call);
    const CallRank behind{0, rank.startTag, 2};
    REQUIRE(queue.countAhead("s", behind) == 1);
    queue.remove(1, call);
    fair.onEnded(1, std::nullopt, start);
    CHECK(queue.countAhead("s", behind) == 0);
    CHECK(fair.size() == 0);
    CHECK(beginCall(fair, 2, "w", {"s"}).startTag == rank.startTag);
}

// Guards against changes for deployments without workspaces, whose calls are not added.
TEST_CASE("calls that are not added keep the order by age and the plain estimate", "[fair-share]")
{
    const auto backends = makeBackends();
    WaitQueue queue;
    FairAdmission fair(backends, queue);
    CHECK(CallRank{1, 0, 1} < CallRank{1, 0, 2});
    CHECK(CallRank{0, 0, 2} < CallRank{1, 0, 1});
    const auto plain = backends.estimateLatency("s", 0, start);
    const auto fairOne = fair.estimateLatency("s", CallRank{1, 0, 1}, start);
    REQUIRE(fairOne);
    CHECK(fairOne->responseMs == plain->responseMs);
    CHECK(fairOne->queueWeight == 1);
    CHECK(fairOne->shareHalfLifeMs == 0);
}

// Guards against a lower priority that never gets a slot, and against one that gets more than its
// turn.
TEST_CASE("one of five freed slots goes to an overdue call of a lower priority", "[fair-share]")
{
    CallEnvironment environment;
    environment.add("s", 1);
    environment.atCapacity.insert(environment.servers["s"][0]);
    const auto table = makeTable(makePlainRoute(Idempotency::NonIdempotent));
    WaitQueue queue;
    std::vector<std::unique_ptr<Call>> calls;
    for (std::uint64_t id = 1; id <= 4; ++id) {
        const CallRank rank{id <= 2 ? 1 : 0, 0, id};
        calls.push_back(std::make_unique<Call>(
            table, table->routes().front(), std::vector<std::string>{"s"}, rank,
            CallTimes{start, start + 500ms, start + 900ms, start + 100ms}, environment.hooks));
        CallActions actions;
        calls.back()->start(start, actions);
        queue.update(id, *calls.back());
    }
    for (int i = 0; i < 20; ++i)
        CHECK(queue.dispatchOrder("s", start + 49ms).front().call == 3);
    int preferred = 0;
    for (int i = 0; i < 20; ++i) {
        const auto first = queue.dispatchOrder("s", start + 50ms).front();
        CHECK((first.call == 1 || first.call == 3));
        CHECK_FALSE(queue.hasAhead("s", first.rank));
        preferred += first.call == 1 ? 1 : 0;
    }
    CHECK(preferred == 4);
}

// Guards against a time to return that is a multiple of the real wait, as weighted queueing is, and
// against one at which a workspace above its share is refused again.
TEST_CASE("a call that is refused by its share reports when it could be served", "[fair-share]")
{
    CallEnvironment environment;
    environment.add("s", 3);
    const auto waitFor = [&](LatencyEstimate estimate) {
        environment.estimates["s"] = estimate;
        CallDriver driver(environment, makePlainRoute(Idempotency::NonIdempotent));
        REQUIRE(driver.finishes.size() == 1);
        return core::toMillis(driver.finishes[0].expectedWait);
    };
    const double lateMs = waitFor({400, 40});
    CHECK(waitFor({400, 40, 8, 0}) == Approx(lateMs / 8));
    // Its recent work has to decay until its queueing is acceptable.
    const double decayMs = 3000 * std::log2(360 / (360 - lateMs));
    CHECK(waitFor({400, 40, 1, 3000}) == Approx(lateMs + decayMs));
}
