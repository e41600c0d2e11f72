#include "policy/admission/concurrency_limiter.h"

#include <algorithm>

namespace goldcrestline::policy::admission {

namespace {

constexpr double minLimit = 2;
constexpr double decreaseFactor = 0.85;
// Least time between two decreases, so that one overload does not lower the limit several times.
constexpr core::Duration decreaseInterval = std::chrono::milliseconds(100);
constexpr core::Millis baseRetryAfter{200};

// Returns the share of the limit that queries of the priority may use.
double limitShare(config::Priority priority)
{
    switch (priority) {
    case config::Priority::Interactive:
        return 1.0;
    case config::Priority::Page:
        return 0.8;
    case config::Priority::Background:
        return 0.5;
    }
    return 1.0;
}

} // namespace

ConcurrencyLimiter::ConcurrencyLimiter(double initial, double maximum)
    : m_limit(initial), m_maximum(maximum)
{ }

bool ConcurrencyLimiter::admit(config::Priority priority)
{
    if (m_inFlight >= std::max(1.0, m_limit * limitShare(priority)))
        return false;
    ++m_inFlight;
    return true;
}

void ConcurrencyLimiter::finished(bool overloaded, core::TimePoint now)
{
    const bool utilized = m_inFlight * 2 >= static_cast<int>(m_limit);
    m_inFlight = std::max(0, m_inFlight - 1);
    if (overloaded) {
        if (now - m_decreasedAt < decreaseInterval)
            return;
        m_decreasedAt = now;
        m_limit = std::max(minLimit, m_limit * decreaseFactor);
        return;
    }
    if (utilized)
        m_limit = std::min(m_maximum, m_limit + 1 / m_limit);
}

core::Millis ConcurrencyLimiter::retryAfter(core::TimePoint now) const
{
    const bool recentlyOverloaded = now - m_decreasedAt < std::chrono::seconds(1);
    return recentlyOverloaded ? baseRetryAfter * 5 : baseRetryAfter;
}

} // namespace goldcrestline::policy::admission
