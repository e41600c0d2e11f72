#include "callers.h"

#include <catch2/catch.hpp>
#include <csignal>

using namespace harness;
using Clock = std::chrono::steady_clock;

TEST_CASE("a plan's rate holds over nine hosts", "[process][limits]")
{
    constexpr double rate = 50;
    ClusterShape shape;
    shape.hosts = 9;
    shape.lists = smallLists(rate);
    Cluster cluster(shape);
    std::atomic<bool> stop{false};
    std::mutex mutex;
    std::vector<Clock::time_point> admitted;
    int refused = 0;
    bool retryAfter = true;
    std::vector<std::thread> threads;
    for (std::size_t n = 0; n < 9; ++n) {
        threads.emplace_back([&, n] {
            while (!stop) {
                const auto result = cluster.query(n, "doorstep-search");
                const std::lock_guard lock(mutex);
                if (result.status == 200) {
                    admitted.push_back(Clock::now());
                } else {
                    ++refused;
                    retryAfter &= result.headers.count("retry-after") == 1;
                }
            }
        });
    }
    std::this_thread::sleep_for(std::chrono::seconds(16));
    stop = true;
    for (auto &it : threads)
        it.join();
    std::size_t worst = 0;
    std::size_t from = 0;
    for (std::size_t i = 0; i < admitted.size(); ++i) {
        while (admitted[i] - admitted[from] > std::chrono::seconds(10))
            ++from;
        worst = std::max(worst, i - from + 1);
    }
    std::cout << "worst 10 s " << worst << " refused " << refused << '\n';
    CHECK(static_cast<double>(worst) <= 1.1 * 10 * rate);
    CHECK(static_cast<double>(worst) >= 0.9 * 10 * rate);
    CHECK(refused > 0);
    CHECK(retryAfter);
}
