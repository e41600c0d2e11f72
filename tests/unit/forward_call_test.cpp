#include "call_environment.h"

#include <random>
#include <rapidcheck/catch.h>

using namespace forward_test;

TEST_CASE("a request that may have been executed is not retried unless it is idempotent")
{
    CallEnvironment environment;
    environment.add("s", 3);
    CallDriver driver(environment, makePlainRoute(Idempotency::NonIdempotent));
    REQUIRE(driver.sends.size() == 1);
    SECTION("connection broken")
    {
        driver.reportError(0, AttemptError::Broken, start + 5ms);
        REQUIRE(driver.finishes.size() == 1);
        CHECK(driver.finishes[0].outcome == CallOutcome::Failed);
        CHECK(driver.sends.size() == 1);
    }
    SECTION("no response before the deadline")
    {
        driver.advanceTo(start + 100ms);
        driver.advanceTo(start + 500ms);
        REQUIRE(driver.finishes.size() == 1);
        CHECK(driver.finishes[0].outcome == CallOutcome::TimedOut);
        CHECK(driver.sends.size() == 1);
    }
    SECTION("not executed, so another server is tried")
    {
        driver.reply(0, ReplyKind::NotExecuted, start + 5ms);
        REQUIRE(driver.sends.size() == 2);
        driver.reply(1, ReplyKind::Success, start + 9ms);
        CHECK(driver.finishes.at(0).outcome == CallOutcome::Passed);
    }
    SECTION("failed by the server, whose response is forwarded")
    {
        driver.reply(0, ReplyKind::Failure, start + 5ms);
        CHECK(driver.finishes.at(0).outcome == CallOutcome::PassedFailure);
        CHECK(driver.sends.size() == 1);
    }
}

TEST_CASE("a slow attempt of an idempotent request is hedged once and the first response is used")
{
    CallEnvironment environment;
    environment.add("s", 3);
    CallDriver driver(environment, makePlainRoute(Idempotency::Idempotent));
    driver.advanceTo(start + 19ms);
    CHECK(driver.sends.size() == 1);
    driver.advanceTo(start + 20ms);
    REQUIRE(driver.sends.size() == 2);
    CHECK(driver.sends[1].backend != driver.sends[0].backend);
    driver.advanceTo(start + 80ms);
    CHECK(driver.sends.size() == 2);
    driver.reply(1, ReplyKind::Success, start + 81ms);
    REQUIRE(driver.finishes.size() == 1);
    driver.reply(0, ReplyKind::Success, start + 82ms);
    CHECK(driver.finishes.size() == 1);
}

TEST_CASE("a non-retryable response is forwarded without a retry")
{
    CallEnvironment environment;
    environment.add("s", 3);
    CallDriver driver(environment, makePlainRoute(Idempotency::Idempotent));
    driver.reply(0, ReplyKind::NonRetryable, start + 5ms);
    REQUIRE(driver.finishes.size() == 1);
    CHECK(driver.finishes[0].outcome == CallOutcome::PassedFailure);
    CHECK(driver.sends.size() == 1);
}

TEST_CASE("a blocked request is not sent and is answered at once")
{
    CallEnvironment environment;
    environment.add("s", 3);
    environment.permission = SendPermission::Never;
    CallDriver driver(environment, makePlainRoute(Idempotency::Idempotent));
    CHECK(driver.sends.empty());
    REQUIRE(driver.finishes.size() == 1);
    CHECK(driver.finishes[0].outcome == CallOutcome::Blocked);
}

