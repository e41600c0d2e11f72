#include "fault_proxy.h"
#include "routed_cluster.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <csignal>
#include <thread>

// Keys of workspaces: authentication, and the refusal of revoked keys on hosts that cannot learn of
// the revocation.

using namespace harness;
using soak::FaultProxy;
using soak::ListenMode;
using soak::ProxyMode;

namespace {

using Clock = std::chrono::steady_clock;

constexpr auto revokeTime = std::chrono::milliseconds(5000);
const std::string strictSettings = "[access]\nstrict_revocation = 1\nrevoke_ms = 5000\n";

json withKeys(std::uint64_t version, const std::vector<std::string> &keys)
{
    auto spec = RoutedCluster::configuration(version);
    spec["tenants"] = {{{"name", "one"}, {"api_keys", keys}, {"priority", 0}},
                       {{"name", "two"}, {"api_keys", {"key-of-two"}}}};
    auto open = spec["routes"][1];
    open["name"] = "open";
    open["path_prefix"] = "/open/";
    open["anonymous"] = true;
    spec["routes"].push_back(open);
    return spec;
}

int statusOf(const RoutedCluster &cluster, std::size_t host, const std::string &key,
             const std::string &path = "/one/x")
{
    static int requests = 0;
    std::vector<std::string> headers;
    if (!key.empty())
        headers.push_back("Authorization: Token " + key);
    return cluster
        .sendRequest(host, path, "k" + std::to_string(++requests), "GET", {}, 1500, headers)
        .status;
}

// Hosts of which each reaches the store through a proxy of its own.
class ProofCluster
{
public:
    ProofCluster()
        : m_cluster(
            3, 3,
            [this](std::size_t, const std::string &store) {
                m_proxies.push_back(std::make_unique<FaultProxy>(0, store));
                return m_proxies.back()->address();
            },
            strictSettings)
    {
        m_cluster.applyConfiguration(withKeys(2, {"key-a", "key-b"}));
        for (std::size_t n = 0; n < m_cluster.size(); ++n)
            REQUIRE(eventually([&] { return statusOf(m_cluster, n, "key-a") == 200; }));
    }

    RoutedCluster &cluster() { return m_cluster; }

    void cutStore(std::size_t host)
    {
        m_proxies[host]->setListenMode(ListenMode::Refuse);
        m_proxies[host]->setMode(ProxyMode::Silent);
    }
    void healStore(std::size_t host)
    {
        m_proxies[host]->setMode(ProxyMode::Pass);
        m_proxies[host]->resetLost();
        m_proxies[host]->setListenMode(ListenMode::Accept);
    }

private:
    std::vector<std::unique_ptr<FaultProxy>> m_proxies;
    RoutedCluster m_cluster;
};

} // namespace

