#include "overload_simulation.h"

#include <catch2/catch.hpp>

using namespace goldcrestline;
using namespace goldcrestline::simulation;

namespace {

// Request mix of a deployment in which one shard had no servers and another only slow ones.
const std::vector<RequestType> requestTypes{
    {"lookup", 135, 11ms, 105ms, 580ms, 0.89, 1},
    {"quick", 45, 3800us, 65ms, 280ms, 0.75, 2},
};

} // namespace

TEST_CASE("under normal load no request is refused and almost all are on time", "[overload]")
{
    Simulation simulation({});
    auto counts = simulation.run(requestTypes, 10s);
    for (const auto &it : counts) {
        CHECK(it.second.refused == 0);
        CHECK(it.second.inTime >= it.second.requests * 99 / 100);
    }
}

TEST_CASE("with one shard down and another slow, requests that can be served on time are",
          "[overload]")
{
    const auto run = [](bool usesEstimate) {
        Simulation simulation({.usesEstimate = usesEstimate});
        simulation.removeServers(3);
        simulation.slowDown(7, 8.5);
        return simulation.run(requestTypes, 10s);
    };
    auto withoutEstimate = run(false);
    auto withEstimate = run(true);
    INFO("quick in time " << withoutEstimate["quick"].inTime << " -> "
                          << withEstimate["quick"].inTime << ", lookup "
                          << withoutEstimate["lookup"].inTime << " -> "
                          << withEstimate["lookup"].inTime << " of "
                          << withEstimate["lookup"].requests << ", late "
                          << withoutEstimate["lookup"].late << " -> " << withEstimate["lookup"].late
                          << ", refused " << withEstimate["lookup"].refused << ", failed "
                          << withoutEstimate["lookup"].failed << " -> "
                          << withEstimate["lookup"].failed);
    // Quick requests reach their minimum share without these two shards.
    CHECK(withEstimate["quick"].inTime >= withEstimate["quick"].requests * 95 / 100);
    // Six slots with 65 to 121 ms per lookup complete 64 of the 135 lookups per second, 71 % of
    // them within 105 ms. The bound is half of that.
    CHECK(withEstimate["lookup"].inTime
          >= withEstimate["lookup"].requests * 64 * 71 / 135 / 100 / 2);
    CHECK(withEstimate["lookup"].inTime > withoutEstimate["lookup"].inTime);
    // The other lookups are refused early instead of failing at the deadline.
    CHECK(withEstimate["lookup"].failed <= withEstimate["lookup"].requests / 50);
}

TEST_CASE("requests to servers that are slow even when idle are not refused", "[overload]")
{
    Simulation simulation({});
    simulation.slowDown(2, 20);
    auto counts = simulation.run({{"lookup", 10, 11ms, 105ms, 900ms, 1, 1}}, 10s);
    CHECK(counts["lookup"].refused == 0);
    CHECK(counts["lookup"].late >= counts["lookup"].requests * 9 / 10);
}

TEST_CASE("requests are not refused while servers with processing time near the objective are idle",
          "[overload]")
{
    // The processing time is so close to the objective that the estimate fluctuates around it.
    for (const double factor : {8.0, 9.0, 9.6, 10.5, 12.0}) {
        Simulation simulation({});
        simulation.slowDown(2, factor);
        auto counts = simulation.run({{"lookup", 20, 11ms, 105ms, 900ms, 1, 1}}, 10s);
        const auto &lookup = counts["lookup"];
        INFO("factor " << factor << " refused " << lookup.refused << " late " << lookup.late);
        // 20 requests per second are less than half of the capacity of six slots.
        CHECK(lookup.refused <= lookup.requests / 20);
    }
}
