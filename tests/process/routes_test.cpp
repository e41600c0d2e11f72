#include "fault_proxy.h"
#include "query_load.h"
#include "request_load.h"
#include "routed_cluster.h"

#include <algorithm>
#include <atomic>
#include <catch2/catch.hpp>
#include <csignal>
#include <mutex>
#include <thread>

using namespace harness;

namespace {

std::string headerOf(const TransferResult &result, const std::string &name)
{
    const auto it = result.headers.find(name);
    return it == result.headers.end() ? "" : it->second;
}

int runsOf(const json &runs, const std::string &service)
{
    int sum = 0;
    for (const auto &it : runs)
        sum += it.at("service") == service ? it.at("runs").get<int>() : 0;
    return sum;
}

int runsOfId(const json &runs, const std::string &id)
{
    int sum = 0;
    for (const auto &it : runs)
        sum += it.at("ids").value(id, 0);
    return sum;
}

} // namespace

TEST_CASE("responses of each kind of route carry the execution stamps of the servers",
          "[process][routes]")
{
    RoutedCluster cluster;
    const auto all = cluster.sendRequest(0, "/all/x?q=1", "r1");
    CHECK(all.status == 200);
    CHECK(all.body == "5-shard2........5-shard1........5-shard0........4-shard2........");
    CHECK(headerOf(all, "x-missing-parts") == "0");
    const auto stamps = headerOf(all, "x-part-stamps");
    for (const char *it : {"i-shard0-", "i-shard1-", "i-shard2-"})
        CHECK(stamps.find(it) != std::string::npos);
    const auto one = cluster.sendRequest(1, "/one/x?q=1", "r2", "POST", "body");
    CHECK(one.status == 200);
    CHECK(one.body == "/one/x?q=1 body by single");
    CHECK(headerOf(one, "x-server-stamp").find(".r2") != std::string::npos);
    CHECK(headerOf(one, "x-request-id") == "r2");
    CHECK(cluster.sendRequest(2, "/none/x", "r3").status == 404);
    const auto extraBefore = cluster.metric(0, "attempts_extra_total");
    for (int i = 0; i < 40; ++i)
        CHECK(cluster.sendRequest(0, "/split/x", "s" + std::to_string(i)).status == 200);
    // A hedge on a slow machine executes a request a second time, at the service that the traffic
    // split chose for it. Without extra attempts the counts are exactly 30 and 10.
    const auto extra = cluster.metric(0, "attempts_extra_total") - extraBefore;
    const auto runs = cluster.runs();
    const int left = runsOf(runs, "left");
    const int right = runsOf(runs, "right");
    CHECK(left >= 30);
    CHECK(right >= 10);
    CHECK(left + right <= 40 + extra);
    // The only host of the caller's zone, and a host of another zone in case the first one is dead.
    const auto addresses = cluster.resolve(0);
    REQUIRE(addresses.size() == 2);
    CHECK(addresses[0] == cluster.host(0).callers);
    CHECK((addresses[1] == cluster.host(1).callers || addresses[1] == cluster.host(2).callers));
    CHECK(cluster.metric(0, "requests_total") >= 41);
}

TEST_CASE("a non-idempotent request is executed at most once under each fault of the server",
          "[process][routes]")
{
    RoutedCluster cluster(1);
    int number = 0;
    for (const char *mode : {"late-shed", "lose", "hang", "garble", "fail", "shed"}) {
        cluster.setBackends({{"service", "single"}, {"mode", mode}});
        // Servers get no requests for a time after failures; waits until this is over, so that all
        // servers take part in each mode.
        std::this_thread::sleep_for(std::chrono::milliseconds(1200));
        int executedInMode = 0;
        for (int i = 0; i < 4; ++i) {
            const auto id = "claim-" + std::to_string(number++);
            const auto result = cluster.sendRequest(0, "/claim/x", id, "POST", "b", 400);
            CAPTURE(mode, result.status);
            const auto executed = runsOfId(cluster.runs(), id);
            executedInMode += executed;
            CHECK(executed <= 1);
            // These statuses guarantee that the request was not executed.
            const bool guaranteed = result.status == 503 || result.status == 429
                || result.status == 408 || result.status == 421;
            CHECK((!guaranteed || executed == 0));
            CHECK((executed == 0 || result.status == 502 || result.status == 504
                   || result.status == 500));
        }
        CAPTURE(mode);
        CHECK((executedInMode > 0) == (std::string(mode) != "shed"));
    }
    cluster.setBackends({{"service", "single"}, {"mode", "shed"}});
    const auto refused = cluster.sendRequest(0, "/claim/x", "refused", "POST", "b", 400);
    CHECK(refused.status == 503);
    CHECK(!headerOf(refused, "retry-after").empty());
}

