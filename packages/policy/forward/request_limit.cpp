#include "policy/forward/request_limit.h"

#include <algorithm>
#include <cmath>

namespace goldcrestline::policy::forward {

using core::TimePoint;

namespace {

constexpr double millisPerSecond = 1000;

} // namespace

RequestLimit::RequestLimit(double fleetPerSecond, TimePoint now, RequestLimitParameters parameters)
    : m_parameters(parameters), m_fleetPerSecond(usableRate(fleetPerSecond)),
      m_tokens(parameters.initialTokens), m_refilledAt(now)
{ }

double RequestLimit::usableRate(double fleetPerSecond) const
{
    return std::max(m_parameters.minPerSecond, m_parameters.usableFraction * fleetPerSecond);
}

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
    const double kept = m_parameters.burstSeconds * rate;
    const double total = m_tokens + seconds * rate;
    if (!m_parameters.tokensExpire || kept >= 1)
        return std::min(std::max(1.0, kept), total);
    // Each whole token is lost when it is older than the time for which it is kept.
    return total - std::max(0.0, std::floor(total - kept));
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
