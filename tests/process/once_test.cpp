#include "callers.h"

#include <catch2/catch.hpp>
#include <csignal>
#include <random>

using namespace harness;

namespace {

const std::string service = "claims-desk";

std::string classOf(const TransferResult &result)
{
    const auto answer = parsed(result);
    return answer.is_null() ? "none" : answer.value("class", "none");
}

// What one caller was told about a key, over all its tries.
struct KeyHistory
{
    std::string key;
    std::vector<std::string> classes;
};

// Checks each key: at most one run, a done key ran once, and a key refused to the end never ran.
struct OnceReport
{
    int doubled = 0;
    int falseDone = 0;
    int falseRefusal = 0;
    int done = 0;
};

OnceReport checkHistory(const std::vector<KeyHistory> &history, std::map<std::string, int> runs)
{
    OnceReport report;
    for (const auto &it : history) {
        const int ran = runs[it.key];
        report.doubled += ran > 1 ? 1 : 0;
        bool done = false;
        bool unknown = false;
        for (const auto &resultClass : it.classes) {
            done |= resultClass == "done";
            unknown |= resultClass != "done" && resultClass != "refused, not run";
        }
        report.done += done ? 1 : 0;
        report.falseDone += done && ran != 1 ? 1 : 0;
        report.falseRefusal += !done && !unknown && ran > 0 ? 1 : 0;
    }
    return report;
}

// Callers that file claims and try each up to four times at different hosts.
class Claimants
{
public:
    Claimants(Cluster &cluster, int threads, bool ownedKeys)
        : m_cluster(cluster), m_ownedKeys(ownedKeys)
    {
        for (int i = 0; i < threads; ++i)
            m_threads.emplace_back([this, i] { work(i); });
    }
    ~Claimants() { finish(); }

    std::vector<KeyHistory> finish()
    {
        m_stop = true;
        for (auto &it : m_threads)
            it.join();
        m_threads.clear();
        return m_history;
    }

    int claims() const { return m_claims; }

private:
    void work(int number)
    {
        std::mt19937 random(static_cast<unsigned>(number));
        for (int n = 0; !m_stop; ++n) {
            KeyHistory it;
            it.key = m_ownedKeys ? m_cluster.key(random() % m_cluster.size())
                                 : "own-" + std::to_string(number) + "-" + std::to_string(n);
            if (it.key.empty())
                continue;
            const auto body = "{\"claim\":\"" + it.key + "\"}";
            for (int attempt = 0; attempt < 4; ++attempt) {
                const auto result =
                    m_cluster.request(random() % m_cluster.size(), service, it.key, body, 400);
                // A refused connection carried nothing, so it proves nothing about the key.
                if (result.outcome == TransferOutcome::NotReached)
                    continue;
                it.classes.push_back(classOf(result));
                if (it.classes.back() == "done" && random() % 4 != 0)
                    break;
            }
            ++m_claims;
            const std::lock_guard lock(m_mutex);
            m_history.push_back(std::move(it));
        }
    }

    Cluster &m_cluster;
    bool m_ownedKeys;
    std::atomic<bool> m_stop{false};
    std::atomic<int> m_claims{0};
    std::mutex m_mutex;
    std::vector<KeyHistory> m_history;
    std::vector<std::thread> m_threads;
};

void expectOnce(Cluster &cluster, Claimants &claimants)
{
    const auto history = claimants.finish();
    auto runs = cluster.executions(service);
    // Servers see the callers' own keys as they were given.
    const auto report = checkHistory(history, runs);
    std::cout << "claims " << history.size() << " done " << report.done << '\n';
    CHECK(report.doubled == 0);
    CHECK(report.falseDone == 0);
    CHECK(report.falseRefusal == 0);
    CHECK(report.done > 0);
}

} // namespace

TEST_CASE("the once checker rejects bad histories", "[once]")
{
    CHECK(checkHistory({{"k", {"done"}}}, {{"k", 2}}).doubled == 1);
    CHECK(checkHistory({{"k", {"done"}}}, {}).falseDone == 1);
    CHECK(checkHistory({{"k", {"refused, not run"}}}, {{"k", 1}}).falseRefusal == 1);
    CHECK(checkHistory({{"k", {"outcome unknown", "refused, not run"}}}, {{"k", 1}}).falseRefusal
          == 0);
}

