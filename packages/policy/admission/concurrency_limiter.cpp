#include "policy/admission/service_limiter.h"

#include <algorithm>

namespace goldcrestline::policy::admission {

namespace {

constexpr double minimumLimit = 2;
constexpr double decrease = 0.85;
constexpr core::Duration decreasePause = std::chrono::milliseconds(100);
constexpr core::Millis baseRetryAfter{200};

double shareOf(config::Priority priority)
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
    if (m_inFlight >= std::max(1.0, m_limit * shareOf(priority)))
        return false;
    ++m_inFlight;
    return true;
}

void ConcurrencyLimiter::finished(bool strained, core::TimePoint now)
{
    const bool used = m_inFlight * 2 >= static_cast<int>(m_limit);
    m_inFlight = std::max(0, m_inFlight - 1);
    if (strained) {
        if (now - m_decreasedAt < decreasePause)
            return;
        m_decreasedAt = now;
        m_limit = std::max(minimumLimit, m_limit * decrease);
        return;
    }
    if (used)
        m_limit = std::min(m_maximum, m_limit + 1 / m_limit);
}

core::Millis ConcurrencyLimiter::retryAfter(core::TimePoint now) const
{
    const bool justStrained = now - m_decreasedAt < std::chrono::seconds(1);
    return justStrained ? baseRetryAfter * 5 : baseRetryAfter;
}

} // namespace goldcrestline::policy::admission