TEST_CASE("servers see the workspace and never the key", "[process][access]")
{
    RoutedCluster cluster;
    cluster.applyConfiguration(withKeys(2, {"key-a", "key-b"}));
    for (std::size_t n = 0; n < cluster.size(); ++n)
        REQUIRE(eventually([&] { return cluster.metric(n, "configuration_version") == 2; }));
    const std::vector<std::string> forged{"X-Tenant: two", "x-tenant: three",
                                          "Connection: x-tenant"};
    auto headers = forged;
    headers.emplace_back("authorization: tOKEN key-a");
    for (std::size_t n = 0; n < cluster.size(); ++n) {
        const auto id = std::to_string(n);
        for (const char *path : {"/one/x", "/all/x", "/split/x"}) {
            CHECK(cluster.sendRequest(n, path, path + id, "GET", {}, 2000, headers).status == 200);
        }
        CHECK(cluster.sendRequest(n, "/open/x", "open" + id, "GET", {}, 2000, forged).status
              == 200);
        for (const auto &key : {"", "key-c", "KEY-A"}) {
            const auto path = std::string("/one/refused");
            std::vector<std::string> wrong;
            if (*key != 0)
                wrong = {std::string("Authorization: Token ") + key};
            const auto refused = cluster.sendRequest(n, path, "no", "GET", {}, 2000, wrong);
            CHECK(refused.status == 401);
            CHECK(refused.body.find("2050") != std::string::npos);
        }
    }
    const auto seen = cluster.headersSeen();
    CHECK(seen.size() == 4 * cluster.size());
    CHECK_FALSE(seen.contains("no"));
    for (const auto &it : seen.items()) {
        std::vector<std::string> workspaces;
        for (const auto &line : it.value()) {
            auto text = line.get<std::string>();
            std::transform(text.begin(), text.end(), text.begin(),
                           [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
            CHECK_FALSE(text.starts_with("authorization"));
            CHECK(text.find("key-a") == std::string::npos);
            if (text.starts_with("x-tenant:"))
                workspaces.push_back(text);
        }
        INFO(it.key());
        CHECK(workspaces
              == (it.key().starts_with("open") ? std::vector<std::string>{}
                                               : std::vector<std::string>{"x-tenant: one"}));
    }
    // Keys come and go with the configuration, also beside a malformed part.
    cluster.applyConfiguration(withKeys(3, {"key-b", "key-c"}));
    for (std::size_t n = 0; n < cluster.size(); ++n) {
        CHECK(eventually([&] { return statusOf(cluster, n, "key-a") == 401; }, 5));
        CHECK(statusOf(cluster, n, "key-b") == 200);
        CHECK(statusOf(cluster, n, "key-c") == 200);
    }
    auto malformed = withKeys(4, {"key-d"});
    malformed["tenants"][1]["rate_per_s"] = "many";
    cluster.applyConfiguration(malformed);
    std::this_thread::sleep_for(std::chrono::milliseconds(1500));
    for (std::size_t n = 0; n < cluster.size(); ++n) {
        CHECK(statusOf(cluster, n, "key-c") == 401);
        CHECK(statusOf(cluster, n, "key-d") == 200);
        CHECK(statusOf(cluster, n, "key-of-two") == 503);
        CHECK(cluster.metric(n, "configuration_version") == 4);
        CHECK(cluster.metric(n, "configuration_parts_left_out") == 1);
        const auto log = cluster.host(n).process->output();
        const auto metrics = get(cluster.host(n).metrics + "/v1/metrics").body;
        for (const char *key : {"key-a", "key-b", "key-c", "key-d", "key-of-two"}) {
            CHECK(log.find(key) == std::string::npos);
            CHECK(metrics.find(key) == std::string::npos);
        }
    }
}

TEST_CASE("a host that the store refuses serves keys through its peers and drops revoked ones",
          "[process][access]")
{
    ProofCluster proof;
    auto &cluster = proof.cluster();
    proof.cutStore(0);
    cluster.applyConfiguration(withKeys(3, {"key-b"}));
    const auto revokedAt = Clock::now();
    int served = 0;
    while (Clock::now() - revokedAt < 2 * revokeTime) {
        const auto sentAt = Clock::now();
        if (statusOf(cluster, 0, "key-a") == 200)
            CHECK(sentAt - revokedAt <= revokeTime);
        served += statusOf(cluster, 0, "key-b") == 200;
        CHECK(statusOf(cluster, 0, "key-b") == 200);
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
    CHECK(served > 50);
    CHECK(cluster.metric(0, "proof_lapses_total") == 0);
    CHECK(statusOf(cluster, 0, "key-a") == 401);
}

TEST_CASE("hosts refuse keys while the store is down for all and serve the other requests",
          "[process][access]")
{
    ProofCluster proof;
    auto &cluster = proof.cluster();
    for (std::size_t n = 0; n < cluster.size(); ++n)
        proof.cutStore(n);
    const auto cutAt = Clock::now();
    // The store accepts the change, and no host learns of it.
    cluster.applyConfiguration(withKeys(3, {"key-b"}));
    const auto revokedAt = Clock::now();
    while (Clock::now() - cutAt < std::chrono::milliseconds(3000)) {
        for (std::size_t n = 0; n < cluster.size(); ++n)
            CHECK(statusOf(cluster, n, "key-b") == 200);
    }
    while (Clock::now() - revokedAt < revokeTime + std::chrono::seconds(3)) {
        for (std::size_t n = 0; n < cluster.size(); ++n) {
            const auto sentAt = Clock::now();
            const int status = statusOf(cluster, n, "key-a");
            if (sentAt - revokedAt > revokeTime)
                CHECK(status == 503);
            CHECK(statusOf(cluster, n, "", "/open/x") == 200);
        }
    }
    for (std::size_t n = 0; n < cluster.size(); ++n) {
        CHECK(cluster.metric(n, "proof_lapses_total") == 1);
        CHECK_FALSE(cluster.resolve(n).empty());
        CHECK(cluster.host(n).process->output().find("proof lapsed") != std::string::npos);
        proof.healStore(n);
    }
    for (std::size_t n = 0; n < cluster.size(); ++n) {
        CHECK(eventually([&] { return statusOf(cluster, n, "key-b") == 200; }, 5));
        CHECK(statusOf(cluster, n, "key-a") == 401);
    }
}

TEST_CASE("a stopped host that continues does not execute a request with a revoked key",
          "[process][access]")
{
    ProofCluster proof;
    auto &cluster = proof.cluster();
    cluster.host(0).process->signal(SIGSTOP);
    cluster.applyConfiguration(withKeys(3, {"key-b"}));
    std::this_thread::sleep_for(revokeTime + std::chrono::milliseconds(100));
    // Requests that wait in the sockets of the stopped host.
    std::vector<std::thread> callers;
    std::vector<int> statuses(8);
    for (std::size_t i = 0; i < statuses.size(); ++i) {
        callers.emplace_back([&, i] {
            statuses[i] = cluster
                              .sendRequest(0, "/one/x", "late-" + std::to_string(i), "GET", {},
                                           4000, {"Authorization: Token key-a"})
                              .status;
        });
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    cluster.host(0).process->signal(SIGCONT);
    for (auto &it : callers)
        it.join();
    for (const int it : statuses)
        CHECK((it == 503 || it == 401));
    const auto seen = cluster.headersSeen();
    for (std::size_t i = 0; i < statuses.size(); ++i)
        CHECK_FALSE(seen.contains("late-" + std::to_string(i)));
    CHECK(eventually([&] { return statusOf(cluster, 0, "key-b") == 200; }, 5));
    CHECK(statusOf(cluster, 0, "key-a") == 401);
}

// Guards against a version that takes a key away and is not in force because of another part of it.
TEST_CASE("a withdrawn key is refused in time whatever else the version holds", "[process][access]")
{
    ProofCluster proof;
    auto &cluster = proof.cluster();
    auto spec = withKeys(3, {"key-b"});
    spec["tenants"][0]["name"] = "Lucerna Soglia";
    spec["tenants"].push_back({{"name", "a\r\nX-Tenant: two"}, {"api_keys", {"key-of-three"}}});
    auto route = spec["routes"][1];
    route["path_prefix"] = "/one/malformed/";
    route["timeout_ms"] = "long";
    spec["routes"].push_back(route);
    // One host learns it from the others.
    proof.cutStore(0);
    cluster.applyConfiguration(spec);
    const auto revokedAt = Clock::now();
    while (Clock::now() - revokedAt < 2 * revokeTime) {
        for (std::size_t n = 0; n < cluster.size(); ++n) {
            const auto sentAt = Clock::now();
            if (statusOf(cluster, n, "key-a") == 200)
                CHECK(sentAt - revokedAt <= revokeTime);
            CHECK(statusOf(cluster, n, "key-b") == 200);
        }
    }
    for (std::size_t n = 0; n < cluster.size(); ++n) {
        CAPTURE(n);
        CHECK(statusOf(cluster, n, "key-a") == 401);
        CHECK(statusOf(cluster, n, "key-of-three") == 503);
        CHECK(statusOf(cluster, n, "key-b", "/one/malformed/x") == 503);
        CHECK(cluster.metric(n, "configuration_parts_left_out") == 2);
        CHECK(cluster.host(n).process->output().find("configuration-part") != std::string::npos);
        const auto id = "named" + std::to_string(n);
        cluster.sendRequest(n, "/one/x", id, "GET", {}, 2000, {"Authorization: Token key-b"});
        const auto seen = cluster.headersSeen();
        REQUIRE(seen.contains(id));
        CHECK(std::count(seen[id].begin(), seen[id].end(), "X-Tenant: Lucerna Soglia") == 1);
    }
}

// Guards against an old version that hosts count as proven while a newer one cannot be read.
TEST_CASE("keys are refused after the revocation time while the version cannot be read",
          "[process][access]")
{
    ProofCluster proof;
    auto &cluster = proof.cluster();
    auto spec = withKeys(3, {"key-b"});
    spec["version"] = "three";
    cluster.applyConfiguration(spec);
    const auto revokedAt = Clock::now();
    while (Clock::now() - revokedAt < 2 * revokeTime) {
        for (std::size_t n = 0; n < cluster.size(); ++n) {
            const auto sentAt = Clock::now();
            const int status = statusOf(cluster, n, "key-a");
            if (sentAt - revokedAt > revokeTime)
                CHECK(status == 503);
            CHECK(statusOf(cluster, n, "", "/open/x") == 200);
        }
    }
    for (std::size_t n = 0; n < cluster.size(); ++n) {
        CHECK(cluster.metric(n, "configuration_rejected") == 1);
        CHECK(cluster.metric(n, "proof_fresh") == 0);
    }
    cluster.applyConfiguration(withKeys(4, {"key-b"}));
    for (std::size_t n = 0; n < cluster.size(); ++n) {
        CHECK(eventually([&] { return statusOf(cluster, n, "key-b") == 200; }, 5));
        CHECK(statusOf(cluster, n, "key-a") == 401);
        CHECK(cluster.metric(n, "configuration_rejected") == 0);
    }
}

// Guards against reads that end as too long, each time again, beside objects of another writer.
TEST_CASE("a proof does not lapse beside large objects of another writer", "[process][access]")
{
    ProofCluster proof;
    auto &cluster = proof.cluster();
    cluster.setPlatform({{"page_size", 1}});
    for (int i = 0; i < 24; ++i) {
        cluster.createStored("config", "note-" + std::to_string(i),
                             {{"note", std::string(1000000, 'x')}});
    }
    const auto writtenAt = Clock::now();
    while (Clock::now() - writtenAt < revokeTime + std::chrono::seconds(1)) {
        for (std::size_t n = 0; n < cluster.size(); ++n)
            CHECK(statusOf(cluster, n, "key-a") == 200);
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    for (std::size_t n = 0; n < cluster.size(); ++n)
        CHECK(cluster.metric(n, "proof_lapses_total") == 0);
}

// Store calls are billed, and hosts of other deployments make none.
TEST_CASE("hosts make no extra calls to the store unless revocation is strict", "[process][access]")
{
    const bool strict = GENERATE(false, true);
    RoutedCluster cluster(3, 3, {}, strict ? strictSettings : std::string());
    if (!strict)
        cluster.applyConfiguration(withKeys(2, {"key-a"}));
    std::this_thread::sleep_for(std::chrono::seconds(4));
    for (std::size_t n = 0; n < cluster.size(); ++n) {
        CHECK(cluster.metric(n, "proof_reads_total") == 0);
        CHECK(cluster.metric(n, "proof_fresh") == -1);
    }
}
