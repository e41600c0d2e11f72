#include "request_load.h"
#include "routed_cluster.h"

#include <catch2/catch.hpp>
#include <csignal>

// Requests that crash the servers that run them and arrive again and again, at any host.

using namespace harness;
using Clock = std::chrono::steady_clock;

namespace {

// Text on which the servers of a CrashingCluster crash.
const std::string marker = "crashme";
// Time after the third crash from which the request counts, and the most often that it may reach
// servers from then on.
constexpr auto knownAfter = std::chrono::seconds(4);
constexpr int maxLaterRuns = 3;
constexpr auto observedTime = std::chrono::seconds(5);
constexpr auto arrivalInterval = std::chrono::milliseconds(70);

// Hosts and servers, and a request that crashes servers and arrives at the hosts in turn.
struct CrashingCluster
{
    RoutedCluster cluster;
    std::string path;
    std::string method;
    std::string body;
    int arrivals = 0;
    // Each arrival has another query.
    bool varyQuery = false;
    // Arrivals that were answered with a status which says that they did not run.
    int calledNotRun = 0;

    CrashingCluster(int hosts, std::string path, std::string method = "GET", std::string body = {})
        : cluster(hosts), path(std::move(path)), method(std::move(method)), body(std::move(body))
    {
        for (const char *it : {"single", "shard0", "shard1", "shard2"})
            cluster.setBackends({{"service", it}, {"crash_on", marker}, {"down_s", 1.0}});
    }

    int crashes() const
    {
        int n = 0;
        for (const auto &it : cluster.runs())
            n += it.at("crashes").get<int>();
        return n;
    }

    // How often servers began to run arrivals of the request.
    int runs() const
    {
        int n = 0;
        for (const auto &server : cluster.runs()) {
            for (const auto &it : server.at("ids").items())
                n += it.key().starts_with("bad-") ? it.value().get<int>() : 0;
        }
        return n;
    }

    void arriveAt(std::size_t host)
    {
        const auto id = "bad-" + std::to_string(arrivals++);
        const auto target = varyQuery ? path + "?n=" + std::to_string(arrivals) : path;
        const auto result = cluster.sendRequest(host, target, id, method, body);
        CHECK(result.status != 200);
        calledNotRun += result.status == 503 || result.status == 429 ? 1 : 0;
    }

    void arriveFor(std::chrono::steady_clock::duration time)
    {
        const auto end = Clock::now() + time;
        while (Clock::now() < end) {
            arriveAt(static_cast<std::size_t>(arrivals) % cluster.size());
            std::this_thread::sleep_for(arrivalInterval);
        }
    }

    void arriveUntilThirdCrash()
    {
        const auto end = Clock::now() + std::chrono::seconds(10);
        while (crashes() < 3 && Clock::now() < end)
            arriveFor(arrivalInterval);
        REQUIRE(crashes() >= 3);
    }
};

// Sends the request until the time after which few more runs are allowed, and checks these.
void checkFewRuns(CrashingCluster &crashing)
{
    // One caller that repeats a request, so that it runs at servers as they crash.
    RequestLoad harmless(crashing.cluster, 0, "/one/x");
    crashing.arriveUntilThirdCrash();
    crashing.arriveFor(knownAfter);
    const int before = crashing.runs();
    const int notServed = harmless.notServed();
    const int served = harmless.answered();
    crashing.calledNotRun = 0;
    crashing.arriveFor(observedTime);
    CHECK(crashing.runs() - before <= maxLaterRuns);
    // The earlier arrivals have run.
    CHECK(crashing.calledNotRun == 0);
    CHECK(harmless.notServed() == notServed);
    CHECK(harmless.answered() > served + 100);
    harmless.finish();
}

} // namespace

TEST_CASE("a request that crashed three servers reaches at most three more from any host",
          "[process][routes]")
{
    CrashingCluster crashing(3, "/one/" + marker);
    checkFewRuns(crashing);
}