TEST_CASE("a fan-out reports an unavailable shard as missing and fails if too few shards remain",
          "[process][routes]")
{
    RoutedCluster cluster(1);
    cluster.setBackends({{"service", "shard1"}, {"mode", "hang"}});
    auto result = cluster.sendRequest(0, "/all/x", "r1");
    CHECK(result.status == 200);
    CHECK(headerOf(result, "x-missing-parts") == "1");
    CHECK(headerOf(result, "x-part-stamps").find("shard1") == std::string::npos);
    cluster.setBackends({{"service", "shard2"}, {"mode", "hang"}});
    result = cluster.sendRequest(0, "/all/x", "r2", "GET", "", 600);
    CHECK(result.status == 504);
}

// Guards against a server's header that adds an element to the list of stamps.
TEST_CASE("a part whose stamp is not a single element of a list is left out", "[process][routes]")
{
    RoutedCluster cluster(1);
    cluster.setBackends({{"service", "shard1"}, {"mode", "two-stamps"}});
    const auto result = cluster.sendRequest(0, "/all/x", "r1");
    CHECK(result.status == 200);
    CHECK(headerOf(result, "x-missing-parts") == "1");
    CHECK(headerOf(result, "x-part-stamps").find("i-other") == std::string::npos);
    cluster.setBackends({{"service", "single"}, {"mode", "two-stamps"}});
    CHECK(cluster.sendRequest(0, "/one/x", "r2").status == 200);
}

TEST_CASE(
    "an accepted configuration is in force on every host and stays in force without the store",
    "[process][routes]")
{
    RoutedCluster cluster;
    auto next = RoutedCluster::configuration(5);
    next["routes"][1]["service"] = "left";
    cluster.applyConfiguration(next);
    const auto inForce = [&](std::size_t n, const std::string &by) {
        const auto result = cluster.sendRequest(n, "/one/x", "c" + std::to_string(n));
        return result.body.ends_with("by " + by);
    };
    for (std::size_t n = 0; n < 3; ++n)
        CHECK(eventually([&] { return inForce(n, "left"); }, 3));
    SECTION("an older version is ignored")
    {
        cluster.applyConfiguration(RoutedCluster::configuration(4));
        std::this_thread::sleep_for(std::chrono::milliseconds(500));
        for (std::size_t n = 0; n < 3; ++n)
            CHECK(inForce(n, "left"));
    }
    SECTION("a configuration without a version is rejected and the previous one stays in force")
    {
        auto broken = RoutedCluster::configuration(9);
        broken.erase("version");
        cluster.applyConfiguration(broken);
        CHECK(eventually([&] { return cluster.metric(0, "configuration_rejected") == 1; }));
        CHECK(cluster.host(0).process->output().find("configuration refused") != std::string::npos);
        CHECK(inForce(0, "left"));
    }
    SECTION("a malformed route is left out and all else comes into force")
    {
        auto broken = RoutedCluster::configuration(9);
        broken["routes"][0].erase("host");
        cluster.applyConfiguration(broken);
        CHECK(eventually(
            [&] { return cluster.host(0).process->output().find("5031") != std::string::npos; }));
        CHECK(inForce(0, "single"));
        CHECK(cluster.sendRequest(0, "/all/x", "all").status == 404);
    }
    SECTION("a host that restarts while the store is unreachable gets configuration and servers "
            "from its peers")
    {
        cluster.setPlatform({{"mode", "refuse"}});
        cluster.host(2).process->signal(SIGKILL);
        cluster.host(2).process->wait();
        cluster.start(2);
        CHECK(eventually([&] { return cluster.ready(2) && inForce(2, "left"); }, 5));
        cluster.setPlatform({{"mode", "up"}});
        CHECK(eventually([&] { return cluster.metric(2, "store_reached") == 1; }, 5));
        CHECK(inForce(2, "left"));
    }
    SECTION("after the store has dropped its watch history the hosts list it again")
    {
        cluster.setPlatform({{"forget", true}});
        next["version"] = 7;
        next["routes"][1]["service"] = "right";
        cluster.applyConfiguration(next);
        for (std::size_t n = 0; n < 3; ++n)
            CHECK(eventually([&] { return inForce(n, "right"); }, 3));
    }
}