TEST_CASE("a request that may crash servers uses one server at a time")
{
    CallEnvironment environment;
    environment.permission = SendPermission::OneAtATime;
    SECTION("without a hedge")
    {
        environment.add("s", 3);
        CallDriver driver(environment, makePlainRoute(Idempotency::Idempotent));
        driver.advanceTo(start + 60ms);
        CHECK(driver.sends.size() == 1);
        CHECK_FALSE(driver.call.isQueued(0));
        driver.reportError(0, AttemptError::Broken, start + 61ms);
        CHECK(driver.sends.size() == 2);
    }
    SECTION("with one shard first, and the others after its success")
    {
        for (int i = 0; i < 3; ++i)
            environment.add("shard" + std::to_string(i), 2);
        CallDriver driver(environment, makeFanoutRoute(3, 1));
        CHECK(driver.sends.size() == 1);
        environment.permission = SendPermission::Any;
        driver.reply(0, ReplyKind::Success, start + 5ms);
        CHECK(driver.sends.size() == 3);
    }
    SECTION("and no more once it is blocked")
    {
        for (int i = 0; i < 3; ++i)
            environment.add("shard" + std::to_string(i), 2);
        CallDriver driver(environment, makeFanoutRoute(3, 0.5));
        environment.permission = SendPermission::Never;
        driver.reportError(0, AttemptError::Broken, start + 5ms);
        driver.advanceTo(start + 15ms);
        CHECK(driver.sends.size() == 1);
        REQUIRE(driver.finishes.size() == 1);
        CHECK(driver.finishes[0].outcome == CallOutcome::Blocked);
    }
}

TEST_CASE("a call that may send once ends with that attempt")
{
    CallEnvironment environment;
    environment.permission = SendPermission::Once;
    for (int i = 0; i < 3; ++i)
        environment.add("shard" + std::to_string(i), 2);
    CallDriver driver(environment, makeFanoutRoute(3, 1));
    REQUIRE(driver.sends.size() == 1);
    SECTION("if it breaks")
    {
        driver.reportError(0, AttemptError::Broken, start + 5ms);
        driver.advanceTo(start + 15ms);
        CHECK(driver.sends.size() == 1);
        REQUIRE(driver.finishes.size() == 1);
        CHECK(driver.finishes[0].outcome == CallOutcome::Failed);
    }
    SECTION("unless it was not executed")
    {
        driver.reportError(0, AttemptError::NotReached, start + 5ms);
        driver.advanceTo(start + 15ms);
        CHECK(driver.sends.size() == 2);
        CHECK(driver.finishes.empty());
    }
}

// Guards against a first arrival that crashes two servers of every shard.
TEST_CASE("a fan-out whose first attempts broke sends one second attempt before the others")
{
    constexpr std::size_t shards = 10;
    CallEnvironment environment;
    for (std::size_t i = 0; i < shards; ++i)
        environment.add("shard" + std::to_string(i), 3);
    CallDriver driver(environment, makeFanoutRoute(shards, 0.6));
    REQUIRE(driver.sends.size() == shards);
    for (std::size_t i = 0; i < shards; ++i) {
        CHECK(driver.sends.size() == shards);
        driver.reportError(i, AttemptError::Broken, start + 2ms);
    }
    driver.advanceTo(start + 14ms);
    REQUIRE(driver.sends.size() == shards + 1);
    SECTION("and no more if it breaks")
    {
        driver.reportError(shards, AttemptError::Broken, start + 15ms);
        driver.advanceTo(start + 30ms);
        CHECK(driver.sends.size() == shards + 1);
        REQUIRE(driver.finishes.size() == 1);
        CHECK(driver.finishes[0].outcome == CallOutcome::Failed);
    }
    SECTION("and the others at once if it is answered")
    {
        driver.reply(shards, ReplyKind::Success, start + 15ms);
        CHECK(driver.sends.size() == 2 * shards);
    }
    SECTION("and another one if it was not executed")
    {
        driver.reportError(shards, AttemptError::NotReached, start + 15ms);
        driver.advanceTo(start + 25ms);
        CHECK(driver.sends.size() == shards + 2);
    }
}

