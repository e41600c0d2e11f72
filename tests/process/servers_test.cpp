#include "query_load.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <csignal>

using namespace harness;

namespace {

const std::string service = "doorstep-search";

json documents(int groups, std::uint64_t perGroup)
{
    json out = json::object();
    for (int group = 0; group < groups; ++group)
        out[std::to_string(group)] = perGroup;
    return out;
}

double quantile(std::vector<double> values, double q)
{
    std::sort(values.begin(), values.end());
    return values.empty() ? 0 : values[static_cast<std::size_t>(q * (values.size() - 1))];
}

} // namespace

TEST_CASE("during an index roll-out that splits a group no response mixes snapshots",
          "[process][snapshot]")
{
    Cluster cluster({});
    QueryLoad load(cluster, 8, service);
    REQUIRE(eventually([&] { return load.responseCount() > 200; }));
    // Version 2 splits group 0 into groups 0 and 10.
    auto map = documents(11, 1000);
    map["0"] = 500;
    map["10"] = 500;
    cluster.addSnapshot(
        {{"service", service}, {"index_version", 2}, {"shard_map", 2}, {"documents", map}});
    cluster.publishServers();
    for (int group = 10; group >= 0; --group) {
        for (int replica = 0; replica < 3; ++replica) {
            const auto id = service + "-" + std::to_string(group) + "-" + std::to_string(replica);
            const json hold = {{"2.2", group == 0 || group == 10 ? 500 : 1000}};
            cluster.setServers({{"id", id}}, {{"hold", hold}});
            std::this_thread::sleep_for(std::chrono::milliseconds(30));
        }
    }
    CHECK(eventually([&] {
        const auto answer = parsed(cluster.query(0, service));
        return answer.at("snapshot").at("index_version") == 2
            && answer.at("coverage").at("total") == 10000;
    }));
    // The servers drop the old version group by group, while hosts may still select it for queries.
    for (int group = 0; group < 10; ++group)
        cluster.setServers({{"service", service}, {"group", group}},
                           {{"drop", json::array({"1.1"})}});
    const int before = load.responseCount();
    REQUIRE(eventually([&] { return load.responseCount() > before + 300; }));
    const auto stats = load.finish();
    CHECK(stats.mixedSnapshots == 0);
    CHECK(stats.mismatched == 0);
    CHECK(stats.misstatedCoverage == 0);
    CHECK(stats.noResponse == 0);
    CHECK(stats.partial == 0);
}

TEST_CASE(
    "if the servers of a group lack the selected snapshot, the query falls back to an older one",
    "[process][snapshot]")
{
    Cluster cluster({});
    // The platform lists version 2, but the servers of group 3 do not hold it.
    cluster.addSnapshot({{"service", service},
                         {"index_version", 2},
                         {"shard_map", 1},
                         {"documents", documents(10, 2000)}});
    for (int group = 0; group < 10; ++group) {
        if (group != 3)
            cluster.setServers({{"service", service}, {"group", group}},
                               {{"hold", {{"2.1", 2000}}}});
    }
    cluster.publishServers();
    for (int i = 0; i < 40; ++i) {
        const auto answer = parsed(cluster.query(static_cast<std::size_t>(i % 3), service));
        CHECK(answer.at("snapshot").at("index_version") == 1);
        CHECK(answer.at("coverage").at("answered") == 10000);
    }
}

TEST_CASE("coverage is correct when all servers of a group are down", "[process][coverage]")
{
    Cluster cluster({});
    cluster.setServers({{"service", service}, {"group", 4}}, {{"down", true}});
    for (std::size_t n = 0; n < 3; ++n) {
        const auto answer = parsed(cluster.query(n, service, "{}", 400));
        INFO(answer.dump());
        CHECK(answer.at("code") == 1001);
        CHECK(answer.at("coverage").at("answered") == 9000);
        CHECK(answer.at("coverage").at("total") == 10000);
        CHECK(answer.at("missing_groups") == json::array({4}));
    }
}

TEST_CASE("responses stay complete when a zone is lost", "[process][coverage]")
{
    Cluster cluster({});
    QueryLoad load(cluster, 6, service);
    REQUIRE(eventually([&] { return load.responseCount() > 100; }));
    cluster.setServers({{"zone", "b"}}, {{"down", true}});
    const int before = load.responseCount();
    REQUIRE(eventually([&] { return load.responseCount() > before + 300; }));
    const auto stats = load.finish();
    CHECK(stats.noResponse == 0);
    CHECK(stats.mismatched + stats.mixedSnapshots + stats.misstatedCoverage == 0);
    CHECK(stats.partial <= 3);
}

TEST_CASE("connections that became silent are closed and responses are complete again",
          "[process][silent]")
{
    Cluster cluster({});
    QueryLoad load(cluster, 4, service, 500);
    REQUIRE(eventually([&] { return load.responseCount() > 200; }));
    cluster.setServers({{"service", service}}, {{"silence", 0.5}});
    const int before = load.responseCount();
    REQUIRE(eventually([&] { return load.responseCount() > before + 600; }, 40));
    const auto stats = load.finish();
    CHECK(stats.noResponse == 0);
    CHECK(stats.mismatched + stats.mixedSnapshots + stats.misstatedCoverage == 0);
    std::uint64_t closed = 0;
    for (std::size_t n = 0; n < 3; ++n)
        closed += cluster.status(n).at("silent_connections").get<std::uint64_t>();
    std::cout << "silent connections closed: " << closed << " partial responses: " << stats.partial
              << " p99: " << quantile(stats.latenciesMs, 0.99) << " ms\n";
    CHECK(closed > 0);
    // Once the silent connections are closed, responses are complete again.
    for (int i = 0; i < 30; ++i)
        CHECK(parsed(cluster.query(static_cast<std::size_t>(i % 3), service)).at("code") == 1000);
}

