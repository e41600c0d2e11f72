#include "policy/forward/patience.h"

#include <algorithm>

namespace goldcrestline::policy::forward {

namespace {

// Period after which a longest statement that is not repeated is forgotten, so that callers with a
// new deadline are judged by their own; long against the gaps between callers that just began.
constexpr core::Duration period = std::chrono::seconds(10);

} // namespace

core::Millis ElapsedTimeEstimator::elapsed(const std::string &route, core::Millis patience,
                                           core::TimePoint now)
{
    auto &longest = m_longest[route];
    if (now - longest.since > period) {
        const bool stale = now - longest.since > 2 * period;
        longest.values = {core::Millis(0), stale ? core::Millis(0) : longest.values[0]};
        longest.since = now;
    }
    longest.values[0] = std::max(longest.values[0], patience);
    return std::max(longest.values[0], longest.values[1]) - patience;
}

} // namespace goldcrestline::policy::forward
