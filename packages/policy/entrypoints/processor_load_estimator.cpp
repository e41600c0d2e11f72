#include "policy/entrypoints/processor_load_estimator.h"

#include <chrono>

namespace goldcrestline::policy::entrypoints {

namespace {

// Processor time of one request to a server, callers included, in s (docs/MEASUREMENTS.md).
constexpr double requestCostS = 62e-6;
// Use of the processor from which requests wait noticeably for one another, and below which the
// host counts as calm again.
constexpr double strainedFrom = 0.4;
constexpr double calmBelow = 0.2;
// Weight of the newest period in the average.
constexpr double newestWeight = 0.5;

} // namespace

bool ProcessorLoadEstimator::update(std::uint64_t sentRequests, core::TimePoint now)
{
    const double seconds = std::chrono::duration<double>(now - m_updatedAt).count();
    const bool first = m_updatedAt == core::TimePoint{};
    const auto sent = static_cast<double>(sentRequests - m_sentBefore);
    m_sentBefore = sentRequests;
    m_updatedAt = now;
    if (first || seconds <= 0)
        return m_strained;
    const double use = sent * requestCostS / seconds / m_cores;
    m_use += newestWeight * (use - m_use);
    m_strained = m_use >= (m_strained ? calmBelow : strainedFrom);
    return m_strained;
}

} // namespace goldcrestline::policy::entrypoints