TEST_CASE("a server that drains or is removed from the store gets no new requests within 3 s",
          "[process][routes]")
{
    RoutedCluster cluster(2);
    RequestLoad first(cluster, 0, "/one/x");
    RequestLoad second(cluster, 1, "/one/x");
    REQUIRE(eventually([&] { return first.answered() > 20 && second.answered() > 20; }));
    cluster.setBackends({{"id", "i-single-0"}, {"state", "draining"}});
    cluster.setBackends({{"id", "i-single-1"}, {"state", "gone"}});
    std::this_thread::sleep_for(std::chrono::seconds(1));
    const auto before = cluster.runs();
    const int answered = first.answered();
    REQUIRE(eventually([&] { return first.answered() > answered + 50; }));
    const auto after = cluster.runs();
    for (const char *it : {"i-single-0", "i-single-1"})
        CHECK(after.at(it).at("runs") == before.at(it).at("runs"));
    for (auto *it : {&first, &second}) {
        const auto statuses = it->finish();
        CHECK(statuses.size() == 1);
        CHECK(it->interrupted() == 0);
    }
}

TEST_CASE("a planned stop interrupts no request and removes the host from the directory within 1 s",
          "[process][routes]")
{
    RoutedCluster cluster;
    // Long requests, so that some are in flight whenever the process might exit.
    cluster.setBackends({{"service", "single"}, {"work_ms", 350}});
    std::vector<std::unique_ptr<RequestLoad>> senders;
    for (int i = 0; i < 4; ++i)
        senders.push_back(std::make_unique<RequestLoad>(cluster, 1, "/one/x"));
    for (const auto &it : senders)
        REQUIRE(eventually([&] { return it->answered() > 1; }));
    // Until the hedge delay has adapted to the long requests, hedges use connections, and a request
    // that finds all servers at their connection limit is refused. That is no effect of the stop.
    const double refusedBefore = cluster.metric(1, "requests_refused_total");
    cluster.host(1).process->signal(SIGTERM);
    CHECK(eventually([&] { return !cluster.ready(1); }, 1));
    CHECK(eventually(
        [&] {
            const auto addresses = cluster.resolve(1);
            return std::find(addresses.begin(), addresses.end(), cluster.host(1).callers)
                == addresses.end();
        },
        1));
    cluster.host(1).process->signal(SIGTERM);
    const int before = senders[0]->answered();
    CHECK(eventually([&] { return senders[0]->answered() > before + 1; }, 2));
    CHECK(cluster.host(1).process->wait(6) == 0);
    int refused = 0;
    for (const auto &it : senders) {
        auto statuses = it->finish();
        refused += statuses[503];
        statuses.erase(503);
        CHECK(statuses.size() == 1);
        CHECK(statuses.begin()->first == 200);
        CHECK(it->interrupted() == 0);
    }
    CHECK(refused == refusedBefore);
}

TEST_CASE("callers that stay until a host is gone are not cut by its planned stop",
          "[process][routes]")
{
    RoutedCluster cluster(1);
    // The proxy stands for the network: a request reaches the host a little after its connection.
    soak::FaultProxy proxy(0, cluster.host(0).callers);
    proxy.setDelay(1);
    cluster.host(0).callers = proxy.address();
    std::vector<std::unique_ptr<RequestLoad>> senders;
    for (int i = 0; i < 12; ++i)
        senders.push_back(std::make_unique<RequestLoad>(cluster, 0, "/one/x"));
    for (const auto &it : senders)
        REQUIRE(eventually([&] { return it->answered() > 1; }));
    cluster.host(0).process->signal(SIGTERM);
    CHECK(cluster.host(0).process->wait(6) == 0);
    for (const auto &it : senders) {
        it->finish();
        CHECK(it->interrupted() == 0);
    }
}

