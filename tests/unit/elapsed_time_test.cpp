#include "policy/forward/elapsed_time.h"

#include <catch2/catch.hpp>

using namespace goldcrestline;
using namespace goldcrestline::policy::forward;
using namespace std::chrono_literals;

TEST_CASE("the time that a caller has waited follows from its remaining timeout")
{
    ElapsedTimeEstimator tracker;
    const auto start = core::TimePoint{} + 1h;
    CHECK(tracker.elapsed("r", 584ms, start) == 0ms);
    CHECK(tracker.elapsed("r", 600ms, start) == 0ms);
    CHECK(tracker.elapsed("r", 584ms, start + 1s) == 16ms);
    CHECK(tracker.elapsed("other", 584ms, start + 1s) == 0ms);
    // The maximum remains valid in the next window and expires after it.
    CHECK(tracker.elapsed("r", 580ms, start + 12s) == 20ms);
    CHECK(tracker.elapsed("r", 300ms, start + 24s) == 280ms);
    CHECK(tracker.elapsed("r", 300ms, start + 60s) == 0ms);
}
