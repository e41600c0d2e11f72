#include "policy/entrypoints/processor_load_estimator.h"

#include <chrono>

namespace goldcrestline::policy::entrypoints {

namespace {

// Processor time per request to a server, including the work for its caller (docs/MEASUREMENTS.md).
constexpr double secondsPerRequest = 62e-6;
// Utilization from which queueing for the processor noticeably delays requests, and below which the
// host is no longer strained.
constexpr double strainedThreshold = 0.4;
constexpr double recoveredThreshold = 0.2;
// Weight of the newest period in the exponential moving average.
constexpr double smoothingFactor = 0.5;

} // namespace

bool ProcessorLoadEstimator::update(std::uint64_t sentRequests, core::TimePoint now)
{
    const double seconds = std::chrono::duration<double>(now - m_updatedAt).count();
    const bool first = m_updatedAt == core::TimePoint{};
    const auto sent = static_cast<double>(sentRequests - m_lastSentRequests);
    m_lastSentRequests = sentRequests;
    m_updatedAt = now;
    if (first || seconds <= 0)
        return m_strained;
    const double utilization = sent * secondsPerRequest / seconds / m_cores;
    m_utilization += smoothingFactor * (utilization - m_utilization);
    m_strained = m_utilization >= (m_strained ? recoveredThreshold : strainedThreshold);
    return m_strained;
}

} // namespace goldcrestline::policy::entrypoints
