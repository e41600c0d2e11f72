#pragma once

#include <array>
#include <cstdint>

namespace goldcrestline::daemon::forward {

// Upper bounds of the latency histogram's buckets. One more bucket counts longer latencies.
inline constexpr std::array<int, 9> latencyBucketsMs{5, 10, 20, 40, 80, 160, 320, 640, 1280};

// Counters of forwarded requests since the process started.
struct ForwardCounters
{
    std::uint64_t answered = 0;
    std::uint64_t refused = 0;
    std::uint64_t failed = 0;
    std::uint64_t timedOut = 0;
    // Requests that were not sent on because they crash servers.
    std::uint64_t blocked = 0;
    // Requests whose caller disconnected before the response.
    std::uint64_t callersDisconnected = 0;
    // Successful responses that lack the parts of some shards.
    std::uint64_t partial = 0;
    std::uint64_t attempts = 0;
    // Retries and hedges.
    std::uint64_t extraAttempts = 0;
    // Servers that became known as leaving by their own responses.
    std::uint64_t serversLeaving = 0;
    // Servers that began to limit their requests per second.
    std::uint64_t serversLimited = 0;
    // Responses in which a server asked for no requests for a time.
    std::uint64_t restsRequested = 0;
    std::array<std::uint64_t, latencyBucketsMs.size() + 1> latency{};

    // Adds a call that took `ms` to the histogram.
    void addLatency(double ms)
    {
        std::size_t i = 0;
        while (i < latencyBucketsMs.size() && ms > latencyBucketsMs[i])
            ++i;
        ++latency[i];
    }
};

} // namespace goldcrestline::daemon::forward
