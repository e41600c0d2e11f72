#include "core/hash.h"
#include "routed_cluster.h"

#include <atomic>
#include <catch2/catch.hpp>
#include <csignal>
#include <iostream>
#include <mutex>
#include <set>
#include <thread>

using namespace harness;
using Clock = std::chrono::steady_clock;
using namespace std::chrono_literals;

namespace {

// Sends requests of one workspace to hosts in turn, at a constant rate, from threads.
class WorkspaceLoad
{
public:
    WorkspaceLoad(const RoutedCluster &cluster, const std::string &workspace, double perSecond)
        : m_dead(cluster.size())
    {
        const auto interval = std::chrono::duration_cast<Clock::duration>(
            std::chrono::duration<double>(threads / perSecond));
        for (int i = 0; i < threads; ++i) {
            m_threads.emplace_back([this, &cluster, workspace, interval, i] {
                auto next = Clock::now() + interval * i / threads;
                for (int k = i; !m_stop; k += threads, next += interval) {
                    std::this_thread::sleep_until(next);
                    send(cluster, workspace, k);
                }
            });
        }
    }
    ~WorkspaceLoad() { finish(); }

    void finish()
    {
        m_stop = true;
        for (auto &it : m_threads) {
            if (it.joinable())
                it.join();
        }
    }
    // No requests are sent to a dead host.
    void setDead(std::size_t host, bool dead) { m_dead[host] = dead; }

    std::atomic<int> served{0};
    std::atomic<int> refused{0};
    std::atomic<int> failed{0};
    std::atomic<bool> allHaveRetryAfter{true};

private:
    static constexpr int threads = 6;

    void send(const RoutedCluster &cluster, const std::string &workspace, int k)
    {
        auto host = static_cast<std::size_t>(k) % cluster.size();
        if (m_dead[host])
            host = (host + 1) % cluster.size();
        const auto result =
            cluster.sendRequest(host, "/one/x", workspace + "-" + std::to_string(k), "GET", {},
                                2000, {"Authorization: Token key-of-" + workspace});
        if (result.outcome != TransferOutcome::Answered)
            return;
        if (result.status == 200) {
            ++served;
        } else if (result.status == 429) {
            ++refused;
            if (result.headers.count("retry-after") == 0)
                allHaveRetryAfter = false;
        } else {
            ++failed;
        }
    }

    std::atomic<bool> m_stop{false};
    std::vector<std::atomic<bool>> m_dead;
    std::vector<std::thread> m_threads;
};

// Counts the requests of a workspace that servers executed, each once.
std::size_t executed(const RoutedCluster &cluster, const std::string &workspace)
{
    std::set<std::string> ids;
    const auto runs = cluster.runs();
    for (const auto &server : runs) {
        for (const auto &it : server.at("ids").items()) {
            if (it.key().rfind(workspace + "-", 0) == 0)
                ids.insert(it.key());
        }
    }
    return ids.size();
}

} // namespace

// Guards against hosts that lend too little while they learn of each other.
TEST_CASE("a workspace within its quota is served as soon as the hosts have its configuration",
          "[process][quota]")
{
    RoutedCluster cluster;
    auto configuration = RoutedCluster::configuration(2);
    configuration["tenants"] = json::array(
        {{{"name", "modest"}, {"api_keys", {"key-of-modest"}}, {"rate_per_s", 10}, {"burst", 10}}});
    cluster.applyConfiguration(configuration);
    REQUIRE(eventually([&] {
        for (std::size_t i = 0; i < cluster.size(); ++i) {
            if (cluster.metric(i, "configuration_version") != 2)
                return false;
        }
        return true;
    }));
    WorkspaceLoad modest(cluster, "modest", 5);
    std::this_thread::sleep_for(3s);
    modest.finish();
    CHECK(modest.served > 0);
    CHECK(modest.refused == 0);
}

TEST_CASE("a workspace stays within its quota over three hosts when its lender is killed",
          "[process][quota]")
{
    constexpr double rate = 20;
    constexpr double burst = 10;
    constexpr double bound = (rate * 5 + burst) * 1.1 + 20;
    RoutedCluster cluster;
    auto configuration = RoutedCluster::configuration(2);
    const auto workspace = [burst](const std::string &name, double perSecond) {
        return json{{"name", name},
                    {"api_keys", {"key-of-" + name}},
                    {"rate_per_s", perSecond},
                    {"burst", burst}};
    };
    configuration["tenants"] = json::array({workspace("greedy", rate), workspace("modest", 10)});
    cluster.applyConfiguration(configuration);
    REQUIRE(eventually([&] {
        for (std::size_t i = 0; i < cluster.size(); ++i) {
            if (cluster.metric(i, "configuration_version") != 2)
                return false;
        }
        return true;
    }));
    std::size_t lender = 0;
    for (std::size_t i = 1; i < cluster.size(); ++i) {
        const auto weight = [&](std::size_t n) {
            return goldcrestline::core::rendezvousWeight(cluster.host(n).name, "greedy");
        };
        if (weight(i) > weight(lender))
            lender = i;
    }

    // For 1.5 s after its start, a host counts as one of `hosts_at_most` (12) and lends only its
    // part.
    std::this_thread::sleep_for(1500ms);
    WorkspaceLoad greedy(cluster, "greedy", 5 * rate);
    WorkspaceLoad modest(cluster, "modest", 5);
    const auto start = Clock::now();
    std::vector<std::pair<Clock::time_point, std::size_t>> counts;
    std::size_t worst = 0;
    bool killed = false;
    while (Clock::now() - start < 18s) {
        std::this_thread::sleep_for(50ms);
        const auto before = Clock::now();
        const auto n = executed(cluster, "greedy");
        // The window is at most as long as the quota's.
        for (const auto &it : counts) {
            if (Clock::now() - it.first <= 5s)
                worst = std::max(worst, n - it.second);
        }
        counts.emplace_back(before, n);
        if (!killed && Clock::now() - start > 7s) {
            killed = true;
            // With all hosts, none of its requests is refused.
            CHECK(modest.refused == 0);
            for (auto *it : {&greedy, &modest})
                it->setDead(lender, true);
            cluster.host(lender).process->signal(SIGKILL);
        }
    }
    greedy.finish();
    modest.finish();
    std::cout << "most executed in 5 s: " << worst << " of " << bound << ", greedy served "
              << greedy.served << " refused " << greedy.refused << ", modest served "
              << modest.served << " refused " << modest.refused << " failed " << modest.failed
              << '\n';
    CHECK(static_cast<double>(worst) <= bound);
    // The quota is also used, although the lender was lost.
    CHECK(greedy.served >= 0.6 * rate * 18);
    CHECK(greedy.refused > 0);
    CHECK(greedy.allHaveRetryAfter);
    CHECK(modest.served >= 0.95 * (modest.served + modest.refused + modest.failed));
    const auto survivor = (lender + 1) % cluster.size();
    CHECK(cluster.metric(survivor, "quota_refused_total{workspace=\"greedy\"}") > 0);
    CHECK(cluster.metric(survivor, "quota_own_share") == 0);
}
