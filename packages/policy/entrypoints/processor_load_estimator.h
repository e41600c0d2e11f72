#pragma once

#include "core/clock.h"

#include <cstdint>

// Detects that a host's processor utilization is so high that the zone's small hosts are needed as
// entry points too.
namespace goldcrestline::policy::entrypoints {

// Estimates a host's processor utilization from the rate of requests that it sends to servers, and
// derives the `strained` flag from it with hysteresis. Not thread-safe.
class ProcessorLoadEstimator
{
public:
    // `cores`: processor capacity of the host in cores. Precondition: above 0.
    explicit ProcessorLoadEstimator(double cores) : m_cores(cores) { }

    // Updates the estimate. `sentRequests` is the number of requests sent to servers since the
    // start of the process. Returns whether the host is strained. Call about every second.
    bool update(std::uint64_t sentRequests, core::TimePoint now);

    // Returns the estimated processor utilization: 1 is full use, an overloaded host exceeds it.
    double utilization() const { return m_utilization; }

private:
    double m_cores;
    double m_utilization = 0;
    bool m_strained = false;
    std::uint64_t m_lastSentRequests = 0;
    core::TimePoint m_updatedAt{};
};

} // namespace goldcrestline::policy::entrypoints