// Guards against fan-outs that a single broken connection delays.
TEST_CASE("a broken part of a fan-out waits only while no attempt of the call was answered")
{
    CallEnvironment environment;
    for (int i = 0; i < 4; ++i)
        environment.add("shard" + std::to_string(i), 3);
    CallDriver driver(environment, makeFanoutRoute(4, 1));
    SECTION("which is sent again with the first answer")
    {
        driver.reportError(0, AttemptError::Broken, start + 2ms);
        driver.advanceTo(start + 13ms);
        REQUIRE(driver.sends.size() == 4);
        const auto kind = GENERATE(ReplyKind::Success, ReplyKind::Failure);
        driver.reply(1, kind, start + 14ms);
        CHECK(driver.sends.size() == (kind == ReplyKind::Success ? 5 : 6));
    }
    SECTION("and not if one was answered before")
    {
        driver.reply(1, ReplyKind::Success, start + 2ms);
        driver.reportError(0, AttemptError::Broken, start + 3ms);
        CHECK(driver.sends.size() == 5);
    }
    SECTION("and not if its server lives or was not reached")
    {
        driver.reportError(0, AttemptError::Unusable, start + 2ms);
        driver.reportError(1, AttemptError::NotReached, start + 2ms);
        CHECK(driver.sends.size() == 6);
    }
    SECTION("and the parts in flight are hedged meanwhile")
    {
        driver.reportError(0, AttemptError::Broken, start + 2ms);
        driver.advanceTo(start + 20ms);
        CHECK(driver.sends.size() == 7);
        for (std::size_t i = 4; i < driver.sends.size(); ++i)
            CHECK(driver.sends[i].part != 0);
    }
}

// Guards against a request that ends servers of one shard again and again, while the answers of
// the others clear it.
TEST_CASE("a fan-out leaves out the shard whose servers its request crashes")
{
    CallEnvironment environment;
    for (int i = 0; i < 3; ++i)
        environment.add("shard" + std::to_string(i), 3);
    bool evenFirst = false;
    environment.hooks.leavesOut = [&](auto, const std::string &service, bool broke, auto) {
        return service == "shard0" && (broke || evenFirst);
    };
    SECTION("after an attempt there broke")
    {
        CallDriver driver(environment, makeFanoutRoute(3, 0.6));
        driver.reply(1, ReplyKind::Success, start + 2ms);
        driver.reply(2, ReplyKind::Success, start + 2ms);
        driver.reportError(0, AttemptError::Broken, start + 3ms);
        CHECK(driver.sends.size() == 3);
        REQUIRE(driver.finishes.size() == 1);
        CHECK(driver.finishes[0].parts.size() == 2);
    }
    SECTION("from the start")
    {
        evenFirst = true;
        CallDriver driver(environment, makeFanoutRoute(3, 0.6));
        CHECK(driver.sends.size() == 2);
    }
    SECTION("and does not hedge it")
    {
        CallDriver driver(environment, makeFanoutRoute(3, 0.6));
        driver.advanceTo(start + 20ms);
        CHECK(driver.sends.size() == 5);
    }
}

// Guards against a call that uses up its only attempt while all servers are busy.
TEST_CASE("a call that may send once waits for a free server")
{
    CallEnvironment environment;
    environment.permission = SendPermission::Once;
    environment.add("s", 2);
    environment.atCapacity = {environment.servers["s"][0], environment.servers["s"][1]};
    CallDriver driver(environment, makePlainRoute(Idempotency::Idempotent));
    driver.advanceTo(start + 10ms);
    REQUIRE(driver.finishes.empty());
    environment.atCapacity.clear();
    driver.step([&](CallActions &out) { driver.call.onCapacityFree(0, start + 11ms, out); });
    CHECK(driver.sends.size() == 1);
}

TEST_CASE("a request to a service without servers is refused at once")
{
    CallEnvironment environment;
    CallDriver driver(environment, makePlainRoute(Idempotency::Idempotent));
    REQUIRE(driver.finishes.size() == 1);
    CHECK(driver.finishes[0].outcome == CallOutcome::Refused);
}

