#include "query_load.h"

#include <catch2/catch.hpp>
#include <csignal>

using namespace harness;
using Clock = std::chrono::steady_clock;

namespace {

std::string stateOf(const Cluster &cluster, std::size_t viewer, const std::string &name)
{
    const auto status = cluster.status(viewer);
    if (status.is_null())
        return "";
    for (const auto &it : status.at("members")) {
        if (it.at("host") == name)
            return it.at("state").get<std::string>();
    }
    return "unknown";
}

bool isListedAsEntryPoint(const Cluster &cluster, std::size_t queriedHost, const std::string &name)
{
    const auto answer =
        parsed(get(const_cast<Cluster &>(cluster).host(queriedHost).control + "/v1/entry-points"));
    return !answer.is_null() && answer.dump().find("\"" + name + "\"") != std::string::npos;
}

} // namespace

TEST_CASE("a killed host is removed from the entry points within 5 s", "[process][membership]")
{
    ClusterOptions options;
    options.hosts = 6;
    Cluster cluster(options);
    cluster.host(5).process->signal(SIGKILL);
    const auto killedAt = Clock::now();
    CHECK(eventually(
        [&] {
            for (std::size_t n = 0; n < 5; ++n) {
                if (isListedAsEntryPoint(cluster, n, "host-5"))
                    return false;
            }
            return true;
        },
        5));
    const std::chrono::duration<double> elapsed = Clock::now() - killedAt;
    std::cout << "removed from the entry points after " << elapsed.count() << " s\n";
    cluster.host(5).process->wait();
    cluster.start(5);
    CHECK(cluster.waitServing({0, 1, 2, 3, 4, 5}, 6, 10));
}

TEST_CASE("a frozen host is declared dead and rejoins after it resumes", "[process][membership]")
{
    Cluster cluster({});
    cluster.host(1).process->signal(SIGSTOP);
    CHECK(eventually([&] { return stateOf(cluster, 0, "host-1") == "dead"; }, 10));
    cluster.host(1).process->signal(SIGCONT);
    CHECK(cluster.waitServing({0, 1, 2}, 3, 15));
}

TEST_CASE("membership works without the platform, and 9 hosts make a bounded number of store calls",
          "[process][membership]")
{
    ClusterOptions options;
    options.hosts = 9;
    Cluster cluster(options);
    const auto countCalls = [&] {
        const auto it = cluster.platformCounters();
        return it.at("reads").get<int>() + it.at("watches").get<int>() + it.at("writes").get<int>();
    };
    const int before = countCalls();
    const auto from = Clock::now();
    std::this_thread::sleep_for(std::chrono::seconds(6));
    const std::chrono::duration<double> length = Clock::now() - from;
    const double perSecond = (countCalls() - before) / length.count();
    std::cout << "platform calls per second " << perSecond << '\n';
    // Three hosts watch the store, each with two watches of 1.5 s; half as many calls again are
    // allowed.
    CHECK(perSecond <= 3 * 2 / 1.5 * 1.5);
    cluster.setPlatform({{"mode", "refuse"}});
    cluster.host(8).process->signal(SIGKILL);
    CHECK(eventually([&] { return stateOf(cluster, 0, "host-8") == "dead"; }, 10));
    cluster.host(8).process->wait();
    cluster.start(8);
    CHECK(cluster.waitServing({0, 1, 2, 3, 4, 5, 6, 7, 8}, 9, 15));
}

TEST_CASE("planned stops of each host under load interrupt no query", "[process][stop]")
{
    Cluster cluster({});
    QueryLoad load(cluster, 6, "doorstep-search");
    for (std::size_t n = 0; n < cluster.size(); ++n) {
        const int before = load.responseCount();
        cluster.host(n).process->signal(SIGTERM);
        CHECK(cluster.host(n).process->wait() == 0);
        REQUIRE(eventually([&] { return load.responseCount() > before + 50; }));
        cluster.start(n);
        REQUIRE(cluster.waitServing({0, 1, 2}, 3));
    }
    const auto stats = load.finish();
    for (const auto &it : stats.problems)
        UNSCOPED_INFO(it);
    CHECK(stats.noResponse == 0);
    for (const auto &[code, count] : stats.codes) {
        INFO("code " << code << " count " << count);
        CHECK((code == 1000 || code == 1001));
    }
    CHECK(stats.mismatched + stats.mixedSnapshots + stats.misstatedCoverage == 0);
}

TEST_CASE("a rolling restart never exceeds a server's connection limit", "[process][stop]")
{
    // Each server accepts 25 connections: nine hosts use 2 each, which leaves 7 for connections of
    // stopped hosts that a server still holds while their successors connect.
    ClusterOptions options;
    options.hosts = 9;
    Cluster cluster(options);
    QueryLoad load(cluster, 12, "doorstep-search");
    for (const std::size_t n : {0, 3, 6}) {
        cluster.host(n).process->signal(SIGTERM);
        cluster.host(n).process->wait();
        cluster.start(n);
    }
    REQUIRE(cluster.waitServing({0, 1, 2, 3, 4, 5, 6, 7, 8}, 9));
    load.finish();
    CHECK(cluster.sumServerCounter("doorstep-search", "connections_refused") == 0);
    const auto counters = cluster.serverCounters();
    for (const auto &it : counters.at("doorstep-search"))
        CHECK(it.at("connections_peak").get<int>() <= 25);
}
