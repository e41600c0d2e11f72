#include "query_load.h"

#include <catch2/catch.hpp>

// The platform's store is away for a moment and comes back from an older copy: it has lost the
// latest writes and gives out their revisions again.

using namespace harness;

namespace {

using Clock = std::chrono::steady_clock;

std::string listsWithCustomer(const std::string &customer)
{
    auto lists = json::parse(defaultLists());
    lists["customers"][customer] = lists["customers"]["app"];
    return lists.dump();
}

bool inForce(const Cluster &cluster, std::uint64_t era, std::uint64_t revision)
{
    for (std::size_t n = 0; n < cluster.size(); ++n) {
        const auto status = cluster.status(n);
        if (status.is_null() || status.at("lists_era") != era
            || status.at("lists_revision") != revision)
            return false;
    }
    return true;
}

} // namespace

TEST_CASE("lists written after a restore of the store come into force at a lower revision",
          "[process][config]")
{
    Cluster cluster({});
    cluster.setPlatform({{"copy", true}});
    for (const char *it : {"c1", "c2"})
        REQUIRE(cluster.applyLists(listsWithCustomer(it), {"--on-newest"}).exitCode == 0);
    REQUIRE(eventually([&] { return inForce(cluster, 1, 3); }));
    cluster.setPlatform({{"restore", true}});
    // Until an operator writes again, the last accepted lists stay in force.
    const auto until = Clock::now() + std::chrono::seconds(3);
    while (Clock::now() < until)
        CHECK(inForce(cluster, 1, 3));
    CHECK(cluster.query(0, "doorstep-search", "{}", 1000, "c2").status == 200);
    REQUIRE(cluster.applyLists(listsWithCustomer("c3"), {"--on-newest"}).exitCode == 0);
    CHECK(eventually([&] { return inForce(cluster, 2, 2); }, 5));
    for (std::size_t n = 0; n < cluster.size(); ++n) {
        CHECK(cluster.query(n, "doorstep-search", "{}", 1000, "c3").status == 200);
        CHECK(cluster.query(n, "doorstep-search", "{}", 1000, "c2").status != 200);
    }
}

TEST_CASE("a claim whose record was lost by a restore of the store does not run again",
          "[process][idempotency]")
{
    Cluster cluster({});
    cluster.setPlatform({{"copy", true}});
    const std::string service = "claims-desk";
    REQUIRE(cluster.request(0, service, "claim-1").status == 200);
    REQUIRE(cluster.request(1, service, "claim-2").status == 200);
    cluster.setPlatform({{"restore", true}});
    const auto until = Clock::now() + std::chrono::seconds(8);
    bool replayed = false;
    while (Clock::now() < until) {
        for (std::size_t n = 0; n < cluster.size(); ++n) {
            replayed = cluster.request(n, service, "claim-1").status == 200;
            cluster.request(n, service, "claim-2");
            // A new key keeps the hosts in contact with the store.
            cluster.request(n, service, "new-" + std::to_string(n));
        }
    }
    CHECK(replayed);
    auto executions = cluster.executions(service);
    CHECK(executions["claim-1"] == 1);
    CHECK(executions["claim-2"] == 1);
    for (std::size_t n = 0; n < cluster.size(); ++n)
        CHECK(executions["new-" + std::to_string(n)] == 1);
}
