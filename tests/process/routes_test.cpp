#include "callers.h"
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

// Sends requests to one host from a thread until it is told to stop, and keeps what came back.
class Sender
{
public:
    Sender(const RoutedCluster &cluster, std::size_t host, std::string path)
        : m_thread([this, &cluster, host, path = std::move(path)] {
              for (int i = 0; !m_stop; ++i) {
                  const auto id = "h" + std::to_string(host) + "-" + std::to_string(i);
                  const auto result = cluster.ask(host, path, id);
                  const std::lock_guard lock(m_mutex);
                  if (result.outcome != TransferOutcome::Answered)
                      ++(result.outcome == TransferOutcome::NotReached ? m_notReached : m_cut);
                  else
                      ++m_statuses[result.status];
              }
          })
    { }
    ~Sender() { finish(); }

    // Requests that were sent and got no whole answer. Call after finish().
    int cut() const { return m_cut; }

    // Returns how often each status came.
    std::map<int, int> finish()
    {
        m_stop = true;
        if (m_thread.joinable())
            m_thread.join();
        return m_statuses;
    }

    int answered()
    {
        const std::lock_guard lock(m_mutex);
        return m_statuses[200];
    }

private:
    std::atomic<bool> m_stop{false};
    std::mutex m_mutex;
    std::map<int, int> m_statuses;
    int m_notReached = 0;
    int m_cut = 0;
    std::thread m_thread;
};

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

TEST_CASE("routes are served with the servers' proofs", "[process][routes]")
{
    RoutedCluster cluster;
    const auto all = cluster.ask(0, "/all/x?q=1", "r1");
    CHECK(all.status == 200);
    CHECK(all.body == "5-shard2........5-shard1........5-shard0........4-shard2........");
    CHECK(headerOf(all, "x-missing-parts") == "0");
    const auto proofs = headerOf(all, "x-part-stamps");
    for (const char *it : {"i-shard0-", "i-shard1-", "i-shard2-"})
        CHECK(proofs.find(it) != std::string::npos);
    const auto one = cluster.ask(1, "/one/x?q=1", "r2", "POST", "body");
    CHECK(one.status == 200);
    CHECK(one.body == "/one/x?q=1 body by single");
    CHECK(headerOf(one, "x-server-stamp").find(".r2") != std::string::npos);
    CHECK(headerOf(one, "x-request-id") == "r2");
    CHECK(cluster.ask(2, "/none/x", "r3").status == 404);
    for (int i = 0; i < 40; ++i)
        CHECK(cluster.ask(0, "/split/x", "s" + std::to_string(i)).status == 200);
    const auto runs = cluster.runs();
    CHECK(runsOf(runs, "left") == 30);
    CHECK(runsOf(runs, "right") == 10);
    // The only host of the caller's zone, and one more for the case that it is dead.
    const auto addresses = cluster.resolve(0);
    REQUIRE(addresses.size() == 2);
    CHECK(addresses[0] == cluster.host(0).callers);
    CHECK((addresses[1] == cluster.host(1).callers || addresses[1] == cluster.host(2).callers));
    CHECK(cluster.metric(0, "requests_total") >= 41);
}

TEST_CASE("a request that must not be repeated runs at most once whatever the server does",
          "[process][routes]")
{
    RoutedCluster cluster(1);
    int number = 0;
    for (const char *mode : {"late-shed", "lose", "hang", "garble", "fail", "shed"}) {
        cluster.setBackends({{"service", "single"}, {"mode", mode}});
        // Servers rest after failures; each mode is met by all of them.
        std::this_thread::sleep_for(std::chrono::milliseconds(1200));
        int ranInMode = 0;
        for (int i = 0; i < 4; ++i) {
            const auto id = "claim-" + std::to_string(number++);
            const auto result = cluster.ask(0, "/claim/x", id, "POST", "b", 400);
            CAPTURE(mode, result.status);
            const auto ran = runsOfId(cluster.runs(), id);
            ranInMode += ran;
            CHECK(ran <= 1);
            // These statuses promise that the request did not run.
            const bool promised = result.status == 503 || result.status == 429
                || result.status == 408 || result.status == 421;
            CHECK((!promised || ran == 0));
            CHECK(
                (ran == 0 || result.status == 502 || result.status == 504 || result.status == 500));
        }
        CAPTURE(mode);
        CHECK((ranInMode > 0) == (std::string(mode) != "shed"));
    }
    cluster.setBackends({{"service", "single"}, {"mode", "shed"}});
    const auto refused = cluster.ask(0, "/claim/x", "refused", "POST", "b", 400);
    CHECK(refused.status == 503);
    CHECK(!headerOf(refused, "retry-after").empty());
}

