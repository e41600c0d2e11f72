#include "query_load.h"

#include <catch2/catch.hpp>
#include <csignal>

using namespace harness;
using Clock = std::chrono::steady_clock;

TEST_CASE("a plan's rate limit applies to nine hosts together", "[process][limits]")
{
    constexpr double rate = 50;
    ClusterOptions options;
    options.hosts = 9;
    options.lists = defaultLists(rate);
    Cluster cluster(options);
    std::atomic<bool> stop{false};
    std::mutex mutex;
    std::vector<Clock::time_point> admitted;
    int rejected = 0;
    bool allHaveRetryAfter = true;
    std::vector<std::thread> threads;
    for (std::size_t n = 0; n < 9; ++n) {
        threads.emplace_back([&, n] {
            while (!stop) {
                const auto result = cluster.query(n, "doorstep-search");
                const std::lock_guard lock(mutex);
                if (result.status == 200) {
                    admitted.push_back(Clock::now());
                } else {
                    ++rejected;
                    allHaveRetryAfter &= result.headers.count("retry-after") == 1;
                }
            }
        });
    }
    std::this_thread::sleep_for(std::chrono::seconds(16));
    stop = true;
    for (auto &it : threads)
        it.join();
    // Largest number of queries admitted in any window of 10 s.
    std::size_t maxAdmitted = 0;
    std::size_t windowStart = 0;
    for (std::size_t i = 0; i < admitted.size(); ++i) {
        while (admitted[i] - admitted[windowStart] > std::chrono::seconds(10))
            ++windowStart;
        maxAdmitted = std::max(maxAdmitted, i - windowStart + 1);
    }
    std::cout << "most queries admitted within 10 s: " << maxAdmitted << " rejected: " << rejected
              << '\n';
    CHECK(static_cast<double>(maxAdmitted) <= 1.1 * 10 * rate);
    CHECK(static_cast<double>(maxAdmitted) >= 0.9 * 10 * rate);
    CHECK(rejected > 0);
    CHECK(allHaveRetryAfter);
}
