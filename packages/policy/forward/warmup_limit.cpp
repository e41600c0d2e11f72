#include "policy/forward/warmup_limit.h"

#include <algorithm>
#include <cmath>

namespace goldcrestline::policy::forward {

using core::TimePoint;

namespace {

// Standard deviations of a Poisson process between the rate and the tolerances. 3.5 is exceeded in
// about one of 4000 windows; the hosts' tokens vary less than that.
constexpr double deviations = 3.5;
constexpr double usableFraction = 0.95;
// Time for which a token is kept, in mean intervals between the host's requests: a request arrives
// in it with a probability of 0.92.
constexpr double keptIntervals = 2.5;
constexpr double minKeptSeconds = 0.25;
constexpr double maxKeptSeconds = 6;
// The same while the demand is below the rate, so that few tokens are held when it rises.
constexpr double idleKeptSeconds = 0.25;
// Time for which what the server told overrides its entry, which is at most a heartbeat and its way
// to this host old.
constexpr core::Duration reportPrecedence = std::chrono::milliseconds(2500);

// Returns the rate, over all hosts, at which the tolerances in any second are kept.
double fleetRate(double perSecond, const WarmupShare &share)
{
    const double bound = perSecond * share.overshoot + share.slack;
    const double root = (std::sqrt(deviations * deviations + 4 * bound) - deviations) / 2;
    return std::min(usableFraction * perSecond, root * root);
}

double keptSeconds(double fleetPerSecond, const WarmupShare &share)
{
    const double demand = share.requestsPerSecond;
    if (demand <= fleetPerSecond * share.share)
        return idleKeptSeconds;
    return std::clamp(keptIntervals / demand, minKeptSeconds, maxKeptSeconds);
}

} // namespace

void WarmupLimit::set(core::Millis left, double perSecond, const WarmupShare &share,
                      const std::function<double()> &random, TimePoint now)
{
    const bool wasLimited = limits(now);
    m_coldUntil = now + left;
    if (left <= core::Millis(0) || perSecond <= 0) {
        m_limit.reset();
        return;
    }
    m_perSecond = perSecond;
    if (!wasLimited) {
        const double rate = fleetRate(perSecond, share);
        m_limit.emplace(rate, now,
                        RequestLimitParameters{1, 0, keptSeconds(rate, share), true, random()});
        m_share = share.share;
    }
    setShare(share, now);
}

void WarmupLimit::setShare(const WarmupShare &share, TimePoint now)
{
    if (!m_limit)
        return;
    const double rate = fleetRate(m_perSecond, share);
    // Until now tokens came at the earlier share.
    m_limit->setRate(rate, m_share, now);
    m_limit->setBurst(keptSeconds(rate, share));
    m_share = share.share;
}

bool WarmupLimit::reportedRecently(TimePoint now) const
{
    return m_reportedAt && now - *m_reportedAt < reportPrecedence;
}

core::Millis WarmupLimit::left(TimePoint now) const
{
    return std::max(core::Millis(0), std::chrono::ceil<core::Millis>(m_coldUntil - now));
}

bool WarmupLimit::allows(TimePoint now) const
{
    return !limits(now) || m_limit->allows(m_share, now);
}

double WarmupLimit::waitMs(TimePoint now) const
{
    return limits(now) ? m_limit->waitMs(m_share, now) : 0;
}

std::optional<double> WarmupLimit::perSecond(TimePoint now) const
{
    return limits(now) ? std::optional(m_limit->perSecond(m_share)) : std::nullopt;
}

void WarmupLimit::onSent(TimePoint now)
{
    if (limits(now))
        m_limit->onSent(m_share, now);
}

void WarmupLimit::onNotCounted()
{
    if (m_limit)
        m_limit->onNotCounted();
}

} // namespace goldcrestline::policy::forward
