#pragma once

#include "core/clock.h"

#include <algorithm>

namespace goldcrestline::policy::limits {

// Token bucket that is refilled at a constant rate up to the burst size. Not thread-safe.
class TokenBucket
{
public:
    // `rate` in tokens per second, `burst` in tokens. The bucket starts full.
    TokenBucket(double rate, double burst, core::TimePoint now)
        : m_rate(rate), m_burst(burst), m_tokens(burst), m_filledAt(now)
    { }

    // Changes rate and burst; tokens above the new burst are discarded.
    void setRate(double rate, double burst, core::TimePoint now)
    {
        fill(now);
        m_rate = rate;
        m_burst = burst;
        m_tokens = std::min(m_tokens, m_burst);
    }

    // Removes up to `wanted` whole tokens and returns how many were removed.
    int take(int wanted, core::TimePoint now)
    {
        fill(now);
        const int taken = std::min(wanted, static_cast<int>(m_tokens));
        m_tokens -= taken;
        return taken;
    }

private:
    void fill(core::TimePoint now)
    {
        const double seconds = core::toMillis(now - m_filledAt) / 1000;
        m_tokens = std::min(m_burst, m_tokens + m_rate * std::max(0.0, seconds));
        m_filledAt = std::max(m_filledAt, now);
    }

    double m_rate;
    double m_burst;
    double m_tokens;
    core::TimePoint m_filledAt;
};

} // namespace goldcrestline::policy::limits
