#include "policy/forward/lateness.h"

#include <catch2/catch.hpp>

using namespace goldcrestline;
using namespace goldcrestline::policy::forward;
using namespace std::chrono_literals;

TEST_CASE("the hedge delay follows the late answers of the route")
{
    HedgeDelayTracker lateness;
    for (int i = 0; i < 2000; ++i)
        lateness.add("r", i % 20 == 0 ? 100ms : 10ms);
    const auto delay = core::toMillis(lateness.hedgeDelay("r"));
    CHECK(delay >= 9);
    CHECK(delay < 60);
}

TEST_CASE("a short route is hedged by its own latencies and not by those of a long one")
{
    HedgeDelayTracker lateness;
    for (int i = 0; i < 2000; ++i) {
        lateness.add("long", i % 20 == 0 ? 120ms : 40ms);
        lateness.add("short", i % 20 == 0 ? 100ms : 5ms);
    }
    CHECK(lateness.hedgeDelay("short") < 20ms);
    CHECK(lateness.hedgeDelay("long") >= 36ms);
}

TEST_CASE("the hedge delay settles within a few requests over many shards")
{
    // A host of a large deployment sees few requests; the first answer of all came during a pause.
    HedgeDelayTracker lateness;
    constexpr int shards = 36;
    lateness.add("r", 100ms);
    for (int request = 0; request < 20; ++request) {
        for (int shard = 0; shard < shards; ++shard)
            lateness.add("r", 8ms);
    }
    CHECK(lateness.hedgeDelay("r") < 16ms);
}