TEST_CASE("claims run at most once while servers lose answers", "[process][once]")
{
    Cluster cluster({});
    for (const bool ownedKeys : {true, false}) {
        cluster.setServers({{"service", service}}, {{"lose_answer_share", 0.2}});
        Claimants claimants(cluster, 6, ownedKeys);
        REQUIRE(eventually([&] { return claimants.claims() > 300; }, 60));
        expectOnce(cluster, claimants);
    }
}

TEST_CASE("claims run at most once through kills and freezes of hosts", "[process][once]")
{
    Cluster cluster({});
    for (const bool ownedKeys : {true, false}) {
        Claimants claimants(cluster, 6, ownedKeys);
        for (const std::size_t n : {0, 1, 2}) {
            const int before = claimants.claims();
            cluster.host(n).process->signal(SIGSTOP);
            std::this_thread::sleep_for(std::chrono::seconds(4));
            cluster.host(n).process->signal(SIGCONT);
            REQUIRE(eventually([&] { return claimants.claims() > before + 20; }));
            cluster.host(n).process->signal(SIGKILL);
            cluster.host(n).process->wait();
            cluster.start(n);
        }
        REQUIRE(cluster.waitServing({0, 1, 2}, 3));
        expectOnce(cluster, claimants);
    }
}

TEST_CASE("owned keys work through an outage, own keys are refused unrun", "[process][once]")
{
    Cluster cluster({});
    const auto key = cluster.key(0);
    cluster.setPlatform({{"mode", "refuse"}});
    CHECK(classOf(cluster.request(1, service, key)) == "done");
    CHECK(classOf(cluster.request(2, service, key)) == "done");
    const auto refused = cluster.request(0, service, "my-order-1");
    CHECK(parsed(refused).at("code") == 2033);
    CHECK(cluster.executions(service).count("my-order-1") == 0);
    cluster.setPlatform({{"mode", "up"}});
    CHECK(classOf(cluster.request(1, service, "my-order-1")) == "done");
    CHECK(cluster.executions(service)["my-order-1"] == 1);
    CHECK(cluster.executions(service)[key] == 1);
}

TEST_CASE("lost answers of the platform never run a claim twice", "[process][once]")
{
    Cluster cluster({});
    cluster.setPlatform({{"lose_share", 0.5}});
    Claimants claimants(cluster, 6, false);
    REQUIRE(eventually([&] { return claimants.claims() > 200; }, 60));
    expectOnce(cluster, claimants);
}

TEST_CASE("a key with another body or customer is refused", "[process][once]")
{
    auto shape = ClusterShape{};
    auto lists = json::parse(smallLists());
    lists["customers"]["thief"] = {{"plan", "doorstep"}};
    shape.lists = lists.dump();
    Cluster cluster(shape);
    const auto key = cluster.key(0);
    REQUIRE(classOf(cluster.request(1, service, key, "{\"n\":1}")) == "done");
    CHECK(parsed(cluster.request(2, service, key, "{\"n\":2}")).at("code") == 2030);
    CHECK(parsed(cluster.request(0, service, key, "{\"n\":1}", 1000, "thief")).at("code") == 2031);
    REQUIRE(classOf(cluster.request(1, service, "mine", "{\"n\":1}")) == "done");
    CHECK(parsed(cluster.request(2, service, "mine", "{\"n\":2}")).at("code") == 2030);
    CHECK(cluster.executions(service)[key] == 1);
}

TEST_CASE("after a planned stop the successor decides on the issuer's keys", "[process][once]")
{
    Cluster cluster({});
    const auto used = cluster.key(0);
    const auto unused = cluster.key(0);
    REQUIRE(classOf(cluster.request(1, service, used)) == "done");
    cluster.host(0).process->signal(SIGTERM);
    REQUIRE(cluster.host(0).process->wait() == 0);
    CHECK(eventually([&] { return classOf(cluster.request(1, service, unused)) == "done"; }, 5));
    CHECK(classOf(cluster.request(2, service, unused)) == "done");
    CHECK(classOf(cluster.request(2, service, used)) == "done");
    CHECK(cluster.executions(service)[used] == 1);
    CHECK(cluster.executions(service)[unused] == 1);
}

TEST_CASE("after a kill the issuer's keys end as outcome unknown", "[process][once]")
{
    Cluster cluster({});
    const auto key = cluster.key(0);
    cluster.host(0).process->signal(SIGKILL);
    CHECK(eventually(
        [&] { return parsed(cluster.request(1, service, key)).value("code", 0) == 3001; }, 10));
    CHECK(cluster.executions(service).count(key) == 0);
}
