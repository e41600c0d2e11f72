#include "routed_cluster.h"

#include <catch2/catch.hpp>
#include <thread>

// Large objects of another writer in the platform's store.

using namespace harness;

namespace {

using Clock = std::chrono::steady_clock;

constexpr std::size_t entryBytes = 1000000;
// Time after the acknowledgement of a change of a server's state within which hosts must know it.
constexpr auto drainTime = std::chrono::milliseconds(3000);
// A host keeps one object of a response at a time, and what it uses of the others.
constexpr std::size_t maxGrowthBytes = 16 << 20;

std::vector<std::size_t> peakMemory(const RoutedCluster &cluster)
{
    std::vector<std::size_t> out;
    for (std::size_t n = 0; n < cluster.size(); ++n)
        out.push_back(cluster.host(n).process->peakMemoryBytes());
    return out;
}

void sendToAll(const RoutedCluster &cluster, int requests)
{
    static int sent = 0;
    for (int i = 0; i < requests; ++i) {
        for (std::size_t n = 0; n < cluster.size(); ++n) {
            const auto id = "l" + std::to_string(++sent);
            CHECK(cluster.sendRequest(n, "/one/x", id).status == 200);
        }
    }
}

} // namespace

// Guards against a watch whose response is too long for the host and that is repeated as it was, so
// that no host hears of the servers, and against a host that keeps such a response.
TEST_CASE("a draining server is known in time behind large entries of another writer",
          "[process][store]")
{
    RoutedCluster cluster(3);
    const auto before = peakMemory(cluster);
    // No page of a list is longer than one entry, as the store's are 1 MB at most.
    cluster.setPlatform({{"page_size", 1}});
    cluster.createLargeEntries("servers", 64, entryBytes);
    cluster.setBackends({{"id", "i-single-0"}, {"state", "draining"}});
    const auto drainingAt = Clock::now();
    sendToAll(cluster, 10);
    std::this_thread::sleep_until(drainingAt + drainTime);
    const auto known = cluster.runs().at("i-single-0").at("runs");
    sendToAll(cluster, 30);
    CHECK(cluster.runs().at("i-single-0").at("runs") == known);
    const auto after = peakMemory(cluster);
    for (std::size_t n = 0; n < cluster.size(); ++n) {
        CHECK(after[n] - before[n] < maxGrowthBytes);
        CHECK(cluster.metric(n, "store_reached") == 1);
    }
}

// The same for the objects beside the configuration, of which hosts read one.
TEST_CASE("a configuration is in force in time behind large objects beside it", "[process][store]")
{
    RoutedCluster cluster(3);
    const auto before = peakMemory(cluster);
    cluster.setPlatform({{"page_size", 1}});
    cluster.createLargeEntries("config", 64, entryBytes);
    cluster.applyConfiguration(RoutedCluster::configuration(2));
    for (std::size_t n = 0; n < cluster.size(); ++n)
        CHECK(eventually([&] { return cluster.metric(n, "configuration_version") == 2; }, 3));
    const auto after = peakMemory(cluster);
    for (std::size_t n = 0; n < cluster.size(); ++n)
        CHECK(after[n] - before[n] < maxGrowthBytes);
}

// Guards against hosts that do not become ready beside such objects.
TEST_CASE("hosts serve after a restart beside large objects of all kinds", "[process][store]")
{
    RoutedCluster cluster(3);
    cluster.setPlatform({{"page_size", 1}});
    for (const char *kind : {"servers", "config", "goldcrestline-hosts", "evacuations"})
        cluster.createLargeEntries(kind, 16, entryBytes);
    cluster.restartAll();
    constexpr double recoverySeconds = 12;
    for (std::size_t n = 0; n < cluster.size(); ++n) {
        CHECK(eventually(
            [&] {
                return cluster.ready(n)
                    && cluster.sendRequest(n, "/all/x", "a" + std::to_string(n)).status == 200;
            },
            recoverySeconds));
        CHECK(cluster.host(n).process->peakMemoryBytes() < 2 * maxGrowthBytes);
    }
}
