#include "call_world.h"

using namespace forward_test;

TEST_CASE("a request that would only wait too long is refused before anything is sent")
{
    World world;
    const auto route = fanoutRoute(10, 0.9);
    for (const auto &it : route.shards)
        world.add(it, 3);
    SECTION("one late part that the answer can do without is left out")
    {
        world.outlooks["shard4"] = {400, 40};
        Run run(world, route);
        CHECK(run.ends.empty());
        CHECK(run.sends.size() == 9);
    }
    SECTION("a part that is only just late is sent for all the same")
    {
        world.outlooks["shard4"] = {100, 40};
        Run run(world, route);
        CHECK(run.sends.size() == 10);
    }
    SECTION("a second one is needed")
    {
        world.outlooks["shard4"] = {400, 40};
        world.outlooks["shard7"] = {200, 40};
        Run run(world, route);
        CHECK(run.sends.empty());
        REQUIRE(run.ends.size() == 1);
        CHECK(run.ends[0].end == CallOutcome::Refused);
    }
    SECTION("servers that are slow even when idle serve late")
    {
        world.outlooks["shard4"] = {400, 40};
        world.outlooks["shard7"] = {200, 190};
        Run run(world, route);
        CHECK(run.ends.empty());
        CHECK(run.sends.size() == 9);
    }
    SECTION("an idle server that is only just too slow is asked")
    {
        for (const auto &it : route.shards)
            world.outlooks[it] = {100, 100};
        Run run(world, route);
        CHECK(run.ends.empty());
        CHECK(run.sends.size() == 10);
    }
    SECTION("nothing comes before the deadline")
    {
        world.outlooks["shard4"] = {900, 800};
        world.outlooks["shard7"] = {800, 800};
        Run run(world, route);
        REQUIRE(run.ends.size() == 1);
        CHECK(run.ends[0].end == CallOutcome::Refused);
    }
    SECTION("too few shards have servers")
    {
        world.servers["shard1"].clear();
        world.servers["shard2"].clear();
        Run run(world, route);
        CHECK(run.sends.empty());
        REQUIRE(run.ends.size() == 1);
        CHECK(run.ends[0].end == CallOutcome::Refused);
    }
}

TEST_CASE("a request whose caller's patience is over is not sent")
{
    World world;
    world.add("s", 2);
    const auto table = tableOf(plainRoute(Idempotency::NonIdempotent));
    Call call(table, table->routes().front(), {"s"}, 1,
              {start, start + 90ms, start - 1ms, start + 20ms}, world.hooks);
    CallActions out;
    call.start(start, out);
    REQUIRE(out.size() == 1);
    CHECK(std::get<Finish>(out[0]).outcome == CallOutcome::Refused);
}
