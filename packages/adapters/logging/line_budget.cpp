#include "adapters/logging/line_budget.h"

#include <algorithm>
#include <chrono>

namespace goldcrestline::adapters::logging {

LineBudget::LineBudget(double perSecond, double burst)
    : m_perSecond(perSecond), m_burst(burst), m_lines(burst)
{ }

bool LineBudget::take(core::TimePoint now)
{
    if (m_filledAt != core::TimePoint{}) {
        const double seconds = std::chrono::duration<double>(now - m_filledAt).count();
        m_lines = std::min(m_burst, m_lines + std::max(0.0, seconds) * m_perSecond);
    }
    m_filledAt = now;
    if (m_lines < 1) {
        ++m_leftOut;
        return false;
    }
    m_lines -= 1;
    return true;
}

std::uint64_t LineBudget::takeLeftOut()
{
    const auto out = m_leftOut - m_told;
    m_told = m_leftOut;
    return out;
}

} // namespace goldcrestline::adapters::logging
