#include "callers.h"

#include <catch2/catch.hpp>
#include <random>
#include <sys/socket.h>
#include <unistd.h>

using namespace harness;

namespace {

ClusterShape fastAndSlow()
{
    ClusterShape shape;
    shape.hosts = 1;
    shape.services = R"({"services": {
        "fast": {"groups": 1, "slots": 64, "queue": 64, "connections": 400, "connect_ms": 0,
                 "service_ms": 2, "zone_delay_ms": 0, "tail_share": 0},
        "slow": {"groups": 1, "slots": 64, "queue": 64, "connections": 400, "connect_ms": 0,
                 "service_ms": 80, "zone_delay_ms": 0, "tail_share": 0}}})";
    shape.lists = R"({"customers": {"app": {"plan": "p"}}, "plans": {"p": {"rate_per_s": 1000000,
        "services": {"fast": {"priority": "interactive"}, "slow": {"priority": "interactive"}}}}})";
    return shape;
}

struct Counts
{
    std::atomic<int> own{0};
    std::atomic<int> crossed{0};
    std::atomic<int> missing{0};
};

// One caller that hangs up at random before its answer.
void churn(const std::string &address, unsigned seed, int answersWanted, Counts &counts)
{
    std::mt19937 random(seed);
    for (int n = 0; counts.own < answersWanted && counts.missing < 100; ++n) {
        const auto body = "{\"tag\":\"" + std::to_string(seed) + "." + std::to_string(n) + "\"}";
        const int fd = connectTo(address);
        if (fd < 0) {
            ++counts.missing;
            continue;
        }
        sendAll(fd, postBytes("/v1/query/fast", body));
        if (random() % 10 < 6) {
            std::this_thread::sleep_for(std::chrono::microseconds(random() % 5000));
            close(fd);
            continue;
        }
        const auto answer = readAnswers(fd, 1);
        close(fd);
        if (answer.find(R"("echo":")" + echoOf(body) + "\"") != std::string::npos)
            ++counts.own;
        else if (answer.find("\"echo\"") != std::string::npos)
            ++counts.crossed;
        else if (answer.find("2021") == std::string::npos)
            ++counts.missing;
    }
}

} // namespace

TEST_CASE("callers that hang up never cross 20000 answers", "[process][own]")
{
    Cluster cluster(fastAndSlow());
    Counts counts;
    constexpr int callers = 16;
    constexpr int answers = 20000;
    std::vector<std::thread> threads;
    for (unsigned i = 0; i < callers; ++i)
        threads.emplace_back(churn, cluster.host(0).callers, i, answers, std::ref(counts));
    for (auto &it : threads)
        it.join();
    CHECK(counts.own >= answers);
    CHECK(counts.crossed == 0);
    CHECK(counts.missing == 0);
    CHECK(cluster.host(0).process->running());
}

TEST_CASE("pipelined requests are answered in order", "[process][own]")
{
    Cluster cluster(fastAndSlow());
    const auto slow = postBytes("/v1/query/slow", "{\"n\":1}");
    const auto fast = postBytes("/v1/query/fast", "{\"n\":2}");
    for (const bool oneWrite : {true, false}) {
        const int fd = connectTo(cluster.host(0).callers);
        if (oneWrite) {
            sendAll(fd, slow + fast);
        } else {
            sendAll(fd, slow);
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
            sendAll(fd, fast);
        }
        const auto answers = readAnswers(fd, 2);
        close(fd);
        const auto first = answers.find(echoOf("{\"n\":1}"));
        const auto second = answers.find(echoOf("{\"n\":2}"));
        INFO(answers);
        CHECK(first != std::string::npos);
        CHECK(second != std::string::npos);
        CHECK(first < second);
    }
}

TEST_CASE("bad input gets a clear refusal and the process lives", "[process][input]")
{
    auto shape = fastAndSlow();
    shape.settings = {{"callers.read_ms", "400"}};
    Cluster cluster(shape);
    const auto &address = cluster.host(0).callers;
    const auto answerTo = [&](const std::string &bytes, bool halfClose = false) {
        const int fd = connectTo(address);
        sendAll(fd, bytes);
        if (halfClose)
            shutdown(fd, SHUT_WR);
        const auto answer = readAnswers(fd, 1, 3);
        close(fd);
        return answer;
    };
    const std::string head = "POST /v1/query/fast HTTP/1.1\r\nHost: x\r\nX-Customer: app\r\n";
    CHECK(answerTo("nonsense\r\n\r\n").find("HTTP/1.1 400") == 0);
    CHECK(answerTo(head + "Content-Length: -5\r\n\r\n").find("HTTP/1.1 400") == 0);
    CHECK(answerTo(head + "Content-Length: 99999999999999999999999\r\n\r\n").find("HTTP/1.1 4")
          == 0);
    CHECK(answerTo(head + "Content-Length: 2000000\r\n\r\n").find("HTTP/1.1 413") == 0);
    CHECK(answerTo(head + "X-Long: " + std::string(40000, 'x') + "\r\n\r\n").find("HTTP/1.1 4")
          == 0);
    // Too slow: the connection is closed without an answer of another kind.
    CHECK(answerTo(head + "Content-Length: 10\r\n\r\nabc").find("HTTP/1.1 2") == std::string::npos);
    CHECK(answerTo(head + "Content-Length: 10\r\n\r\nabc", true).find("HTTP/1.1 2")
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

TEST_CASE("foreign, truncated and duplicate answers never count", "[process][own]")
{
    Cluster cluster({});
    cluster.setServers({{"service", "doorstep-search"}},
                       {{"wrong_query_share", 0.2}, {"truncate_share", 0.2}});
    Callers callers(cluster, 8, "doorstep-search");
    REQUIRE(eventually([&] { return callers.answers() > 600; }, 60));
    const auto seen = callers.finish();
    CHECK(seen.wrong == 0);
    CHECK(seen.mixed == 0);
    CHECK(seen.inflated == 0);
    CHECK(seen.lost == 0);
}
