#include "policy/forward/hedge_delay.h"

#include <catch2/catch.hpp>

using namespace goldcrestline;
using namespace goldcrestline::policy::forward;
using namespace std::chrono_literals;

TEST_CASE("the hedge delay tracks the tail latency of the route")
{
    HedgeDelayTracker tracker;
    for (int i = 0; i < 2000; ++i)
        tracker.add("r", i % 20 == 0 ? 100ms : 10ms);
    const auto delay = core::toMillis(tracker.hedgeDelay("r"));
    CHECK(delay >= 9);
    CHECK(delay < 60);
}

TEST_CASE("the hedge delay of a fast route does not depend on the latencies of a slow one")
{
    HedgeDelayTracker tracker;
    for (int i = 0; i < 2000; ++i) {
        tracker.add("long", i % 20 == 0 ? 120ms : 40ms);
        tracker.add("short", i % 20 == 0 ? 100ms : 5ms);
    }
    CHECK(tracker.hedgeDelay("short") < 20ms);
    CHECK(tracker.hedgeDelay("long") >= 36ms);
}

TEST_CASE("the hedge delay converges within a few requests over many shards")
{
    // A host of a large deployment gets few requests of a route, and the first response of all may
    // be delayed by a server's pause: that sample must not dominate the estimate.
    HedgeDelayTracker tracker;
    constexpr int shards = 36;
    tracker.add("r", 100ms);
    for (int request = 0; request < 20; ++request) {
        for (int shard = 0; shard < shards; ++shard)
            tracker.add("r", 8ms);
    }
    CHECK(tracker.hedgeDelay("r") < 16ms);
}