TEST_CASE("a request that finds no server capacity is refused after its share of the objective")
{
    CallEnvironment environment;
    environment.add("s", 2);
    environment.atCapacity = {environment.servers["s"][0], environment.servers["s"][1]};
    CallDriver driver(environment, makePlainRoute(Idempotency::Idempotent));
    CHECK(driver.finishes.empty());
    CHECK(driver.call.isQueued(0));
    SECTION("no free capacity in time")
    {
        CHECK(driver.call.nextTimer(start) <= start + 20ms);
        driver.advanceTo(start + 20ms);
        REQUIRE(driver.finishes.size() == 1);
        CHECK(driver.finishes[0].outcome == CallOutcome::Refused);
    }
    SECTION("free capacity in time")
    {
        environment.atCapacity.clear();
        driver.step([&](CallActions &out) { driver.call.onCapacityFree(0, start + 5ms, out); });
        CHECK(driver.sends.size() == 1);
        driver.advanceTo(start + 25ms);
        CHECK(driver.finishes.empty());
    }
}

TEST_CASE("a fan-out responds at the objective if the parts received reach the minimum share")
{
    CallEnvironment environment;
    for (int i = 0; i < 10; ++i)
        environment.add("shard" + std::to_string(i), 1);
    CallDriver driver(environment, makeFanoutRoute(10, 0.89));
    REQUIRE(driver.sends.size() == 10);
    for (std::size_t i = 0; i < 8; ++i)
        driver.reply(i, ReplyKind::Success, start + 10ms);
    driver.advanceTo(start + 90ms);
    CHECK(driver.finishes.empty());
    SECTION("the ninth part arrives after the objective")
    {
        driver.reply(8, ReplyKind::Success, start + 120ms);
        REQUIRE(driver.finishes.size() == 1);
        CHECK(driver.finishes[0].outcome == CallOutcome::Merged);
        CHECK(driver.finishes[0].parts.size() == 9);
    }
    SECTION("the ninth part does not arrive before the deadline")
    {
        driver.advanceTo(start + 500ms);
        REQUIRE(driver.finishes.size() == 1);
        CHECK(driver.finishes[0].outcome == CallOutcome::TimedOut);
    }
    SECTION("two parts fail")
    {
        driver.reportError(8, AttemptError::Broken, start + 95ms);
        CHECK(driver.finishes.empty());
        driver.reportError(9, AttemptError::Broken, start + 96ms);
        REQUIRE(driver.finishes.size() == 1);
        CHECK(driver.finishes[0].outcome == CallOutcome::Failed);
    }
}

TEST_CASE("an exhausted retry budget prevents extra attempts")
{
    CallEnvironment environment;
    environment.add("s", 3);
    environment.budgets.try_emplace("s", 0.2, 0);
    CallDriver driver(environment, makePlainRoute(Idempotency::Idempotent));
    driver.advanceTo(start + 60ms);
    CHECK(driver.sends.size() == 1);
    CHECK(environment.extraAttempts == 0);
}

TEST_CASE("a part that waits for the retry budget or for an untried server is not queued")
{
    CallEnvironment environment;
    environment.add("s", 3);
    environment.budgets.try_emplace("s", 0.0, 0);
    CallDriver driver(environment, makePlainRoute(Idempotency::Idempotent));
    driver.reply(0, ReplyKind::NotExecuted, start + 2ms);
    REQUIRE(driver.finishes.empty());
    CHECK(driver.sends.size() == 1);
    // Other calls may still send first attempts, which the budget does not limit.
    CHECK_FALSE(driver.call.isQueued(0));
    CHECK(driver.call.nextTimer(start + 2ms) <= start + 20ms);
    SECTION("a retry is sent once the budget allows it")
    {
        environment.budgets.at("s") = policy::retry::Budget(0.2, 1);
        driver.advanceTo(start + 15ms);
        CHECK(driver.sends.size() == 2);
    }
}

