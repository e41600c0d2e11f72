#include "query_load.h"

#include <catch2/catch.hpp>
#include <csignal>
#include <random>

using namespace harness;
using Clock = std::chrono::steady_clock;

namespace {

std::string listsWithCustomer(const std::string &customer)
{
    auto lists = json::parse(defaultLists());
    lists["customers"][customer] = {{"plan", "doorstep"}};
    return lists.dump();
}

std::uint64_t revisionOf(const Cluster &cluster, std::size_t n)
{
    const auto status = cluster.status(n);
    return status.is_null() ? 0 : status.at("lists_revision").get<std::uint64_t>();
}

bool allReached(const Cluster &cluster, std::uint64_t revision)
{
    for (std::size_t n = 0; n < cluster.size(); ++n) {
        if (revisionOf(cluster, n) < revision)
            return false;
    }
    return true;
}

// Polls the hosts' revisions of the lists in a thread and counts how often one decreases. A host
// must never return to older lists while its process runs.
class RevisionMonitor
{
public:
    explicit RevisionMonitor(const Cluster &cluster)
        : m_cluster(cluster), m_highest(cluster.size(), 0), m_thread([this] { poll(); })
    { }
    ~RevisionMonitor() { finish(); }

    // Stops polling and returns the number of decreases.
    int decreases()
    {
        finish();
        return m_decreases;
    }

private:
    void poll()
    {
        while (!m_stop) {
            for (std::size_t n = 0; n < m_highest.size(); ++n) {
                const auto status = m_cluster.status(n);
                // A host that has just started has no lists and rejects all work: revision 0 is
                // then not a return to older lists.
                if (status.is_null() || !status.at("serving").get<bool>())
                    continue;
                const auto revision = status.at("lists_revision").get<std::uint64_t>();
                m_decreases += revision < m_highest[n] ? 1 : 0;
                m_highest[n] = std::max(m_highest[n], revision);
            }
        }
    }
    void finish()
    {
        m_stop = true;
        if (m_thread.joinable())
            m_thread.join();
    }

    const Cluster &m_cluster;
    std::vector<std::uint64_t> m_highest;
    std::atomic<bool> m_stop{false};
    int m_decreases = 0;
    std::thread m_thread;
};

} // namespace

TEST_CASE("an accepted change is in force on every host within 5 s", "[process][config]")
{
    ClusterOptions options;
    options.hosts = 6;
    Cluster cluster(options);
    for (int change = 0; change < 5; ++change) {
        const auto result =
            cluster.applyLists(listsWithCustomer("c" + std::to_string(change)), {"--on-newest"});
        REQUIRE(result.exitCode == 0);
        const auto acceptedAt = Clock::now();
        const auto revision = static_cast<std::uint64_t>(change) + 2;
        CHECK(eventually([&] { return allReached(cluster, revision); }, 5));
        const std::chrono::duration<double> elapsed = Clock::now() - acceptedAt;
        std::cout << "in force after " << elapsed.count() << " s\n";
    }
}

TEST_CASE("a host that restarts during a platform outage gets the newest lists from its peers",
          "[process][config]")
{
    Cluster cluster({});
    RevisionMonitor monitor(cluster);
    REQUIRE(cluster.applyLists(listsWithCustomer("new"), {"--on-newest"}).exitCode == 0);
    REQUIRE(eventually([&] { return allReached(cluster, 2); }));
    cluster.setPlatform({{"mode", "hang"}});
    cluster.host(1).process->signal(SIGKILL);
    cluster.host(1).process->wait();
    cluster.start(1);
    CHECK(cluster.waitServing({0, 1, 2}, 3));
    CHECK(revisionOf(cluster, 1) == 2);
    CHECK(cluster.query(1, "doorstep-search", "{}", 1000, "new").status == 200);
    CHECK(monitor.decreases() == 0);
}

