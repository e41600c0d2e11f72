#include "request_load.h"
#include "routed_cluster.h"

#include <catch2/catch.hpp>
#include <csignal>

// Evacuations of availability zones: the kind "evacuations" of the platform's store.

using namespace harness;

namespace {

constexpr double applyTime = 5;
const std::string evacuated = "a";

// Returns how many requests the servers of the zone have executed.
int runsInZone(const RoutedCluster &cluster)
{
    int out = 0;
    const auto servers = cluster.runs();
    for (const auto &[id, server] : servers.items()) {
        // The zones of a service's servers take turns.
        if ((id.back() - '0') % 3 == 0)
            out += server.at("runs").get<int>();
    }
    return out;
}

int sendEverywhere(const RoutedCluster &cluster, const std::string &id)
{
    int answered = 0;
    for (std::size_t n = 0; n < cluster.size(); ++n)
        answered +=
            cluster.sendRequest(n, "/one/x", id + "-" + std::to_string(n)).status == 200 ? 1 : 0;
    return answered;
}

} // namespace

// Guards against hosts, watching or following, that send to an evacuated zone after the time within
// which the evacuation must be in force, also if they start or lose the store meanwhile.
TEST_CASE("servers of an evacuated zone get no requests until it is withdrawn",
          "[process][evacuations]")
{
    RoutedCluster cluster(9, 1, {}, "[evacuation]\napply_ms = 5000\n");
    REQUIRE(eventually([&] {
        sendEverywhere(cluster, "before");
        return runsInZone(cluster) > 0;
    }));
    cluster.createStored("evacuations", evacuated, {{"reason", "test"}});
    std::this_thread::sleep_for(std::chrono::duration<double>(applyTime));
    const int before = runsInZone(cluster);
    const auto check = [&](const std::string &id) {
        for (int i = 0; i < 10; ++i)
            CHECK(sendEverywhere(cluster, id + std::to_string(i)) == 9);
        CHECK(runsInZone(cluster) == before);
    };
    check("during");
    cluster.host(0).process->signal(SIGKILL);
    cluster.start(0);
    CHECK(eventually([&] { return cluster.ready(0); }));
    check("restarted");
    cluster.setPlatform({{"mode", "refuse"}});
    cluster.host(1).process->signal(SIGKILL);
    cluster.start(1);
    CHECK(eventually([&] { return cluster.ready(1); }));
    check("outage");
    cluster.setPlatform({{"mode", "up"}});
    cluster.removeStored("evacuations", evacuated);
    CHECK(eventually(
        [&] {
            sendEverywhere(cluster, "after");
            return runsInZone(cluster) > before;
        },
        2 * applyTime));
}

// Guards against calls for the kind on deployments without it, whose store may not know it.
TEST_CASE("without an apply time the store is not asked for evacuations", "[process][evacuations]")
{
    RoutedCluster cluster(1, 1);
    cluster.createStored("evacuations", evacuated, json::object());
    std::this_thread::sleep_for(std::chrono::seconds(1));
    sendEverywhere(cluster, "unaware");
    for (int i = 0; i < 20; ++i)
        sendEverywhere(cluster, std::to_string(i));
    CHECK(runsInZone(cluster) > 0);
}
