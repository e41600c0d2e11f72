#include "policy/forward/lateness.h"

#include <algorithm>

namespace goldcrestline::policy::forward {

namespace {

// Share of answers that take longer than the latency after which an attempt is hedged; below the
// share of extra attempts that the platform allows, so that retries find some of it left.
constexpr double lateShare = 0.08;
// Step of the tracked latency for one sample, relative to it.
constexpr double lateStep = 0.05;
// The first sample stands for a typical answer; a late one takes about twice as long.
constexpr double firstFactor = 2;
// Assumed before there are samples, in ms: twice a short request.
constexpr double unknownMs = 20;
// Bounds of the time after which an attempt is hedged, in ms.
constexpr double shortestMs = 4;
constexpr double longestMs = 2000;

} // namespace

void HedgeDelayTracker::add(const std::string &route, core::Duration latency)
{
    const double ms = core::toMillis(latency);
    const auto [it, first] = m_lateMs.try_emplace(route, firstFactor * ms);
    if (first)
        return;
    // Moves up and down in the ratio in which samples are above and below the quantile.
    auto &late = it->second;
    const double step = lateStep * late;
    late += ms > late ? step * (1 - lateShare) : -step * lateShare;
}

core::Duration HedgeDelayTracker::hedgeDelay(const std::string &route) const
{
    const auto it = m_lateMs.find(route);
    const double late = it == m_lateMs.end() ? unknownMs : it->second;
    return std::chrono::duration_cast<core::Duration>(
        std::chrono::duration<double, std::milli>(std::clamp(late, shortestMs, longestMs)));
}

} // namespace goldcrestline::policy::forward
