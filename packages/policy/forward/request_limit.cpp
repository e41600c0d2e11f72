#include "policy/forward/request_limit.h"

#include <algorithm>

namespace goldcrestline::policy::forward {

using core::TimePoint;

namespace {

// Fraction of the limit that the hosts divide among themselves. The remainder covers hosts that do
// not know of the limit yet, such as restarted ones.
constexpr double usableFraction = 0.95;
// Lowest rate, over all hosts, at which a server gets requests: its answers tell when its limit
// ends.
constexpr double minPerSecond = 0.5;
// Requests that a host may send at once after a pause, as a time at its rate.
constexpr double burstSeconds = 0.25;
constexpr double millisPerSecond = 1000;

double usableRate(double fleetPerSecond)
{
    return std::max(minPerSecond, usableFraction * fleetPerSecond);
}

} // namespace

RequestLimit::RequestLimit(double fleetPerSecond, TimePoint now)
    : m_fleetPerSecond(usableRate(fleetPerSecond)), m_refilledAt(now)
{ }

void RequestLimit::setRate(double fleetPerSecond, double share, TimePoint now)
{
    m_tokens = tokens(share, now);
    m_refilledAt = now;
    m_fleetPerSecond = usableRate(fleetPerSecond);
}

double RequestLimit::tokens(double share, TimePoint now) const
{
    const double rate = perSecond(share);
    const double seconds = core::toMillis(now - m_refilledAt) / millisPerSecond;
    return std::min(std::max(1.0, burstSeconds * rate), m_tokens + seconds * rate);
}

void RequestLimit::onSent(double share, TimePoint now)
{
    m_tokens = tokens(share, now) - 1;
    m_refilledAt = now;
}

double RequestLimit::waitMs(double share, TimePoint now) const
{
    const double missing = 1 - tokens(share, now);
    return missing <= 0 ? 0 : missing / perSecond(share) * millisPerSecond;
}

} // namespace goldcrestline::policy::forward