TEST_CASE("a fan-out leaves out a lost shard and says so, and fails if too few are left",
          "[process][routes]")
{
    RoutedCluster cluster(1);
    cluster.setBackends({{"service", "shard1"}, {"mode", "hang"}});
    auto result = cluster.ask(0, "/all/x", "r1");
    CHECK(result.status == 200);
    CHECK(headerOf(result, "x-missing-parts") == "1");
    CHECK(headerOf(result, "x-part-stamps").find("shard1") == std::string::npos);
    cluster.setBackends({{"service", "shard2"}, {"mode", "hang"}});
    result = cluster.ask(0, "/all/x", "r2", "GET", "", 600);
    CHECK(result.status == 504);
}

TEST_CASE("an accepted configuration is in force on every host, and is kept without the store",
          "[process][routes]")
{
    RoutedCluster cluster;
    auto next = RoutedCluster::configuration(5);
    next["routes"][1]["service"] = "left";
    cluster.applyConfiguration(next);
    const auto inForce = [&](std::size_t n, const std::string &by) {
        const auto result = cluster.ask(n, "/one/x", "c" + std::to_string(n));
        return result.body.ends_with("by " + by);
    };
    for (std::size_t n = 0; n < 3; ++n)
        CHECK(eventually([&] { return inForce(n, "left"); }, 3));
    SECTION("an older version is not taken")
    {
        cluster.applyConfiguration(RoutedCluster::configuration(4));
        std::this_thread::sleep_for(std::chrono::milliseconds(500));
        for (std::size_t n = 0; n < 3; ++n)
            CHECK(inForce(n, "left"));
    }
    SECTION("a malformed one is refused and the last one stays")
    {
        auto broken = RoutedCluster::configuration(9);
        broken["routes"][0].erase("host");
        cluster.applyConfiguration(broken);
        CHECK(eventually(
            [&] { return cluster.host(0).process->output().find("5030") != std::string::npos; }));
        CHECK(inForce(0, "left"));
    }
    SECTION("a host that restarts while the store is away gets both copies from the others")
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
    SECTION("a store that forgot its history is listed again")
    {
        cluster.setPlatform({{"forget", true}});
        next["version"] = 7;
        next["routes"][1]["service"] = "right";
        cluster.applyConfiguration(next);
        for (std::size_t n = 0; n < 3; ++n)
            CHECK(eventually([&] { return inForce(n, "right"); }, 3));
    }
}

TEST_CASE("a server that drains or leaves the list gets no new work within 3 s",
          "[process][routes]")
{
    RoutedCluster cluster(2);
    Sender first(cluster, 0, "/one/x");
    Sender second(cluster, 1, "/one/x");
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
        CHECK(it->cut() == 0);
    }
}

TEST_CASE("a planned stop cuts no request and takes the host out at once", "[process][routes]")
{
    RoutedCluster cluster;
    // Long requests, so that some are open whenever the host might end.
    cluster.setBackends({{"service", "single"}, {"work_ms", 350}});
    std::vector<std::unique_ptr<Sender>> senders;
    for (int i = 0; i < 4; ++i)
        senders.push_back(std::make_unique<Sender>(cluster, 1, "/one/x"));
    REQUIRE(eventually([&] { return senders[0]->answered() > 1; }));
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
    for (const auto &it : senders) {
        const auto statuses = it->finish();
        CHECK(statuses.size() == 1);
        CHECK(statuses.begin()->first == 200);
        CHECK(it->cut() == 0);
    }
}

TEST_CASE("changed settings are taken without a cut, with and without a signal",
          "[process][routes]")
{
    RoutedCluster cluster(1);
    Sender sender(cluster, 0, "/one/x");
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
    CHECK(sender.cut() == 0);
}

TEST_CASE("a host that starts is ready when it knows its servers and fails nothing before",
          "[process][routes]")
{
    RoutedCluster cluster(1);
    cluster.host(0).process->signal(SIGKILL);
    cluster.host(0).process->wait();
    // The list of servers takes ten pages, so that the configuration is known long before it.
    cluster.setPlatform({{"page_size", 2}, {"slow_ms", 120}});
    cluster.start(0);
    int early = 0;
    const bool ready = eventually(
        [&] {
            const bool isReady = cluster.ready(0);
            const auto result = cluster.ask(0, "/all/x", "e" + std::to_string(early++));
            CAPTURE(result.status);
            // Nothing ran, and that is what callers are told.
            CHECK((result.status == 200 || result.status == 503));
            return isReady;
        },
        10);
    CHECK(ready);
    CHECK(early > 3);
    const auto result = cluster.ask(0, "/all/x", "after");
    CHECK(result.status == 200);
    CHECK(headerOf(result, "x-missing-parts") == "0");
}
