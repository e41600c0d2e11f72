#include "request_load.h"
#include "routed_cluster.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <csignal>

// Hosts of a large zone, of which two watch the platform's store and the others follow these.

using namespace harness;

namespace {

constexpr int hostCount = 9;
// Time within which a change must be in force on every host.
constexpr double changeTime = 3;

std::vector<std::size_t> watchingHosts(const RoutedCluster &cluster)
{
    std::vector<std::size_t> out;
    for (std::size_t n = 0; n < cluster.size(); ++n) {
        if (cluster.metric(n, "store_watching") == 1)
            out.push_back(n);
    }
    return out;
}

bool inForce(const RoutedCluster &cluster, std::size_t n, const std::string &by)
{
    return cluster.sendRequest(n, "/one/x", "c" + std::to_string(n)).body.ends_with("by " + by);
}

void applyVersion(const RoutedCluster &cluster, std::uint64_t version, const std::string &service)
{
    auto next = RoutedCluster::configuration(version);
    next["routes"][1]["service"] = service;
    cluster.applyConfiguration(next);
}

} // namespace

TEST_CASE("two hosts of a large zone watch the store for all", "[process][routes]")
{
    RoutedCluster cluster(hostCount, 1);
    REQUIRE(eventually([&] { return watchingHosts(cluster).size() == 2; }));
    const auto before = cluster.platformCounters();
    applyVersion(cluster, 2, "left");
    for (std::size_t n = 0; n < cluster.size(); ++n)
        CHECK(eventually([&] { return inForce(cluster, n, "left"); }, changeTime));
    cluster.setBackends({{"id", "i-left-0"}, {"state", "draining"}});
    cluster.setBackends({{"id", "i-left-1"}, {"state", "gone"}});
    std::this_thread::sleep_for(std::chrono::seconds(2));
    const auto drained = cluster.runs();
    for (int i = 0; i < 5; ++i) {
        for (std::size_t n = 0; n < cluster.size(); ++n)
            CHECK(inForce(cluster, n, "left"));
    }
    const auto later = cluster.runs();
    for (const char *it : {"i-left-0", "i-left-1"})
        CHECK(later.at(it).at("runs") == drained.at(it).at("runs"));
    // Two hosts make two watches for each of the few changes, and one each 1.5 s.
    const auto after = cluster.platformCounters();
    CHECK(after.at("watches").get<int>() - before.at("watches").get<int>() < 40);
    CHECK(after.at("reads") == before.at("reads"));
}

TEST_CASE("followers are up to date when both of their watchers are lost", "[process][routes]")
{
    RoutedCluster cluster(hostCount, 1);
    REQUIRE(eventually([&] { return watchingHosts(cluster).size() == 2; }));
    const auto lost = watchingHosts(cluster);
    const int signal = GENERATE(SIGKILL, SIGSTOP);
    for (const auto n : lost)
        cluster.host(n).process->signal(signal);
    applyVersion(cluster, 2, "left");
    const auto startedAt = std::chrono::steady_clock::now();
    for (std::size_t n = 0; n < cluster.size(); ++n) {
        if (std::find(lost.begin(), lost.end(), n) == lost.end())
            CHECK(eventually([&] { return inForce(cluster, n, "left"); }, changeTime));
    }
    // Hosts on a fleet of this size have 5 s.
    CHECK(std::chrono::steady_clock::now() - startedAt < std::chrono::seconds(5));
    for (const auto n : lost)
        cluster.host(n).process->signal(SIGCONT);
}
