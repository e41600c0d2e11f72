#include "fault_proxy.h"
#include "request_load.h"
#include "routed_cluster.h"

#include <catch2/catch.hpp>
#include <csignal>

// What servers say of themselves in responses, and restores of the platform's store.

using namespace harness;

namespace {

constexpr auto settleTime = std::chrono::milliseconds(300);

int countOf(const json &runs, const std::string &id, const char *field)
{
    return runs.at(id).at(field).get<int>();
}

} // namespace

TEST_CASE("a server that says in its responses that it is leaving gets no new requests",
          "[process][routes]")
{
    RoutedCluster cluster(2);
    // The news must not depend on the store.
    cluster.setPlatform({{"mode", "hang"}});
    RequestLoad first(cluster, 0, "/one/x");
    RequestLoad second(cluster, 1, "/one/x");
    REQUIRE(eventually([&] { return first.answered() > 20 && second.answered() > 20; }));
    cluster.setBackends({{"id", "i-single-0"}, {"says_leaving", true}});
    // Both hosts hear of it, from the server or from each other.
    REQUIRE(eventually(
        [&] {
            return cluster.host(0).process->output().find("leaving id=i-single-0")
                != std::string::npos
                && cluster.host(1).process->output().find("leaving id=i-single-0")
                != std::string::npos;
        },
        3));
    std::this_thread::sleep_for(settleTime);
    const auto before = countOf(cluster.runs(), "i-single-0", "arrivals");
    const int answered = first.answered();
    REQUIRE(eventually([&] { return first.answered() > answered + 100; }));
    CHECK(countOf(cluster.runs(), "i-single-0", "arrivals") == before);
    for (auto *it : {&first, &second}) {
        const auto statuses = it->finish();
        CHECK(statuses.size() == 1);
        CHECK(it->interrupted() == 0);
    }
}

TEST_CASE("servers that ask for no requests for a time get none, and callers hear when to return",
          "[process][routes]")
{
    RoutedCluster cluster(1);
    cluster.setBackends({{"service", "single"}, {"rest_s", 3.0}});
    for (int i = 0; i < 8; ++i)
        CHECK(cluster.sendRequest(0, "/one/x", "a" + std::to_string(i)).status == 503);
    const auto before = cluster.runs();
    for (int i = 0; i < 30; ++i) {
        const auto result = cluster.sendRequest(0, "/one/x", "b" + std::to_string(i));
        CHECK(result.status == 503);
        const auto it = result.headers.find("retry-after");
        REQUIRE(it != result.headers.end());
        CHECK(std::stod(it->second) > 1);
    }
    const auto after = cluster.runs();
    for (const char *it : {"i-single-0", "i-single-1", "i-single-2", "i-single-3"}) {
        CHECK(countOf(after, it, "arrivals") == countOf(before, it, "arrivals"));
        CHECK(countOf(after, it, "runs") == 0);
    }
    cluster.setBackends({{"service", "single"}, {"rest_s", 0}});
    CHECK(eventually([&] { return cluster.sendRequest(0, "/one/x", "c").status == 200; }, 5));
    // A resting shard is left out where the least share allows it.
    cluster.setBackends({{"service", "shard1"}, {"rest_s", 3.0}});
    for (int i = 0; i < 4; ++i)
        cluster.sendRequest(0, "/all/x", "d" + std::to_string(i));
    const auto partial = cluster.sendRequest(0, "/all/x", "e");
    CHECK(partial.status == 200);
    CHECK(partial.headers.at("x-missing-parts") == "1");
}

TEST_CASE("after a restore of the store hosts follow it again and nothing that left returns",
          "[process][routes]")
{
    RoutedCluster cluster(2);
    cluster.removeStored("goldcrestline-hosts", "host-1");
    cluster.setPlatform({{"copy", true}});
    auto newest = RoutedCluster::configuration(6);
    newest["routes"][1]["service"] = "left";
    cluster.applyConfiguration(newest);
    const auto inForce = [&](std::size_t n, const std::string &by) {
        return cluster.sendRequest(n, "/one/x", "c").body.ends_with("by " + by);
    };
    for (std::size_t n = 0; n < 2; ++n)
        REQUIRE(eventually([&] { return inForce(n, "left"); }, 3));
    cluster.setBackends({{"id", "i-left-0"}, {"state", "gone"}});
    cluster.setBackends({{"id", "i-left-1"}, {"state", "draining"}});
    std::this_thread::sleep_for(settleTime);
    // The store is away, comes back from the copy and gives out more revisions than it had, so that
    // the revision from which the hosts watch is known to it again and they get no 410.
    cluster.setPlatform({{"mode", "refuse"}});
    for (std::size_t n = 0; n < 2; ++n)
        REQUIRE(eventually([&] { return cluster.metric(n, "store_reached") == 0; }, 3));
    cluster.setPlatform({{"restore", true}, {"further_revisions", 50}});
    cluster.setPlatform({{"mode", "up"}});
    const auto before = cluster.runs();
    const auto stopAt = std::chrono::steady_clock::now() + std::chrono::seconds(2);
    while (std::chrono::steady_clock::now() < stopAt) {
        for (std::size_t n = 0; n < 2; ++n)
            CHECK(inForce(n, "left"));
    }
    const auto after = cluster.runs();
    for (const char *it : {"i-left-0", "i-left-1"})
        CHECK(countOf(after, it, "runs") == countOf(before, it, "runs"));
    for (std::size_t n = 0; n < 2; ++n)
        CHECK(eventually([&] { return cluster.metric(n, "store_restores_total") == 1; }, 5));
    CHECK(eventually([&] { return cluster.isStored("goldcrestline-hosts", "host-1"); }, 5));
    // The operator writes the newest configuration again, and then a newer one.
    cluster.applyConfiguration(newest);
    auto later = RoutedCluster::configuration(7);
    later["routes"][1]["service"] = "right";
    cluster.applyConfiguration(later);
    for (std::size_t n = 0; n < 2; ++n)
        CHECK(eventually([&] { return inForce(n, "right"); }, 3));
}

