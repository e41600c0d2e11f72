#include "policy/forward/retry_delay.h"

#include <algorithm>

namespace goldcrestline::policy::forward {

namespace {

constexpr double minDelayMs = 60;
// Callers that stay away for longer would miss the recovery of a service whose wait is estimated
// too high.
constexpr double maxDelayMs = 5000;
// Width of the range of delays, relative to its lower end.
constexpr double relativeSpread = 4.0 / 3;

} // namespace

core::Millis retryDelay(core::Duration expectedWait, double random)
{
    const double lowest = std::clamp(core::toMillis(expectedWait), minDelayMs, maxDelayMs);
    return core::Millis(static_cast<std::int64_t>(lowest * (1 + relativeSpread * random)));
}

} // namespace goldcrestline::policy::forward
