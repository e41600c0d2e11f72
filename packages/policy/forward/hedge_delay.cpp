#include "policy/forward/hedge_delay.h"

#include <algorithm>

namespace goldcrestline::policy::forward {

namespace {

// Share of responses that exceed the hedge delay. Below the share of extra attempts that the
// platform allows, so that the retry budget is not exhausted by hedges.
constexpr double tailShare = 0.12;
// Adjustment per sample, relative to the tracked latency.
constexpr double relativeStep = 0.05;
// Initial value relative to the first sample, which is assumed to be a typical response; the tail
// latency is about twice the typical one.
constexpr double initialFactor = 2;
// Delay before there are samples, in ms: twice the latency of a short request.
constexpr double defaultDelayMs = 20;
// Bounds of the hedge delay, in ms.
constexpr double minDelayMs = 4;
constexpr double maxDelayMs = 2000;

} // namespace

void HedgeDelayTracker::add(const std::string &route, core::Duration latency)
{
    const double ms = core::toMillis(latency);
    const auto [it, first] = m_tailLatencyMs.try_emplace(route, initialFactor * ms);
    if (first)
        return;
    // Steps up and down are in inverse ratio to the expected shares of samples above and below, so
    // that the value converges to the quantile.
    auto &tail = it->second;
    const double step = relativeStep * tail;
    tail += ms > tail ? step * (1 - tailShare) : -step * tailShare;
}

core::Duration HedgeDelayTracker::hedgeDelay(const std::string &route) const
{
    const auto it = m_tailLatencyMs.find(route);
    const double tail = it == m_tailLatencyMs.end() ? defaultDelayMs : it->second;
    return std::chrono::duration_cast<core::Duration>(
        std::chrono::duration<double, std::milli>(std::clamp(tail, minDelayMs, maxDelayMs)));
}

} // namespace goldcrestline::policy::forward