TEST_CASE("a request that may not run twice and crashed three servers reaches at most three more",
          "[process][routes]")
{
    CrashingCluster crashing(3, "/claim/x", "POST", "claim " + marker);
    checkFewRuns(crashing);
}

TEST_CASE("a request that crashed three servers with changing queries reaches at most three more",
          "[process][routes]")
{
    CrashingCluster crashing(3, "/one/" + marker);
    crashing.varyQuery = true;
    checkFewRuns(crashing);
}

TEST_CASE("a fanned-out request that crashed three servers reaches at most three more",
          "[process][routes]")
{
    CrashingCluster crashing(3, "/all/" + marker);
    checkFewRuns(crashing);
}

TEST_CASE(
    "a fanned-out request that crashed its servers is tried at one more, also by another host",
    "[process][routes]")
{
    CrashingCluster crashing(3, "/all/" + marker);
    constexpr int shards = 3;
    crashing.arriveAt(0);
    CHECK(crashing.crashes() <= shards + 1);
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    crashing.arriveAt(1);
    crashing.arriveAt(2);
    CHECK(crashing.crashes() <= shards + 3);
}

// Guards against a first arrival that ends more servers than it has shards, and against a record
// that is full of its crashes and hides the later ones. Both need more shards than a record has
// places.
TEST_CASE("a fan-out that crashes all servers of many shards is blocked after its first arrival",
          "[process][routes]")
{
    constexpr int shards = 18;
    CrashingCluster crashing(3, "/wide/" + marker);
    auto &cluster = crashing.cluster;
    json spec;
    auto configuration = RoutedCluster::configuration(2);
    auto wide = configuration["routes"][0];
    wide.update({{"name", "wide"}, {"path_prefix", "/wide/"}, {"fanout_services", json::array()}});
    for (int i = 0; i < shards; ++i) {
        const auto name = "wide" + std::to_string(i);
        spec["services"][name] = json::object();
        wide["fanout_services"].push_back(name);
        configuration["services"].push_back(
            {{"name", name}, {"health_path", "/health"}, {"max_connections", 64}});
    }
    configuration["routes"].push_back(wide);
    const auto path = scratchFolder() + "/wide.json";
    writeFile(path, spec.dump());
    Process farm(std::vector<std::string>{programPath("tests/standins"), "--backends", path,
                                          "--store", cluster.platformAddress()});
    const auto address = "127.0.0.1:" + farm.waitForLine("ready ");
    cluster.applyConfiguration(configuration);
    REQUIRE(post(address + "/admin/set",
                 json{{"crash_on", marker}, {"down_s", 1.0}, {"service", "wide0"}}.dump())
                .status
            == 200);
    for (int i = 1; i < shards; ++i) {
        post(address + "/admin/set",
             json{{"crash_on", marker}, {"down_s", 1.0}, {"service", "wide" + std::to_string(i)}}
                 .dump());
    }
    for (std::size_t n = 0; n < cluster.size(); ++n) {
        REQUIRE(eventually([&] {
            return cluster.sendRequest(n, "/wide/x", "good-" + std::to_string(n)).status == 200;
        }));
    }
    const auto crashes = [&] {
        int n = 0;
        for (const auto &it : parsed(get(address + "/admin/runs")))
            n += it.at("crashes").get<int>();
        return n;
    };
    REQUIRE(crashes() == 0);
    crashing.arriveAt(0);
    CHECK(crashes() >= shards);
    CHECK(crashes() <= shards + 1);
    crashing.arriveFor(knownAfter);
    const int known = crashes();
    CHECK(known <= shards + 1 + maxLaterRuns);
    crashing.arriveFor(observedTime);
    CHECK(crashes() == known);
    // Another request that crashes servers is blocked as well.
    crashing.path = "/wide/other-" + marker;
    crashing.arriveFor(knownAfter);
    CHECK(crashes() <= known + shards + 1 + maxLaterRuns);
}

