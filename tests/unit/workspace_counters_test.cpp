#include "daemon/forward/workspace_counters.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace goldcrestline;
using namespace goldcrestline::daemon::forward;
using namespace std::chrono_literals;

namespace {

const core::TimePoint start = core::TimePoint{} + 1h;

} // namespace

// Guards against metrics with a label for each of 10,000 workspaces, and against lost counts.
TEST_CASE("workspace counters name the 20 busiest workspaces and sum the others",
          "[workspace-counters]")
{
    WorkspaceCounters counters;
    for (int i = 1; i <= 50; ++i) {
        for (int n = 0; n < i; ++n)
            counters.add("w" + std::to_string(i), WorkspaceEvent::Request, start);
        counters.add("w" + std::to_string(i), WorkspaceEvent::OverQuota, start);
    }
    auto busiest = counters.busiest(20, start);
    REQUIRE(busiest.size() == 21);
    CHECK(busiest.front().first == "w50");
    CHECK(busiest.front().second[0] == 50);
    CHECK(busiest.back().first == "other");
    CHECK(busiest.back().second[0] == 30 * 31 / 2);
    CHECK(busiest.back().second[static_cast<std::size_t>(WorkspaceEvent::OverQuota)] == 30);
    // What counts are the requests of the last minutes.
    for (int n = 0; n < 10; ++n)
        counters.add("w1", WorkspaceEvent::Request, start + 10min);
    CHECK(counters.busiest(20, start + 10min).front().first == "w1");
    const auto text = counters.format(start + 10min);
    CHECK(std::count(text.begin(), text.end(), '\n') == 21 * 6);
    CHECK(text.find(
              "goldcrestline_workspace_refused_total{workspace=\"w1\",cause=\"over_quota\"} 1\n")
          != std::string::npos);
}

TEST_CASE("workspaces without recent requests take no memory and stay in the sum",
          "[workspace-counters]")
{
    WorkspaceCounters counters;
    for (int i = 0; i < 20000; ++i)
        counters.add(std::to_string(i), WorkspaceEvent::Request, start + i * 1s);
    CHECK(counters.size() <= 2048);
    std::uint64_t sum = 0;
    for (const auto &it : counters.busiest(20, start + 20000s))
        sum += it.second[0];
    CHECK(sum == 20000);
}

TEST_CASE("a workspace's name cannot end its label", "[workspace-counters]")
{
    WorkspaceCounters counters;
    counters.add("a\"\n\\b", WorkspaceEvent::Request, start);
    CHECK(counters.format(start).find("{workspace=\"a\\\" \\\\b\"} 1\n") != std::string::npos);
}
