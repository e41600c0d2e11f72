#include "overload_simulation.h"

#include <catch2/catch.hpp>
#include <cmath>

using namespace goldcrestline;
using namespace goldcrestline::simulation;

namespace {

using Counts = std::map<std::string, OutcomeCounts>;

// Six shards of three servers with two slots complete 600 fan-outs of 10 ms per second. With
// several hosts, most queueing is at the servers, and else at the host.
Counts simulate(const std::vector<RequestType> &types, int hosts, bool fair,
                core::Duration length = 20s)
{
    Simulation simulation(
        {.shards = 6, .hosts = hosts, .connections = hosts == 1 ? 12 : 2, .fair = fair});
    return simulation.run(types, length);
}

double servedFraction(const OutcomeCounts &counts)
{
    return static_cast<double>(counts.inTime + counts.late) / std::max(counts.requests, 1);
}

// Returns the served fraction of all requests but those of `except`.
double servedFraction(const Counts &counts, const std::string &except = {})
{
    OutcomeCounts sum;
    for (const auto &[name, it] : counts) {
        if (name == except)
            continue;
        sum.requests += it.requests;
        sum.inTime += it.inTime + it.late;
    }
    return servedFraction(sum);
}

// 75 workspaces of uneven size with `total` requests per second, of which the largest has 12 %.
// The one of rank `unfair` sends `factor` times its usual rate.
std::vector<RequestType> workspaces(double total, int unfair, double factor, int repeats = 0)
{
    constexpr int count = 75;
    const auto size = [](int rank) { return std::pow(rank, -0.8); };
    double sizes = 0;
    for (int rank = 1; rank <= count; ++rank)
        sizes += size(rank);
    std::vector<RequestType> out;
    for (int rank = 1; rank <= count; ++rank) {
        RequestType type{
            "w" + std::to_string(rank), total * size(rank) / sizes, 10ms, 150ms, 800ms, 0.95, 1};
        type.workspace = type.name;
        if (rank == unfair) {
            type.perSecond *= factor;
            type.repeats = repeats;
        }
        out.push_back(type);
    }
    return out;
}

// Three routes of the same servers.
std::vector<RequestType> routes(double urgentPerSecond, double usualPerSecond)
{
    return {{"urgent", urgentPerSecond, 10ms, 60ms, 400ms, 0.85, 0, "a"},
            {"usual", usualPerSecond, 10ms, 150ms, 800ms, 0.95, 1, "b"},
            {"plain", 400, 10ms, 500ms, 2500ms, 1, 1, "c", true}};
}

} // namespace

TEST_CASE("a workspace at 7.5 times its usual rate does not displace the others", "[fairness]")
{
    struct Load
    {
        double total;
        int unfair;
    };
    // Slots become scarce by the largest workspace, or are scarce already when a middling one
    // grows.
    const auto load = GENERATE(Load{480, 1}, Load{660, 10});
    const int hosts = GENERATE(1, 8);
    const auto name = "w" + std::to_string(load.unfair);
    const auto run = [&](double factor, bool fair) {
        return simulate(workspaces(load.total, load.unfair, factor), hosts, fair);
    };
    const auto usual = run(1, true);
    auto counts = run(7.5, true);
    INFO("hosts " << hosts << " total " << load.total << " others " << servedFraction(usual, name)
                  << " -> " << servedFraction(counts, name) << ", by age "
                  << servedFraction(run(1, false), name) << " -> "
                  << servedFraction(run(7.5, false), name) << ", " << name << " "
                  << servedFraction(counts[name]) << " all " << servedFraction(counts));
    CHECK(servedFraction(counts, name) >= servedFraction(usual, name) - 0.05);
    CHECK(servedFraction(counts, name) >= servedFraction(run(1, false), name) - 0.05);
    for (const auto &[other, it] : counts) {
        // Fewer requests say little about a fraction.
        if (it.requests < 100)
            continue;
        INFO(other << " " << servedFraction(it));
        CHECK(servedFraction(it) >= servedFraction(counts) / 4);
    }
}

