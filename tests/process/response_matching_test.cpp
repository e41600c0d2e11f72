#include "query_load.h"

#include <catch2/catch.hpp>
#include <random>
#include <sys/socket.h>
#include <unistd.h>

using namespace harness;

namespace {

ClusterOptions fastAndSlowServices()
{
    ClusterOptions options;
    options.hosts = 1;
    options.services = R"({"services": {
        "fast": {"groups": 1, "slots": 64, "queue": 64, "connections": 400, "connect_ms": 0,
                 "service_ms": 2, "zone_delay_ms": 0, "tail_share": 0},
        "slow": {"groups": 1, "slots": 64, "queue": 64, "connections": 400, "connect_ms": 0,
                 "service_ms": 80, "zone_delay_ms": 0, "tail_share": 0}}})";
    options.lists = R"({"customers": {"app": {"plan": "p"}}, "plans": {"p": {"rate_per_s": 1000000,
        "services": {"fast": {"priority": "interactive"}, "slow": {"priority": "interactive"}}}}})";
    return options;
}

struct ResponseCounts
{
    // Responses to the caller's own query.
    std::atomic<int> matched{0};
    // Responses to another query.
    std::atomic<int> mismatched{0};
    // Failed connections and queries without a valid response.
    std::atomic<int> missing{0};
};

// Sends queries, each on a new connection, and closes 60% of the connections at a random time up to
// 5 ms after the request, before the response has been read.
void sendWithDisconnects(const std::string &address, unsigned seed, int wanted,
                         ResponseCounts &counts)
{
    std::mt19937 random(seed);
    for (int n = 0; counts.matched < wanted && counts.missing < 100; ++n) {
        const auto body = "{\"tag\":\"" + std::to_string(seed) + "." + std::to_string(n) + "\"}";
        const int fd = connectTo(address);
        if (fd < 0) {
            ++counts.missing;
            continue;
        }
        sendAll(fd, formatPost("/v1/query/fast", body));
        if (random() % 10 < 6) {
            std::this_thread::sleep_for(std::chrono::microseconds(random() % 5000));
            close(fd);
            continue;
        }
        const auto response = readResponses(fd, 1);
        close(fd);
        if (response.find(R"("echo":")" + expectedEcho(body) + "\"") != std::string::npos)
            ++counts.matched;
        else if (response.find("\"echo\"") != std::string::npos)
            ++counts.mismatched;
        else if (response.find("2021") == std::string::npos)
            ++counts.missing;
    }
}

} // namespace

TEST_CASE("20000 responses reach their own callers while other callers disconnect early",
          "[process][own]")
{
    Cluster cluster(fastAndSlowServices());
    ResponseCounts counts;
    constexpr int callerCount = 16;
    constexpr int wanted = 20000;
    std::vector<std::thread> threads;
    for (unsigned i = 0; i < callerCount; ++i)
        threads.emplace_back(sendWithDisconnects, cluster.host(0).callers, i, wanted,
                             std::ref(counts));
    for (auto &it : threads)
        it.join();
    CHECK(counts.matched >= wanted);
    CHECK(counts.mismatched == 0);
    CHECK(counts.missing == 0);
    CHECK(cluster.host(0).process->running());
}

TEST_CASE("pipelined requests are answered in order", "[process][own]")
{
    Cluster cluster(fastAndSlowServices());
    const auto slow = formatPost("/v1/query/slow", "{\"n\":1}");
    const auto fast = formatPost("/v1/query/fast", "{\"n\":2}");
    for (const bool oneWrite : {true, false}) {
        const int fd = connectTo(cluster.host(0).callers);
        if (oneWrite) {
            sendAll(fd, slow + fast);
        } else {
            sendAll(fd, slow);
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
            sendAll(fd, fast);
        }
        const auto responses = readResponses(fd, 2);
        close(fd);
        const auto first = responses.find(expectedEcho("{\"n\":1}"));
        const auto second = responses.find(expectedEcho("{\"n\":2}"));
        INFO(responses);
        CHECK(first != std::string::npos);
        CHECK(second != std::string::npos);
        CHECK(first < second);
    }
}

TEST_CASE("malformed and oversized input is rejected with an error response and the process keeps "
          "running",
          "[process][input]")
{
    auto options = fastAndSlowServices();
    options.settings = {{"callers.read_ms", "400"}};
    Cluster cluster(options);
    const auto &address = cluster.host(0).callers;
    const auto responseTo = [&](const std::string &bytes, bool halfClose = false) {
        const int fd = connectTo(address);
        sendAll(fd, bytes);
        if (halfClose)
            shutdown(fd, SHUT_WR);
        const auto response = readResponses(fd, 1, 3);
        close(fd);
        return response;
    };
    const std::string head = "POST /v1/query/fast HTTP/1.1\r\nHost: x\r\nX-Customer: app\r\n";
    CHECK(responseTo("nonsense\r\n\r\n").find("HTTP/1.1 400") == 0);
    CHECK(responseTo(head + "Content-Length: -5\r\n\r\n").find("HTTP/1.1 400") == 0);
    CHECK(responseTo(head + "Content-Length: 99999999999999999999999\r\n\r\n").find("HTTP/1.1 4")
          == 0);
    CHECK(responseTo(head + "Content-Length: 2000000\r\n\r\n").find("HTTP/1.1 413") == 0);
    CHECK(responseTo(head + "X-Long: " + std::string(40000, 'x') + "\r\n\r\n").find("HTTP/1.1 4")
          == 0);
    // The body does not arrive within read_ms: there must be no success response.
    CHECK(responseTo(head + "Content-Length: 10\r\n\r\nabc").find("HTTP/1.1 2")
          == std::string::npos);
    CHECK(responseTo(head + "Content-Length: 10\r\n\r\nabc", true).find("HTTP/1.1 2")
          == std::string::npos);
    const std::string large(1 << 20, 'x');
    CHECK(cluster.query(0, "fast", large).status == 200);
    CHECK(cluster.query(0, "fast", large + "x").status == 413);
    CHECK(post(address + "/v1/nothing", "{}").status == 404);
    CHECK(parsed(post(address + "/v1/query/fast", "{}")).at("code") == 2010);
    CHECK(cluster.query(0, "fast", "{}", 1000, "nobody").status == 403);
    CHECK(cluster.query(0, "none").status == 403);
    CHECK(cluster.query(0, "fast", "{}", 0).status == 400);
    CHECK(cluster.query(0, "fast").status == 200);
    CHECK(cluster.host(0).process->running());
}

TEST_CASE("responses to other queries and truncated responses are never used", "[process][own]")
{
    Cluster cluster({});
    cluster.setServers({{"service", "doorstep-search"}},
                       {{"wrong_query_share", 0.2}, {"truncate_share", 0.2}});
    QueryLoad load(cluster, 8, "doorstep-search");
    REQUIRE(eventually([&] { return load.responseCount() > 600; }, 60));
    const auto stats = load.finish();
    CHECK(stats.mismatched == 0);
    CHECK(stats.mixedSnapshots == 0);
    CHECK(stats.misstatedCoverage == 0);
    CHECK(stats.noResponse == 0);
}
