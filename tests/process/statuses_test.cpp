#include "routed_cluster.h"

#include <catch2/catch.hpp>

// Responses of servers whose status is none of HTTP's.

using namespace harness;

namespace {

using Clock = std::chrono::steady_clock;

constexpr int callerTimeoutMs = 4000;
// A response that is none ends its attempt at once, long before the caller's deadline.
constexpr auto atOnce = std::chrono::milliseconds(callerTimeoutMs / 4);

const std::vector<std::string> invalidStatuses{"000", "001", "099", "101", "600", "999"};

int sendTimed(const RoutedCluster &cluster, const std::string &path, const std::string &id,
              const std::string &method = "GET")
{
    const auto from = Clock::now();
    const auto status = cluster.sendRequest(0, path, id, method, {}, callerTimeoutMs).status;
    CHECK(Clock::now() - from < atOnce);
    return status;
}

} // namespace

// Guards against such a response that reaches the caller, or for whose successor a host waits until
// the deadline.
TEST_CASE("a response with a status that is none is not an answer", "[process][statuses]")
{
    RoutedCluster cluster;
    for (const auto &status : invalidStatuses) {
        CAPTURE(status);
        // The others of the service answer.
        cluster.setBackends({{"id", "i-single-1"}, {"mode", "status-" + status}});
        for (int i = 0; i < 12; ++i)
            CHECK(sendTimed(cluster, "/one/x", status + "-a" + std::to_string(i)) == 200);
        // A request that may run once is not sent again.
        for (int i = 0; i < 12; ++i) {
            const auto id = status + "-b" + std::to_string(i);
            const int answer = sendTimed(cluster, "/claim/x", id, "POST");
            CHECK((answer == 200 || answer == 502));
            int runs = 0;
            for (const auto &it : cluster.runs())
                runs += it.at("ids").value(id, 0);
            CHECK(runs == 1);
        }
        cluster.setBackends({{"service", "single"}, {"mode", "status-" + status}});
        CHECK(sendTimed(cluster, "/one/x", status + "-c") == 502);
        CHECK(sendTimed(cluster, "/claim/x", status + "-d", "POST") == 502);
        cluster.setBackends({{"service", "single"}, {"mode", "up"}});
        // A part of a merged response.
        cluster.setBackends({{"service", "shard1"}, {"mode", "status-" + status}});
        const auto merged =
            cluster.sendRequest(0, "/all/x", status + "-e", "GET", {}, callerTimeoutMs);
        CHECK((merged.status == 200 || merged.status == 502));
        CHECK(merged.body.find("shard1") == std::string::npos);
        cluster.setBackends({{"service", "shard1"}, {"mode", "up"}});
        CHECK(eventually([&] {
            static int n = 0;
            const auto id = status + "-f" + std::to_string(++n);
            return cluster.sendRequest(0, "/all/x", id).status == 200
                && cluster.sendRequest(0, "/one/x", id + "g").status == 200;
        }));
    }
}