TEST_CASE("a host whose watch of the servers has gone silent learns of changes by its peers",
          "[process][routes]")
{
    std::vector<std::unique_ptr<soak::FaultProxy>> proxies;
    RoutedCluster cluster(2, 3, [&](std::size_t, const std::string &store) {
        proxies.push_back(std::make_unique<soak::FaultProxy>(0, store));
        return proxies.back()->address();
    });
    RequestLoad load(cluster, 0, "/one/x");
    REQUIRE(eventually([&] { return load.answered() > 20; }));
    // The response to the pending watch is lost, and the connection stays open.
    proxies[0]->setMode(soak::ProxyMode::DropResponses);
    cluster.setBackends({{"id", "i-single-0"}, {"state", "draining"}});
    std::this_thread::sleep_for(settleTime);
    proxies[0]->setMode(soak::ProxyMode::Pass);
    std::this_thread::sleep_for(std::chrono::milliseconds(2400));
    const auto before = countOf(cluster.runs(), "i-single-0", "arrivals");
    const int answered = load.answered();
    REQUIRE(eventually([&] { return load.answered() > answered + 100; }));
    CHECK(countOf(cluster.runs(), "i-single-0", "arrivals") == before);
}

TEST_CASE("a server gets no more requests than the limit that it names", "[process][routes]")
{
    RoutedCluster cluster(2);
    // The limit is below the load of one caller at each host.
    cluster.setBackends({{"id", "i-single-0"}, {"limit_per_s", 8.0}});
    cluster.setBackends({{"id", "i-single-1"}, {"limit_per_s", 8.0}});
    RequestLoad first(cluster, 0, "/one/x");
    RequestLoad second(cluster, 1, "/one/x");
    // The time after which a named limit counts, and the window in which requests are counted.
    const auto window = std::chrono::seconds(4);
    std::this_thread::sleep_for(window);
    const auto before = cluster.runs();
    std::this_thread::sleep_for(window);
    const auto after = cluster.runs();
    for (const char *it : {"i-single-0", "i-single-1"}) {
        const int arrivals = countOf(after, it, "arrivals") - countOf(before, it, "arrivals");
        CHECK(arrivals <= 1.5 * 8 * 4 + 5);
        CHECK(arrivals >= 4);
    }
    CHECK(cluster.metric(0, "servers_limited_total") >= 1);
    for (auto *it : {&first, &second}) {
        // The other servers take the rest.
        const auto statuses = it->finish();
        CHECK(statuses.size() == 1);
        CHECK(statuses.count(200) == 1);
    }
}

TEST_CASE("a host that lost the store stops using a server that left meanwhile",
          "[process][routes]")
{
    std::vector<std::unique_ptr<soak::FaultProxy>> proxies;
    RoutedCluster cluster(1, 3, [&](std::size_t, const std::string &store) {
        proxies.push_back(std::make_unique<soak::FaultProxy>(0, store));
        return proxies.back()->address();
    });
    RequestLoad load(cluster, 0, "/one/x");
    REQUIRE(eventually([&] { return load.answered() > 20; }));
    proxies[0]->setMode(soak::ProxyMode::Silent);
    proxies[0]->resetAll();
    REQUIRE(eventually([&] { return cluster.metric(0, "store_reached") == 0; }, 5));
    // Its entry is removed, and it goes on serving.
    cluster.setBackends({{"id", "i-single-0"}, {"state", "gone"}});
    proxies[0]->setMode(soak::ProxyMode::Pass);
    proxies[0]->resetAll();
    // The host has read the list without the entry.
    REQUIRE(eventually(
        [&] {
            return cluster.host(0).process->output().find("missing since an outage id=i-single-0")
                != std::string::npos;
        },
        5));
    const auto before = countOf(cluster.runs(), "i-single-0", "arrivals");
    const int answered = load.answered();
    REQUIRE(eventually([&] { return load.answered() > answered + 100; }));
    CHECK(countOf(cluster.runs(), "i-single-0", "arrivals") == before);
    const auto statuses = load.finish();
    CHECK(statuses.size() == 1);
}

TEST_CASE("hosts whose watches have all gone silent at once learn of a leaving server in time",
          "[process][routes]")
{
    RoutedCluster cluster(3);
    RequestLoad load(cluster, 0, "/one/x");
    REQUIRE(eventually([&] { return load.answered() > 20; }));
    // The store never answers the pending watches, and keeps their connections open.
    cluster.setPlatform({{"mode", "hang"}});
    std::this_thread::sleep_for(settleTime);
    cluster.setPlatform({{"mode", "up"}});
    cluster.setBackends({{"id", "i-single-0"}, {"state", "draining"}});
    // The shortest time after a disturbance from which a host must follow the store again, and the
    // time within which a leaving server gets no more requests.
    std::this_thread::sleep_for(std::chrono::seconds(4));
    const auto before = countOf(cluster.runs(), "i-single-0", "arrivals");
    const int answered = load.answered();
    REQUIRE(eventually([&] { return load.answered() > answered + 100; }));
    CHECK(countOf(cluster.runs(), "i-single-0", "arrivals") == before);
    CHECK(load.finish().size() == 1);
}
