#pragma once

#include <array>
#include <cstdint>

namespace goldcrestline::daemon::forward {

// Upper ends of the latency histogram's buckets; a last one holds what is longer.
inline constexpr std::array<int, 9> latencyBucketsMs{5, 10, 20, 40, 80, 160, 320, 640, 1280};

// Counters of forwarded requests since the start.
struct ForwardCounters
{
    std::uint64_t requests = 0;
    std::uint64_t answered = 0;
    std::uint64_t refused = 0;
    std::uint64_t failed = 0;
    std::uint64_t timedOut = 0;
    // Callers that closed before their answer.
    std::uint64_t left = 0;
    // Answers without the parts of some shards.
    std::uint64_t thin = 0;
    std::uint64_t attempts = 0;
    std::uint64_t extraAttempts = 0;
    std::array<std::uint64_t, latencyBucketsMs.size() + 1> latency{};

    // Counts an answer that took `ms`.
    void addLatency(double ms)
    {
        std::size_t i = 0;
        while (i < latencyBucketsMs.size() && ms > latencyBucketsMs[i])
            ++i;
        ++latency[i];
    }
};

} // namespace goldcrestline::daemon::forward
