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
        : TokenBucket(rate, burst, burst, now)
    { }

    // The bucket starts with `tokens`.
    TokenBucket(double rate, double burst, double tokens, core::TimePoint now)
        : m_rate(rate), m_burst(burst), m_tokens(std::min(tokens, burst)), m_filledAt(now)
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

    // Removes one token and returns whether the holder may use it. With a fraction of a token, the
    // answer is true with that probability (`random` is uniform in [0, 1)), so that many buckets
    // that each hold a small fraction give out their sum on average.
    bool takeByChance(double random, core::TimePoint now)
    {
        fill(now);
        const bool taken = random < m_tokens;
        m_tokens = std::max(0.0, m_tokens - 1);
        return taken;
    }

    // Adds tokens, up to the burst size.
    void add(double tokens) { m_tokens = std::min(m_burst, m_tokens + tokens); }

    // Discards tokens above `most`.
    void discardAbove(double most, core::TimePoint now)
    {
        fill(now);
        m_tokens = std::min(m_tokens, most);
    }

    // Returns the time until the bucket holds a whole token; at most `longest`.
    core::Duration untilToken(core::Duration longest) const
    {
        const double missing = std::max(0.0, 1 - m_tokens);
        if (missing == 0)
            return core::Duration{0};
        const double seconds = std::chrono::duration<double>(longest).count();
        if (m_rate * seconds <= missing)
            return longest;
        return std::chrono::duration_cast<core::Duration>(
            std::chrono::duration<double>(missing / m_rate));
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
