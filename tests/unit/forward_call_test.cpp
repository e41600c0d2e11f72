#include "call_world.h"

#include <random>
#include <rapidcheck/catch.h>

using namespace forward_test;

TEST_CASE("a request that may have run is not sent again unless it is idempotent")
{
    World world;
    world.add("s", 3);
    Run run(world, plainRoute(Idempotency::NonIdempotent));
    REQUIRE(run.sends.size() == 1);
    SECTION("lost on the way")
    {
        run.lose(0, AttemptError::Broken, start + 5ms);
        REQUIRE(run.ends.size() == 1);
        CHECK(run.ends[0].end == CallOutcome::Failed);
        CHECK(run.sends.size() == 1);
    }
    SECTION("silent until the deadline")
    {
        run.passTime(start + 100ms);
        run.passTime(start + 500ms);
        REQUIRE(run.ends.size() == 1);
        CHECK(run.ends[0].end == CallOutcome::TimedOut);
        CHECK(run.sends.size() == 1);
    }
    SECTION("not run, so another server may")
    {
        run.reply(0, ReplyKind::NotExecuted, start + 5ms);
        REQUIRE(run.sends.size() == 2);
        run.reply(1, ReplyKind::Success, start + 9ms);
        CHECK(run.ends.at(0).end == CallOutcome::Passed);
    }
    SECTION("failed by the server, which is passed on")
    {
        run.reply(0, ReplyKind::Failure, start + 5ms);
        CHECK(run.ends.at(0).end == CallOutcome::PassedFailure);
        CHECK(run.sends.size() == 1);
    }
}

TEST_CASE("a late idempotent attempt is hedged once and the first answer counts")
{
    World world;
    world.add("s", 3);
    Run run(world, plainRoute(Idempotency::Idempotent));
    run.passTime(start + 19ms);
    CHECK(run.sends.size() == 1);
    run.passTime(start + 20ms);
    REQUIRE(run.sends.size() == 2);
    CHECK(run.sends[1].backend != run.sends[0].backend);
    run.passTime(start + 80ms);
    CHECK(run.sends.size() == 2);
    run.reply(1, ReplyKind::Success, start + 81ms);
    REQUIRE(run.ends.size() == 1);
    run.reply(0, ReplyKind::Success, start + 82ms);
    CHECK(run.ends.size() == 1);
}

TEST_CASE("a server's own refusal of the request is passed on without another try")
{
    World world;
    world.add("s", 3);
    Run run(world, plainRoute(Idempotency::Idempotent));
    run.reply(0, ReplyKind::NonRetryable, start + 5ms);
    REQUIRE(run.ends.size() == 1);
    CHECK(run.ends[0].end == CallOutcome::PassedFailure);
    CHECK(run.sends.size() == 1);
}

TEST_CASE("a request that no server can take is refused at once")
{
    World world;
    Run run(world, plainRoute(Idempotency::Idempotent));
    REQUIRE(run.ends.size() == 1);
    CHECK(run.ends[0].end == CallOutcome::Refused);
}

TEST_CASE("a request that waits for room is refused after its share of the objective")
{
    World world;
    world.add("s", 2);
    world.full = {world.servers["s"][0], world.servers["s"][1]};
    Run run(world, plainRoute(Idempotency::Idempotent));
    CHECK(run.ends.empty());
    CHECK(run.call.waitsInLine(0));
    SECTION("no room")
    {
        CHECK(run.call.nextTimer(start) <= start + 20ms);
        run.passTime(start + 20ms);
        REQUIRE(run.ends.size() == 1);
        CHECK(run.ends[0].end == CallOutcome::Refused);
    }
    SECTION("room in time")
    {
        world.full.clear();
        run.step([&](CallActions &out) { run.call.onCapacityFree(0, start + 5ms, out); });
        CHECK(run.sends.size() == 1);
        run.passTime(start + 25ms);
        CHECK(run.ends.empty());
    }
}

TEST_CASE("a fan-out answers with what is there when the objective ends, if that is enough")
{
    World world;
    for (int i = 0; i < 10; ++i)
        world.add("shard" + std::to_string(i), 1);
    Run run(world, fanoutRoute(10, 0.89));
    REQUIRE(run.sends.size() == 10);
    for (std::size_t i = 0; i < 8; ++i)
        run.reply(i, ReplyKind::Success, start + 10ms);
    run.passTime(start + 90ms);
    CHECK(run.ends.empty());
    SECTION("the ninth part comes late")
    {
        run.reply(8, ReplyKind::Success, start + 120ms);
        REQUIRE(run.ends.size() == 1);
        CHECK(run.ends[0].end == CallOutcome::Merged);
        CHECK(run.ends[0].parts.size() == 9);
    }
    SECTION("it never comes")
    {
        run.passTime(start + 500ms);
        REQUIRE(run.ends.size() == 1);
        CHECK(run.ends[0].end == CallOutcome::TimedOut);
    }
    SECTION("two parts are lost for good")
    {
        run.lose(8, AttemptError::Broken, start + 95ms);
        CHECK(run.ends.empty());
        run.lose(9, AttemptError::Broken, start + 96ms);
        REQUIRE(run.ends.size() == 1);
        CHECK(run.ends[0].end == CallOutcome::Failed);
    }
}