// Guards against crashes that the answers of other shards refute each time.
TEST_CASE("a fanned-out request that crashes the servers of one shard reaches at most three more",
          "[process][routes]")
{
    CrashingCluster crashing(3, "/all/" + marker);
    for (const char *it : {"single", "shard1", "shard2"})
        crashing.cluster.setBackends({{"service", it}, {"crash_on", ""}});
    const auto arriveFor = [&](std::chrono::steady_clock::duration time) {
        const auto end = Clock::now() + time;
        for (int n = 0; Clock::now() < end; ++n) {
            crashing.cluster.sendRequest(static_cast<std::size_t>(n) % crashing.cluster.size(),
                                         crashing.path,
                                         "bad-" + std::to_string(crashing.arrivals++));
            std::this_thread::sleep_for(arrivalInterval);
        }
    };
    arriveFor(knownAfter);
    REQUIRE(crashing.crashes() >= 2);
    const int before = crashing.crashes();
    arriveFor(observedTime);
    CHECK(crashing.crashes() - before <= maxLaterRuns);
}

TEST_CASE("a crashing fanned-out request is found while most other servers are down",
          "[process][routes]")
{
    CrashingCluster crashing(3, "/all/" + marker);
    for (const char *it : {"single", "left", "right"})
        crashing.cluster.setBackends({{"service", it}, {"down_s", 60.0}, {"crash", true}});
    const int before = crashing.crashes();
    const auto end = Clock::now() + std::chrono::seconds(10);
    while (crashing.crashes() < before + 3 && Clock::now() < end)
        crashing.arriveFor(arrivalInterval);
    crashing.arriveFor(knownAfter);
    const int runs = crashing.runs();
    crashing.arriveFor(observedTime);
    CHECK(crashing.runs() - runs <= maxLaterRuns);
}

TEST_CASE("a host that starts learns from its peers which requests crash servers",
          "[process][routes]")
{
    CrashingCluster crashing(3, "/one/" + marker);
    crashing.arriveUntilThirdCrash();
    crashing.arriveFor(knownAfter);
    crashing.cluster.host(1).process->signal(SIGKILL);
    crashing.cluster.host(1).process->wait();
    crashing.cluster.start(1);
    REQUIRE(eventually([&] { return crashing.cluster.ready(1); }));
    std::this_thread::sleep_for(knownAfter);
    const int before = crashing.runs();
    for (int i = 0; i < 5; ++i)
        crashing.arriveAt(1);
    CHECK(crashing.runs() == before);
}

TEST_CASE("requests that run at servers which end for another reason are served again",
          "[process][routes]")
{
    RoutedCluster cluster(3);
    std::vector<std::unique_ptr<RequestLoad>> loads;
    for (std::size_t n = 0; n < cluster.size(); ++n) {
        loads.push_back(std::make_unique<RequestLoad>(cluster, n, "/one/x"));
        loads.push_back(std::make_unique<RequestLoad>(cluster, n, "/all/x"));
    }
    const auto crashAll = [&] {
        for (const char *it : {"single", "shard0", "shard1", "shard2"})
            cluster.setBackends({{"service", it}, {"crash", true}});
    };
    // All servers together, and then each one in turn while the others serve.
    for (int i = 0; i < 3; ++i) {
        crashAll();
        std::this_thread::sleep_for(std::chrono::milliseconds(1500));
    }
    for (int i = 0; i < 8; ++i) {
        cluster.setBackends({{"id", "i-single-" + std::to_string(i % 4)}, {"crash", true}});
        std::this_thread::sleep_for(std::chrono::milliseconds(700));
    }
    std::this_thread::sleep_for(std::chrono::seconds(3));
    for (std::size_t n = 0; n < cluster.size(); ++n) {
        CHECK(cluster.metric(n, "quarantine_blocked") == 0);
        CHECK(cluster.metric(n, "requests_blocked_total") == 0);
    }
    for (const auto &it : loads) {
        const int notServed = it->notServed();
        const int served = it->answered();
        REQUIRE(eventually([&] { return it->answered() > served + 50; }));
        CHECK(it->notServed() == notServed);
    }
}
