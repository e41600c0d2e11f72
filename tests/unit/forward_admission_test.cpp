#include "call_environment.h"
#include "policy/forward/retry_delay.h"

using namespace forward_test;

TEST_CASE(
    "a request whose queueing would exceed the objective is refused before any attempt is sent")
{
    CallEnvironment environment;
    const auto route = makeFanoutRoute(10, 0.9);
    for (const auto &it : route.shards)
        environment.add(it, 3);
    SECTION("one late part that the response does not need is omitted")
    {
        environment.estimates["shard4"] = {400, 40};
        CallDriver driver(environment, route);
        CHECK(driver.finishes.empty());
        CHECK(driver.sends.size() == 9);
    }
    SECTION("a part that is estimated slightly late is requested")
    {
        environment.estimates["shard4"] = {100, 40};
        CallDriver driver(environment, route);
        CHECK(driver.sends.size() == 10);
    }
    SECTION("a second late part is needed, so the request is refused")
    {
        environment.estimates["shard4"] = {400, 40};
        environment.estimates["shard7"] = {200, 40};
        CallDriver driver(environment, route);
        CHECK(driver.sends.empty());
        REQUIRE(driver.finishes.size() == 1);
        CHECK(driver.finishes[0].outcome == CallOutcome::Refused);
    }
    SECTION("a late part is requested if its servers are slow even when idle")
    {
        environment.estimates["shard4"] = {400, 40};
        environment.estimates["shard7"] = {200, 190};
        CallDriver driver(environment, route);
        CHECK(driver.finishes.empty());
        CHECK(driver.sends.size() == 9);
    }
    SECTION("idle servers that are slightly too slow get requests")
    {
        for (const auto &it : route.shards)
            environment.estimates[it] = {100, 100};
        CallDriver driver(environment, route);
        CHECK(driver.finishes.empty());
        CHECK(driver.sends.size() == 10);
    }
    SECTION("no response is expected before the deadline")
    {
        environment.estimates["shard4"] = {900, 800};
        environment.estimates["shard7"] = {800, 800};
        CallDriver driver(environment, route);
        REQUIRE(driver.finishes.size() == 1);
        CHECK(driver.finishes[0].outcome == CallOutcome::Refused);
    }
    SECTION("too few shards have servers")
    {
        environment.servers["shard1"].clear();
        environment.servers["shard2"].clear();
        CallDriver driver(environment, route);
        CHECK(driver.sends.empty());
        REQUIRE(driver.finishes.size() == 1);
        CHECK(driver.finishes[0].outcome == CallOutcome::Refused);
    }
}

TEST_CASE("a request whose deadline has passed is not sent")
{
    CallEnvironment environment;
    environment.add("s", 2);
    const auto table = makeTable(makePlainRoute(Idempotency::NonIdempotent));
    Call call(table, table->routes().front(), {"s"}, CallRank{0, 0, 1},
              {start, start + 90ms, start - 1ms, start + 20ms}, environment.hooks);
    CallActions out;
    call.start(start, out);
    REQUIRE(out.size() == 1);
    CHECK(std::get<Finish>(out[0]).outcome == CallOutcome::Refused);
}

TEST_CASE("a refused call reports when it could be served")
{
    CallEnvironment environment;
    const auto route = makeFanoutRoute(10, 0.9);
    for (const auto &it : route.shards)
        environment.add(it, 3);
    SECTION("once the queue has shortened")
    {
        environment.estimates["shard4"] = {400, 40};
        environment.estimates["shard7"] = {200, 40};
        CallDriver driver(environment, route);
        REQUIRE(driver.finishes.size() == 1);
        // The response of the second latest part would be 110 ms late; the latest one is omitted.
        CHECK(driver.finishes[0].expectedWait == 110ms);
    }
    SECTION("once enough shards have a server again")
    {
        environment.hooks.availableAgainAt = [](const std::string &service,
                                                TimePoint now) -> std::optional<TimePoint> {
            if (service == "shard3")
                return std::nullopt;
            return now + (service == "shard1" ? 700ms : 300ms);
        };
        for (const char *it : {"shard1", "shard2", "shard3"})
            environment.servers[it].clear();
        CallDriver driver(environment, route);
        REQUIRE(driver.finishes.size() == 1);
        CHECK(driver.finishes[0].outcome == CallOutcome::Refused);
        CHECK(driver.finishes[0].expectedWait == 700ms);
    }
}

TEST_CASE("callers who are refused together are asked to return at different times")
{
    for (const auto wait : {0ms, 300ms, 2000ms}) {
        const auto earliest = retryDelay(wait, 0);
        const auto latest = retryDelay(wait, 0.999);
        CHECK(earliest >= std::max<core::Millis>(wait, 60ms));
        CHECK(latest >= 2 * earliest);
    }
    CHECK(retryDelay(std::chrono::hours(1), 0) == 5s);
}
