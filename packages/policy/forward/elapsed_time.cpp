#include "policy/forward/elapsed_time.h"

#include <algorithm>

namespace goldcrestline::policy::forward {

namespace {

// Length of a window. A maximum that is not reached again expires after the next window, so that a
// route whose callers change to shorter timeouts adapts. Long against the gaps between requests
// that arrive without delay.
constexpr core::Duration windowLength = std::chrono::seconds(10);

} // namespace

core::Millis ElapsedTimeEstimator::elapsed(const std::string &route, core::Millis remaining,
                                           core::TimePoint now)
{
    auto &maxima = m_maxima[route];
    if (now - maxima.startedAt > windowLength) {
        const bool stale = now - maxima.startedAt > 2 * windowLength;
        maxima.values = {core::Millis(0), stale ? core::Millis(0) : maxima.values[0]};
        maxima.startedAt = now;
    }
    maxima.values[0] = std::max(maxima.values[0], remaining);
    return std::max(maxima.values[0], maxima.values[1]) - remaining;
}

} // namespace goldcrestline::policy::forward