TEST_CASE("requests late in the grace period of a planned stop are answered or refused, not cut",
          "[process][routes]")
{
    RoutedCluster cluster(1);
    auto spec = RoutedCluster::configuration(2);
    for (auto &it : spec["routes"])
        it["timeout_ms"] = 15000;
    cluster.applyConfiguration(spec);
    REQUIRE(eventually([&] { return cluster.metric(0, "configuration_version") == 2; }));
    // Longer than the grace period.
    cluster.setBackends({{"service", "single"}, {"work_ms", 8000}});
    cluster.host(0).process->signal(SIGTERM);
    struct Sent
    {
        std::string id;
        TransferResult result;
        std::thread thread;
    };
    std::vector<std::unique_ptr<Sent>> all;
    for (int i = 0; i < 24; ++i) {
        all.push_back(std::make_unique<Sent>());
        auto &it = *all.back();
        it.id = "late" + std::to_string(i);
        it.thread = std::thread([&cluster, &it, path = i % 2 == 0 ? "/one/x" : "/claim/x"] {
            it.result = cluster.sendRequest(0, path, it.id, "GET", {}, 12000);
        });
        std::this_thread::sleep_for(std::chrono::milliseconds(180));
    }
    CHECK(cluster.host(0).process->wait(6) == 0);
    for (const auto &it : all)
        it->thread.join();
    const auto runs = cluster.runs();
    int answered = 0;
    for (const auto &it : all) {
        CAPTURE(it->id, it->result.status, cluster.host(0).process->output());
        // After the drain, new connections are not accepted.
        const bool notReached = it->result.outcome == TransferOutcome::NotReached;
        const bool complete = it->result.outcome == TransferOutcome::Answered;
        CHECK((notReached || complete));
        answered += complete ? 1 : 0;
        if (it->result.status == 503)
            CHECK(runsOfId(runs, it->id) == 0);
    }
    CHECK(answered >= 10);
}

TEST_CASE("changed settings are reloaded without interrupting requests, with and without a signal",
          "[process][routes]")
{
    RoutedCluster cluster(1);
    RequestLoad sender(cluster, 0, "/one/x");
    const auto path = cluster.host(0).settingsPath;
    const auto text = readFile(path);
    const auto reloads = [&] {
        const auto output = cluster.host(0).process->output();
        int n = 0;
        for (auto at = output.find("settings reloaded"); at != std::string::npos;
             at = output.find("settings reloaded", at + 1))
            ++n;
        return n;
    };
    cluster.host(0).process->signal(SIGHUP);
    CHECK(eventually([&] { return reloads() == 1; }, 2));
    writeFile(path, text + "# changed\n");
    CHECK(eventually([&] { return reloads() == 2; }, 6));
    writeFile(path, "nonsense");
    CHECK(eventually(
        [&] {
            return cluster.host(0).process->output().find("the old ones stay") != std::string::npos;
        },
        6));
    const auto statuses = sender.finish();
    CHECK(statuses.size() == 1);
    CHECK(statuses.begin()->first == 200);
    CHECK(sender.interrupted() == 0);
}

TEST_CASE("a starting host is ready once it knows its servers and rejects requests until then",
          "[process][routes]")
{
    RoutedCluster cluster(1);
    cluster.host(0).process->signal(SIGKILL);
    cluster.host(0).process->wait();
    // The list of servers takes ten pages of 120 ms each, so that the host has the configuration
    // long before it has all servers.
    cluster.setPlatform({{"page_size", 2}, {"slow_ms", 120}});
    cluster.start(0);
    int early = 0;
    const bool ready = eventually(
        [&] {
            const bool isReady = cluster.ready(0);
            const auto result = cluster.sendRequest(0, "/all/x", "e" + std::to_string(early++));
            CAPTURE(result.status);
            // Until then requests are rejected as not executed.
            CHECK((result.status == 200 || result.status == 503));
            return isReady;
        },
        10);
    CHECK(ready);
    CHECK(early > 3);
    const auto result = cluster.sendRequest(0, "/all/x", "after");
    CHECK(result.status == 200);
    CHECK(headerOf(result, "x-missing-parts") == "0");
}
