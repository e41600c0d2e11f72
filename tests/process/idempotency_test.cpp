#include "query_load.h"

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

// Result classes that one caller received for a key, one for each attempt.
struct KeyHistory
{
    std::string key;
    std::vector<std::string> classes;
};

// Violations of at-most-once execution, in numbers of keys.
struct AtMostOnceReport
{
    // Executed more than once.
    int repeated = 0;
    // Reported as done, but not executed exactly once.
    int falseDone = 0;
    // Only reported as refused and not run, but executed.
    int falseRejection = 0;
    // Reported as done; not a violation.
    int done = 0;
};

AtMostOnceReport checkHistory(const std::vector<KeyHistory> &history,
                              std::map<std::string, int> executions)
{
    AtMostOnceReport report;
    for (const auto &it : history) {
        const int executed = executions[it.key];
        report.repeated += executed > 1 ? 1 : 0;
        bool done = false;
        bool unknown = false;
        for (const auto &resultClass : it.classes) {
            done |= resultClass == "done";
            unknown |= resultClass != "done" && resultClass != "refused, not run";
        }
        report.done += done ? 1 : 0;
        report.falseDone += done && executed != 1 ? 1 : 0;
        report.falseRejection += !done && !unknown && executed > 0 ? 1 : 0;
    }
    return report;
}