// The same where the usual load exceeds the capacity by a tenth and the largest workspace grows.
TEST_CASE("the largest workspace at 7.5 times its usual rate does not displace the others when "
          "slots are short already",
          "[fairness]")
{
    const int hosts = GENERATE(1, 8);
    const auto usual = simulate(workspaces(660, 1, 1), hosts, true);
    auto counts = simulate(workspaces(660, 1, 7.5), hosts, true);
    INFO("hosts " << hosts << " others " << servedFraction(usual, "w1") << " -> "
                  << servedFraction(counts, "w1"));
    CHECK(servedFraction(counts, "w1") >= servedFraction(usual, "w1") - 0.05);
    CHECK(servedFraction(counts["w1"]) >= servedFraction(counts) / 4);
}

TEST_CASE("every other workspace keeps its fraction when one sends 7.5 times its usual rate",
          "[fairness]")
{
    auto usual = simulate(workspaces(660, 10, 1), 8, true, 60s);
    for (const auto &[name, it] : simulate(workspaces(660, 10, 7.5), 8, true, 60s)) {
        if (name == "w10" || it.requests < 300)
            continue;
        INFO(name << " " << servedFraction(usual[name]) << " -> " << servedFraction(it));
        CHECK(servedFraction(it) >= servedFraction(usual[name]) - 0.05);
    }
}

TEST_CASE("callers that repeat refused requests at once do not displace the others", "[fairness]")
{
    const int hosts = GENERATE(1, 8);
    const auto usual = simulate(workspaces(480, 1, 1), hosts, true);
    const auto counts = simulate(workspaces(480, 1, 4, 20), hosts, true);
    INFO("hosts " << hosts << " others " << servedFraction(usual, "w1") << " -> "
                  << servedFraction(counts, "w1"));
    CHECK(servedFraction(counts, "w1") >= servedFraction(usual, "w1") - 0.05);
}

TEST_CASE("an urgent route loses nothing to another one at 2.4 times its usual load", "[fairness]")
{
    const int hosts = GENERATE(1, 8);
    auto usual = simulate(routes(100, 250), hosts, true);
    auto counts = simulate(routes(100, 600), hosts, true);
    INFO("hosts " << hosts << " by age "
                  << servedFraction(simulate(routes(100, 600), hosts, false)["urgent"]));
    CHECK(servedFraction(counts["urgent"]) >= servedFraction(usual["urgent"]));
    CHECK(counts["urgent"].inTime >= usual["urgent"].inTime * 99 / 100);
    for (const auto &[name, it] : counts) {
        INFO(name);
        CHECK(servedFraction(it) >= servedFraction(counts) / 4);
    }
}

TEST_CASE("requests of a low priority are served while urgent ones exceed the capacity",
          "[fairness]")
{
    const int hosts = GENERATE(1, 8);
    const auto counts = simulate(routes(600, 600), hosts, true);
    for (const auto &[name, it] : counts) {
        INFO("hosts " << hosts << " " << name << " " << servedFraction(it) << " all "
                      << servedFraction(counts));
        CHECK(servedFraction(it) >= servedFraction(counts) / 4);
    }
}

TEST_CASE("fan-outs over 54 shards and plain requests share the servers by work", "[fairness]")
{
    // 324 slots complete 150 fan-outs of 40 ms per second. Each workspace alone uses all of it.
    const std::vector<RequestType> types{{"fan-outs", 150, 40ms, 400ms, 2s, 0.95, 1, "a"},
                                         {"plain", 8100, 40ms, 400ms, 2s, 1, 1, "b", true}};
    Simulation simulation({.shards = 54, .fair = true});
    auto counts = simulation.run(types, 5s);
    const double ratio = servedFraction(counts["fan-outs"]) / servedFraction(counts["plain"]);
    INFO("fan-outs " << servedFraction(counts["fan-outs"]) << " plain "
                     << servedFraction(counts["plain"]));
    // The fan-outs end with the slowest of their parts.
    CHECK(ratio >= 0.5);
    CHECK(ratio <= 2);
}
