#pragma once

#include "core/clock.h"

#include <cstdint>

// Tells whether a host is too busy to carry its zone's callers without the help of smaller hosts.
namespace goldcrestline::policy::entrypoints {

// Estimates the use of a host's processor from the requests that it sends to servers. Not
// thread-safe.
class ProcessorLoadEstimator
{
public:
    // `cores`: processor of the host in cores. Precondition: above 0.
    explicit ProcessorLoadEstimator(double cores) : m_cores(cores) { }

    // Takes the number of requests sent to servers since the start; returns whether the host is
    // strained. Call about every second.
    bool update(std::uint64_t sentRequests, core::TimePoint now);

    // Returns the estimated use of the processor, 0 to 1 and above.
    double use() const { return m_use; }

private:
    double m_cores;
    double m_use = 0;
    bool m_strained = false;
    std::uint64_t m_sentBefore = 0;
    core::TimePoint m_updatedAt{};
};

} // namespace goldcrestline::policy::entrypoints