// Threads that send claims with an idempotency key each, up to four times to random hosts. The keys
// are issued by hosts or chosen by the caller.
class ClaimLoad
{
public:
    ClaimLoad(Cluster &cluster, int threads, bool issuedKeys)
        : m_cluster(cluster), m_issuedKeys(issuedKeys)
    {
        for (int i = 0; i < threads; ++i)
            m_threads.emplace_back([this, i] { run(i); });
    }
    ~ClaimLoad() { finish(); }

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
    void run(int number)
    {
        std::mt19937 random(static_cast<unsigned>(number));
        for (int n = 0; !m_stop; ++n) {
            KeyHistory it;
            it.key = m_issuedKeys ? m_cluster.issueKey(random() % m_cluster.size())
                                  : "own-" + std::to_string(number) + "-" + std::to_string(n);
            if (it.key.empty())
                continue;
            const auto body = "{\"claim\":\"" + it.key + "\"}";
            for (int attempt = 0; attempt < 4; ++attempt) {
                const auto result =
                    m_cluster.request(random() % m_cluster.size(), service, it.key, body, 400);
                // The request was not sent, so this attempt shows nothing about the key.
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
    bool m_issuedKeys;
    std::atomic<bool> m_stop{false};
    std::atomic<int> m_claims{0};
    std::mutex m_mutex;
    std::vector<KeyHistory> m_history;
    std::vector<std::thread> m_threads;
};

void expectAtMostOnce(Cluster &cluster, ClaimLoad &load)
{
    const auto history = load.finish();
    auto executions = cluster.executions(service);
    // Servers receive keys chosen by callers unchanged, so both kinds are looked up as they are.
    const auto report = checkHistory(history, executions);
    std::cout << "claims " << history.size() << " done " << report.done << '\n';
    CHECK(report.repeated == 0);
    CHECK(report.falseDone == 0);
    CHECK(report.falseRejection == 0);
    CHECK(report.done > 0);
}

} // namespace

TEST_CASE("the at-most-once check finds each kind of violation", "[once]")
{
    CHECK(checkHistory({{"k", {"done"}}}, {{"k", 2}}).repeated == 1);
    CHECK(checkHistory({{"k", {"done"}}}, {}).falseDone == 1);
    CHECK(checkHistory({{"k", {"refused, not run"}}}, {{"k", 1}}).falseRejection == 1);
    CHECK(checkHistory({{"k", {"outcome unknown", "refused, not run"}}}, {{"k", 1}}).falseRejection
          == 0);
}

TEST_CASE("claims are executed at most once while responses of servers are lost", "[process][once]")
{
    Cluster cluster({});
    for (const bool issuedKeys : {true, false}) {
        cluster.setServers({{"service", service}}, {{"lose_answer_share", 0.2}});
        ClaimLoad load(cluster, 6, issuedKeys);
        REQUIRE(eventually([&] { return load.claims() > 300; }, 60));
        expectAtMostOnce(cluster, load);
    }
}

TEST_CASE("claims are executed at most once while hosts are killed and frozen", "[process][once]")
{
    Cluster cluster({});
    for (const bool issuedKeys : {true, false}) {
        ClaimLoad load(cluster, 6, issuedKeys);
        for (const std::size_t n : {0, 1, 2}) {
            const int before = load.claims();
            cluster.host(n).process->signal(SIGSTOP);
            std::this_thread::sleep_for(std::chrono::seconds(4));
            cluster.host(n).process->signal(SIGCONT);
            REQUIRE(eventually([&] { return load.claims() > before + 20; }));
            cluster.host(n).process->signal(SIGKILL);
            cluster.host(n).process->wait();
            cluster.start(n);
        }
        REQUIRE(cluster.waitServing({0, 1, 2}, 3));
        expectAtMostOnce(cluster, load);
    }
}

TEST_CASE("in a platform outage issued keys work and keys chosen by callers are refused without "
          "execution",
          "[process][once]")
{
    Cluster cluster({});
    const auto key = cluster.issueKey(0);
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

TEST_CASE("lost responses of the platform never cause a second execution of a claim",
          "[process][once]")
{
    Cluster cluster({});
    cluster.setPlatform({{"lose_share", 0.5}});
    ClaimLoad load(cluster, 6, false);
    REQUIRE(eventually([&] { return load.claims() > 200; }, 60));
    expectAtMostOnce(cluster, load);
}

TEST_CASE("a key reused with another body or by another customer is rejected", "[process][once]")
{
    auto options = ClusterOptions{};
    auto lists = json::parse(defaultLists());
    lists["customers"]["thief"] = {{"plan", "doorstep"}};
    options.lists = lists.dump();
    Cluster cluster(options);
    const auto key = cluster.issueKey(0);
    REQUIRE(classOf(cluster.request(1, service, key, "{\"n\":1}")) == "done");
    CHECK(parsed(cluster.request(2, service, key, "{\"n\":2}")).at("code") == 2030);
    CHECK(parsed(cluster.request(0, service, key, "{\"n\":1}", 1000, "thief")).at("code") == 2031);
    REQUIRE(classOf(cluster.request(1, service, "mine", "{\"n\":1}")) == "done");
    CHECK(parsed(cluster.request(2, service, "mine", "{\"n\":2}")).at("code") == 2030);
    CHECK(cluster.executions(service)[key] == 1);
}

TEST_CASE("after a planned stop the successor of the issuer handles the keys that it issued",
          "[process][once]")
{
    Cluster cluster({});
    const auto used = cluster.issueKey(0);
    const auto unused = cluster.issueKey(0);
    REQUIRE(classOf(cluster.request(1, service, used)) == "done");
    cluster.host(0).process->signal(SIGTERM);
    REQUIRE(cluster.host(0).process->wait() == 0);
    CHECK(eventually([&] { return classOf(cluster.request(1, service, unused)) == "done"; }, 5));
    CHECK(classOf(cluster.request(2, service, unused)) == "done");
    CHECK(classOf(cluster.request(2, service, used)) == "done");
    CHECK(cluster.executions(service)[used] == 1);
    CHECK(cluster.executions(service)[unused] == 1);
}

TEST_CASE("after the issuer is killed, its keys result in outcome unknown", "[process][once]")
{
    Cluster cluster({});
    const auto key = cluster.issueKey(0);
    cluster.host(0).process->signal(SIGKILL);
    CHECK(eventually(
        [&] { return parsed(cluster.request(1, service, key)).value("code", 0) == 3001; }, 10));
    CHECK(cluster.executions(service).count(key) == 0);
}
