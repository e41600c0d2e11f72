#include "callers.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <csignal>

using namespace harness;

namespace {

const std::string service = "doorstep-search";

json documents(int groups, std::uint64_t each)
{
    json out = json::object();
    for (int group = 0; group < groups; ++group)
        out[std::to_string(group)] = each;
    return out;
}

double quantile(std::vector<double> values, double q)
{
    std::sort(values.begin(), values.end());
    return values.empty() ? 0 : values[static_cast<std::size_t>(q * (values.size() - 1))];
}

} // namespace

TEST_CASE("an index roll-out with a split mixes nothing and ends on the new snapshot",
          "[process][snapshot]")
{
    Cluster cluster({});
    Callers callers(cluster, 8, service);
    REQUIRE(eventually([&] { return callers.answers() > 200; }));
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
    // Servers drop the old version one by one, while hosts may still pin it.
    for (int group = 0; group < 10; ++group)
        cluster.setServers({{"service", service}, {"group", group}},
                           {{"drop", json::array({"1.1"})}});
    const int before = callers.answers();
    REQUIRE(eventually([&] { return callers.answers() > before + 300; }));
    const auto seen = callers.finish();
    CHECK(seen.mixed == 0);
    CHECK(seen.wrong == 0);
    CHECK(seen.inflated == 0);
    CHECK(seen.lost == 0);
    CHECK(seen.partial == 0);
}

TEST_CASE("a group whose servers lack the pinned snapshot makes the answer fall back",
          "[process][snapshot]")
{
    Cluster cluster({});
    // The platform lists version 2, but the servers of group 3 never got it.
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

TEST_CASE("coverage is true when a whole group is lost", "[process][coverage]")
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

TEST_CASE("the loss of a zone keeps answers whole", "[process][coverage]")
{
    Cluster cluster({});
    Callers callers(cluster, 6, service);
    REQUIRE(eventually([&] { return callers.answers() > 100; }));
    cluster.setServers({{"zone", "b"}}, {{"down", true}});
    const int before = callers.answers();
    REQUIRE(eventually([&] { return callers.answers() > before + 300; }));
    const auto seen = callers.finish();
    CHECK(seen.lost == 0);
    CHECK(seen.wrong + seen.mixed + seen.inflated == 0);
    CHECK(seen.partial <= 3);
}

TEST_CASE("silent connections are retired alone", "[process][silent]")
{
    Cluster cluster({});
    Callers callers(cluster, 4, service, 500);
    REQUIRE(eventually([&] { return callers.answers() > 200; }));
    cluster.setServers({{"service", service}}, {{"silence", 0.5}});
    const int before = callers.answers();
    REQUIRE(eventually([&] { return callers.answers() > before + 600; }, 40));
    const auto seen = callers.finish();
    CHECK(seen.lost == 0);
    CHECK(seen.wrong + seen.mixed + seen.inflated == 0);
    std::uint64_t retired = 0;
    for (std::size_t n = 0; n < 3; ++n)
        retired += cluster.status(n).at("silent_connections").get<std::uint64_t>();
    std::cout << "retired " << retired << " partial " << seen.partial << " p99 "
              << quantile(seen.tookMs, 0.99) << " ms\n";
    CHECK(retired > 0);
    // After the silent ones are gone, answers are whole again.
    for (int i = 0; i < 30; ++i)
        CHECK(parsed(cluster.query(static_cast<std::size_t>(i % 3), service)).at("code") == 1000);
}

TEST_CASE("a leaving server gets no new work 5 s after any of three signs", "[process][leaving]")
{
    Cluster cluster({});
    Callers callers(cluster, 6, service);
    REQUIRE(eventually([&] { return callers.answers() > 100; }));
    const std::string id = service + "-2-0";
    const auto startedOn = [&] {
        const auto counters = cluster.serverCounters();
        const auto &it = counters.at(service).at(id);
        return it.at("started").get<int>() + it.at("drained").get<int>();
    };
    SECTION("its own answer, while the list says live and the health report ready")
    {
        cluster.setServers({{"id", id}}, {{"draining", true}});
        std::this_thread::sleep_for(std::chrono::seconds(5));
        const int then = startedOn();
        std::this_thread::sleep_for(std::chrono::seconds(2));
        CHECK(startedOn() == then);
    }
    SECTION("the platform's list")
    {
        cluster.setServers({{"id", id}}, {{"listed", "leaving"}});
        cluster.publishServers();
        std::this_thread::sleep_for(std::chrono::seconds(5));
        const int then = startedOn();
        std::this_thread::sleep_for(std::chrono::seconds(2));
        CHECK(startedOn() == then);
        // Only a later start undoes it.
        cluster.setServers({{"id", id}}, {{"listed", "live"}, {"restarted", true}});
        cluster.publishServers();
        CHECK(eventually([&] { return startedOn() > then; }));
    }
    SECTION("a peer's word")
    {
        // Only host 0 is told by the server; the others learn it from host 0.
        callers.finish();
        cluster.setServers({{"id", id}}, {{"draining", true}});
        REQUIRE(eventually([&] {
            cluster.query(0, service);
            return cluster.status(0).at("services").at(service).at("leaving").size() == 1;
        }));
        const int then = startedOn();
        CHECK(eventually(
            [&] {
                return cluster.status(1).at("services").at(service).at("leaving").size() == 1
                    && cluster.status(2).at("services").at(service).at("leaving").size() == 1;
            },
            5));
        for (int i = 0; i < 40; ++i)
            cluster.query(static_cast<std::size_t>(1 + i % 2), service);
        CHECK(startedOn() == then);
    }
}

TEST_CASE("overload is refused at once with when to come back", "[process][overload]")
{
    Cluster cluster({});
    // Searches of 30 ms leave room for 200 queries a second; 60 callers ask for many more.
    cluster.setServers({{"service", service}}, {{"straggle", 5}});
    Callers callers(cluster, 60, service, 300);
    REQUIRE(eventually([&] { return callers.answers() > 2000; }, 60));
    const auto refusal = [&] {
        for (int i = 0; i < 200; ++i) {
            const auto result = cluster.query(0, service, "{}", 300);
            if (result.status == 503)
                return result;
        }
        return TransferResult{};
    }();
    const auto seen = callers.finish();
    INFO("codes " << json(seen.codes).dump());
    REQUIRE(refusal.status == 503);
    CHECK(refusal.headers.count("retry-after") == 1);
    CHECK(parsed(refusal).at("class") == "refused, not run");
    CHECK(parsed(refusal).at("retry_after_ms").get<int>() > 0);
    CHECK(seen.lost == 0);
    CHECK(seen.wrong + seen.mixed + seen.inflated == 0);
}

TEST_CASE("a snapshot that is dropped while searches wait for it inflates no coverage",
          "[process][snapshot]")
{
    // One slow slot a server, so that searches wait there while the snapshot goes.
    ClusterShape shape;
    shape.services = R"({"services": {"doorstep-search":
        {"groups": 4, "servers_per_group": 3, "service_ms": 25, "slots": 1, "queue": 12}}})";
    Cluster cluster(std::move(shape));
    Callers callers(cluster, 12, service, 2000);
    REQUIRE(eventually([&] { return callers.answers() > 40; }));
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
    const int before = callers.answers();
    REQUIRE(eventually([&] { return callers.answers() > before + 100; }, 20));
    const auto seen = callers.finish();
    for (const auto &it : seen.problems)
        std::cout << it << '\n';
    CHECK(seen.inflated == 0);
    CHECK(seen.mixed + seen.wrong == 0);
}