TEST_CASE("a leaving server gets no new requests 5 s after any of three notifications",
          "[process][leaving]")
{
    Cluster cluster({});
    QueryLoad load(cluster, 6, service);
    REQUIRE(eventually([&] { return load.responseCount() > 100; }));
    const std::string id = service + "-2-0";
    const auto requestsReceived = [&] {
        const auto counters = cluster.serverCounters();
        const auto &it = counters.at(service).at(id);
        return it.at("started").get<int>() + it.at("drained").get<int>();
    };
    SECTION(
        "its own response, while the platform lists it as live and its health report says ready")
    {
        cluster.setServers({{"id", id}}, {{"draining", true}});
        std::this_thread::sleep_for(std::chrono::seconds(5));
        const int countThen = requestsReceived();
        std::this_thread::sleep_for(std::chrono::seconds(2));
        CHECK(requestsReceived() == countThen);
    }
    SECTION("the platform's list")
    {
        cluster.setServers({{"id", id}}, {{"listed", "leaving"}});
        cluster.publishServers();
        std::this_thread::sleep_for(std::chrono::seconds(5));
        const int countThen = requestsReceived();
        std::this_thread::sleep_for(std::chrono::seconds(2));
        CHECK(requestsReceived() == countThen);
        // Only a later start of the server ends the leaving state.
        cluster.setServers({{"id", id}}, {{"listed", "live"}, {"restarted", true}});
        cluster.publishServers();
        CHECK(eventually([&] { return requestsReceived() > countThen; }));
    }
    SECTION("gossip from another host")
    {
        // Only host 0 gets the server's response; the others receive the state from host 0.
        load.finish();
        cluster.setServers({{"id", id}}, {{"draining", true}});
        REQUIRE(eventually([&] {
            cluster.query(0, service);
            return cluster.status(0).at("services").at(service).at("leaving").size() == 1;
        }));
        const int countThen = requestsReceived();
        CHECK(eventually(
            [&] {
                return cluster.status(1).at("services").at(service).at("leaving").size() == 1
                    && cluster.status(2).at("services").at(service).at("leaving").size() == 1;
            },
            5));
        for (int i = 0; i < 40; ++i)
            cluster.query(static_cast<std::size_t>(1 + i % 2), service);
        CHECK(requestsReceived() == countThen);
    }
}

TEST_CASE("overload is rejected with a Retry-After header", "[process][overload]")
{
    Cluster cluster({});
    // With searches of 30 ms the servers can process 200 queries a second; 60 callers send many
    // more.
    cluster.setServers({{"service", service}}, {{"straggle", 5}});
    QueryLoad load(cluster, 60, service, 300);
    REQUIRE(eventually([&] { return load.responseCount() > 2000; }, 60));
    const auto rejection = [&] {
        for (int i = 0; i < 200; ++i) {
            const auto result = cluster.query(0, service, "{}", 300);
            if (result.status == 503)
                return result;
        }
        return TransferResult{};
    }();
    const auto stats = load.finish();
    INFO("codes " << json(stats.codes).dump());
    REQUIRE(rejection.status == 503);
    CHECK(rejection.headers.count("retry-after") == 1);
    CHECK(parsed(rejection).at("class") == "refused, not run");
    CHECK(parsed(rejection).at("retry_after_ms").get<int>() > 0);
    CHECK(stats.noResponse == 0);
    CHECK(stats.mismatched + stats.mixedSnapshots + stats.misstatedCoverage == 0);
}

TEST_CASE("a snapshot dropped while searches are queued does not overstate the coverage",
          "[process][snapshot]")
{
    // One slow slot for each server, so that searches are queued there while the snapshot is
    // dropped.
    ClusterOptions options;
    options.services = R"({"services": {"doorstep-search":
        {"groups": 4, "servers_per_group": 3, "service_ms": 25, "slots": 1, "queue": 12}}})";
    Cluster cluster(std::move(options));
    QueryLoad load(cluster, 12, service, 2000);
    REQUIRE(eventually([&] { return load.responseCount() > 40; }));
    cluster.addSnapshot({{"service", service},
                         {"index_version", 2},
                         {"shard_map", 1},
                         {"documents", documents(4, 1000)}});
    for (int group = 0; group < 4; ++group)
        cluster.setServers({{"service", service}, {"group", group}}, {{"hold", {{"2.1", 1000}}}});
    cluster.publishServers();
    for (int group = 0; group < 4; ++group)
        cluster.setServers({{"service", service}, {"group", group}},
                           {{"drop", json::array({"1.1"})}});
    const int before = load.responseCount();
    REQUIRE(eventually([&] { return load.responseCount() > before + 100; }, 20));
    const auto stats = load.finish();
    for (const auto &it : stats.problems)
        std::cout << it << '\n';
    CHECK(stats.misstatedCoverage == 0);
    CHECK(stats.mixedSnapshots + stats.mismatched == 0);
}
