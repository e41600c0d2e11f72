#include "adapters/logging/line_rate_limiter.h"

#include <algorithm>
#include <chrono>

namespace goldcrestline::adapters::logging {

LineRateLimiter::LineRateLimiter(double perSecond, double burst, double reserve)
    : m_perSecond(perSecond), m_burst(burst), m_reserve(reserve), m_tokens(burst)
{ }

bool LineRateLimiter::tryAcquire(core::TimePoint now, bool important)
{
    if (m_refilledAt != core::TimePoint{}) {
        const double seconds = std::chrono::duration<double>(now - m_refilledAt).count();
        m_tokens = std::min(m_burst, m_tokens + std::max(0.0, seconds) * m_perSecond);
    }
    m_refilledAt = now;
    if (m_tokens < 1 + (important ? 0 : m_reserve)) {
        ++m_dropped;
        return false;
    }
    m_tokens -= 1;
    return true;
}

std::uint64_t LineRateLimiter::takeDropped()
{
    const auto unreported = m_dropped - m_reported;
    m_reported = m_dropped;
    return unreported;
}

} // namespace goldcrestline::adapters::logging
