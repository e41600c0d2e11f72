#include "policy/burn/burn_window.h"

#include <catch2/catch.hpp>

using namespace goldcrestline::policy::burn;
using namespace std::chrono_literals;

TEST_CASE("burn windows count answers, drop old ones and compute burn rates", "[burn]")
{
    auto now = goldcrestline::core::TimePoint{} + 100h;
    BurnWindow window;
    for (int i = 0; i < 100; ++i)
        window.add(i < 2, i < 1, now);
    CHECK(window.sum(5min, now).total == 100);
    CHECK(window.sum(5min, now).late == 2);
    CHECK(window.sum(5min, now).thin == 1);
    CHECK(burnRate(2, 100, 0.99) == Approx(2));
    CHECK(burnRate(0, 0, 0.99) == 0);
    now += 6min;
    CHECK(window.sum(5min, now).total == 0);
    CHECK(window.sum(1h, now).total == 100);
    now += 1h;
    CHECK(window.sum(1h, now).total == 0);
    window.add(false, false, now);
    CHECK(window.series(3, now).back().total == 1);
    CHECK(window.series(3, now).front().total == 0);
}