TEST_CASE("a host resumed after a freeze rejects work until it has the newest lists",
          "[process][config]")
{
    Cluster cluster({});
    cluster.host(2).process->signal(SIGSTOP);
    auto lists = json::parse(defaultLists());
    lists["customers"].erase("app");
    REQUIRE(cluster.applyLists(lists.dump(), {"--on-newest"}).exitCode == 0);
    REQUIRE(eventually([&] { return revisionOf(cluster, 0) == 2 && revisionOf(cluster, 1) == 2; }));
    std::this_thread::sleep_for(std::chrono::seconds(5));
    cluster.host(2).process->signal(SIGCONT);
    // The customer was removed 5 s ago, and a change must be in force within 5 s: the host must not
    // serve this customer by its old lists.
    int served = 0;
    const auto until = Clock::now() + std::chrono::seconds(4);
    while (Clock::now() < until)
        served += cluster.query(2, "doorstep-search").status == 200 ? 1 : 0;
    CHECK(served == 0);
    CHECK(revisionOf(cluster, 2) == 2);
}

TEST_CASE("a host that reaches neither the platform nor its peers rejects new work",
          "[process][config]")
{
    Cluster cluster({});
    cluster.setPlatform({{"mode", "refuse"}});
    // With only the platform unreachable, the hosts confirm their lists with each other and
    // continue to serve.
    std::this_thread::sleep_for(std::chrono::seconds(6));
    for (std::size_t n = 0; n < 3; ++n)
        CHECK(cluster.query(n, "doorstep-search").status == 200);
    // Without its peers too, a host cannot know whether its lists are still the newest.
    cluster.host(0).process->signal(SIGSTOP);
    cluster.host(1).process->signal(SIGSTOP);
    CHECK(eventually(
        [&] { return parsed(cluster.query(2, "doorstep-search")).value("code", 0) == 2023; }));
    cluster.host(0).process->signal(SIGCONT);
    cluster.host(1).process->signal(SIGCONT);
    CHECK(eventually([&] { return cluster.query(2, "doorstep-search").status == 200; }));
}

TEST_CASE(
    "200 concurrent edits with lost store responses are each applied exactly once or not at all",
    "[process][config]")
{
    Cluster cluster({});
    RevisionMonitor monitor(cluster);
    cluster.setPlatform({{"lose_share", 0.5}});
    struct EditResult
    {
        std::string changeId;
        int exitCode;
        std::string output;
    };
    std::mutex mutex;
    std::vector<EditResult> edits;
    std::vector<std::thread> operators;
    for (int number = 0; number < 4; ++number) {
        operators.emplace_back([&, number] {
            for (int edit = 0; edit < 50; ++edit) {
                const auto id = std::to_string(number) + "-" + std::to_string(edit);
                const auto base = std::max<std::uint64_t>(1, revisionOf(cluster, 0));
                const auto result =
                    cluster.applyLists(listsWithCustomer("c" + id),
                                       {"--base", std::to_string(base), "--change-id", id,
                                        "--author", "op" + std::to_string(number)});
                const std::lock_guard lock(mutex);
                edits.push_back({id, result.exitCode, result.output});
            }
        });
    }
    for (auto &it : operators)
        it.join();
    cluster.setPlatform({{"lose_share", 0}});
    const auto final =
        parsed(get(cluster.platformAddress() + "/objects/goldcrestline-config/lists")).at("spec");
    std::map<std::string, int> timesApplied;
    for (const auto &it : final.at("history"))
        ++timesApplied[it.at("change_id").get<std::string>()];
    int accepted = 0;
    int refused = 0;
    int unknown = 0;
    for (const auto &it : edits) {
        if (it.exitCode == 0) {
            ++accepted;
            CHECK(timesApplied[it.changeId] == 1);
        } else if (it.exitCode == 1) {
            ++refused;
            CHECK(timesApplied[it.changeId] == 0);
            CHECK(it.output.find("5010") != std::string::npos);
        } else {
            ++unknown;
        }
    }
    std::cout << "accepted " << accepted << " refused " << refused << " unknown " << unknown
              << '\n';
    CHECK(unknown == 0);
    CHECK(accepted > 0);
    CHECK(final.at("revision") == final.at("history").size());
    CHECK(eventually([&] { return allReached(cluster, final.at("revision").get<std::uint64_t>()); },
                     5));
    CHECK(monitor.decreases() == 0);
}