// Runs a call against servers that respond, fail or refuse at random, and checks that no request is
// executed too often, that outcomes are truthful and that extra attempts stay within the budget.
TEST_CASE("calls keep their invariants for arbitrary server behaviour")
{
    rc::prop("promises", [](unsigned seed) {
        std::mt19937 random(seed);
        const auto below = [&](unsigned n) { return random() % n; };
        CallEnvironment environment;
        const bool fansOut = below(2) == 0;
        Route route;
        if (fansOut) {
            const int shards = 1 + static_cast<int>(below(6));
            route = makeFanoutRoute(shards, 0.1 + 0.1 * static_cast<double>(below(10)));
            for (const auto &it : route.shards)
                environment.add(it, static_cast<int>(below(4)));
        } else {
            route = makePlainRoute(below(2) == 0 ? Idempotency::Idempotent
                                                 : Idempotency::NonIdempotent);
            environment.add("s", static_cast<int>(below(5)));
        }
        route.maxAttempts = 1 + static_cast<int>(below(3));
        for (const auto &it : environment.servers) {
            const double processingMs = below(200);
            if (below(3) == 0)
                environment.estimates[it.first] = {processingMs + below(500), processingMs};
        }
        CallDriver driver(environment, route);
        std::map<std::size_t, int> executions;
        std::set<AttemptId> inFlight;
        std::set<std::size_t> succeeded;
        std::size_t handledSends = 0;
        auto now = start;
        for (int i = 0; i < 400 && driver.finishes.empty(); ++i) {
            for (; handledSends < driver.sends.size(); ++handledSends) {
                inFlight.insert(driver.sends[handledSends].attempt);
                ++executions[driver.sends[handledSends].part];
            }
            environment.atCapacity.clear();
            for (const auto &it : environment.servers) {
                for (const auto &backend : it.second) {
                    if (below(4) == 0)
                        environment.atCapacity.insert(backend);
                }
            }
            now += std::chrono::milliseconds(below(8));
            if (inFlight.empty() || below(3) == 0) {
                driver.advanceTo(now);
                continue;
            }
            const auto attempt =
                *std::next(inFlight.begin(), below(static_cast<unsigned>(inFlight.size())));
            const auto send = std::find_if(driver.sends.begin(), driver.sends.end(),
                                           [&](const Send &it) { return it.attempt == attempt; });
            const auto part = send->part;
            const auto at = static_cast<std::size_t>(send - driver.sends.begin());
            inFlight.erase(attempt);
            switch (below(6)) {
            case 0:
            case 1:
                if (!driver.call.partDone(part))
                    succeeded.insert(part);
                driver.reply(at, ReplyKind::Success, now);
                break;
            case 2:
                driver.reply(at, ReplyKind::Failure, now);
                break;
            case 3:
                --executions[part];
                driver.reply(at, below(2) == 0 ? ReplyKind::NotExecuted : ReplyKind::Misdirected,
                             now);
                break;
            case 4:
                --executions[part];
                driver.reportError(at, AttemptError::NotReached, now);
                break;
            default:
                driver.reportError(at, AttemptError::Broken, now);
                break;
            }
            for (const auto &it : executions) {
                const int limit =
                    route.idempotency == Idempotency::Idempotent ? route.maxAttempts : 1;
                RC_ASSERT(it.second <= limit);
            }
        }
        driver.advanceTo(start + 500ms);
        RC_ASSERT(driver.finishes.size() == 1u);
        RC_ASSERT(now <= start + 500ms || driver.finishes.size() == 1u);
        const auto &finish = driver.finishes.front();
        const bool mayHaveExecuted = std::any_of(executions.begin(), executions.end(),
                                                 [](const auto &it) { return it.second > 0; });
        if (finish.outcome == CallOutcome::Refused)
            RC_ASSERT(!mayHaveExecuted);
        if (finish.outcome == CallOutcome::Merged) {
            const double share =
                static_cast<double>(finish.parts.size()) / static_cast<double>(route.shards.size());
            RC_ASSERT(share >= route.minShardShare - 1e-9);
            RC_ASSERT(std::set<std::size_t>(finish.parts.begin(), finish.parts.end()) == succeeded);
        }
        // Each extra attempt was withdrawn from the budget.
        std::size_t parts = fansOut ? route.shards.size() : 1;
        RC_ASSERT(driver.sends.size()
                  <= parts + static_cast<std::size_t>(environment.extraAttempts));
    });
}