TEST_CASE("an exhausted budget stops extra attempts")
{
    World world;
    world.add("s", 3);
    world.budgets.try_emplace("s", 0.2, 0);
    Run run(world, plainRoute(Idempotency::Idempotent));
    run.passTime(start + 60ms);
    CHECK(run.sends.size() == 1);
    CHECK(world.spent == 0);
}

TEST_CASE("a part that waits for the budget, or for a server that it did not try, is in no line")
{
    World world;
    world.add("s", 3);
    world.budgets.try_emplace("s", 0.0, 0);
    Run run(world, plainRoute(Idempotency::Idempotent));
    run.reply(0, ReplyKind::NotExecuted, start + 2ms);
    REQUIRE(run.ends.empty());
    CHECK(run.sends.size() == 1);
    // Others may be sent first attempts, which the budget does not limit.
    CHECK_FALSE(run.call.waitsInLine(0));
    CHECK(run.call.nextTimer(start + 2ms) <= start + 20ms);
    SECTION("the budget recovers")
    {
        world.budgets.at("s") = policy::retry::Budget(0.2, 1);
        run.passTime(start + 15ms);
        CHECK(run.sends.size() == 2);
    }
}

// Plays a call against servers whose behaviour follows from the seed and checks what must hold.
TEST_CASE("calls keep their promises whatever the servers do")
{
    rc::prop("promises", [](unsigned seed) {
        std::mt19937 random(seed);
        const auto below = [&](unsigned n) { return random() % n; };
        World world;
        const bool fansOut = below(2) == 0;
        Route route;
        if (fansOut) {
            const int shards = 1 + static_cast<int>(below(6));
            route = fanoutRoute(shards, 0.1 + 0.1 * static_cast<double>(below(10)));
            for (const auto &it : route.shards)
                world.add(it, static_cast<int>(below(4)));
        } else {
            route =
                plainRoute(below(2) == 0 ? Idempotency::Idempotent : Idempotency::NonIdempotent);
            world.add("s", static_cast<int>(below(5)));
        }
        route.maxAttempts = 1 + static_cast<int>(below(3));
        for (const auto &it : world.servers) {
            const double workMs = below(200);
            if (below(3) == 0)
                world.outlooks[it.first] = {workMs + below(500), workMs};
        }
        Run run(world, route);
        std::map<std::size_t, int> ran;
        std::set<AttemptId> open;
        std::set<std::size_t> succeeded;
        std::size_t seen = 0;
        auto now = start;
        for (int i = 0; i < 400 && run.ends.empty(); ++i) {
            for (; seen < run.sends.size(); ++seen) {
                open.insert(run.sends[seen].attempt);
                ++ran[run.sends[seen].part];
            }
            world.full.clear();
            for (const auto &it : world.servers) {
                for (const auto &backend : it.second) {
                    if (below(4) == 0)
                        world.full.insert(backend);
                }
            }
            now += std::chrono::milliseconds(below(8));
            if (open.empty() || below(3) == 0) {
                run.passTime(now);
                continue;
            }
            const auto attempt =
                *std::next(open.begin(), below(static_cast<unsigned>(open.size())));
            const auto send = std::find_if(run.sends.begin(), run.sends.end(),
                                           [&](const Send &it) { return it.attempt == attempt; });
            const auto part = send->part;
            const auto at = static_cast<std::size_t>(send - run.sends.begin());
            open.erase(attempt);
            switch (below(6)) {
            case 0:
            case 1:
                if (!run.call.partDone(part))
                    succeeded.insert(part);
                run.reply(at, ReplyKind::Success, now);
                break;
            case 2:
                run.reply(at, ReplyKind::Failure, now);
                break;
            case 3:
                --ran[part];
                run.reply(at, below(2) == 0 ? ReplyKind::NotExecuted : ReplyKind::Misdirected, now);
                break;
            case 4:
                --ran[part];
                run.lose(at, AttemptError::NotReached, now);
                break;
            default:
                run.lose(at, AttemptError::Broken, now);
                break;
            }
            for (const auto &it : ran) {
                const int limit =
                    route.idempotency == Idempotency::Idempotent ? route.maxAttempts : 1;
                RC_ASSERT(it.second <= limit);
            }
        }
        run.passTime(start + 500ms);
        RC_ASSERT(run.ends.size() == 1u);
        RC_ASSERT(now <= start + 500ms || run.ends.size() == 1u);
        const auto &end = run.ends.front();
        const bool mayHaveRun =
            std::any_of(ran.begin(), ran.end(), [](const auto &it) { return it.second > 0; });
        if (end.end == CallOutcome::Refused)
            RC_ASSERT(!mayHaveRun);
        if (end.end == CallOutcome::Merged) {
            const double share =
                static_cast<double>(end.parts.size()) / static_cast<double>(route.shards.size());
            RC_ASSERT(share >= route.minShardShare - 1e-9);
            RC_ASSERT(std::set<std::size_t>(end.parts.begin(), end.parts.end()) == succeeded);
        }
        // Extra attempts come out of the budget.
        std::size_t parts = fansOut ? route.shards.size() : 1;
        RC_ASSERT(run.sends.size() <= parts + static_cast<std::size_t>(world.spent));
    });
}
