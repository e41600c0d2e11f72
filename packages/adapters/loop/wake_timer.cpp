#include "adapters/loop/wake_timer.h"

#include <algorithm>

namespace goldcrestline::adapters::loop {

WakeTimer::WakeTimer(boost::asio::io_context &io, std::function<void()> wake)
    : m_timer(io), m_wake(std::move(wake))
{ }

void WakeTimer::arm(core::TimePoint at, core::TimePoint now)
{
    const auto next = std::max(at, now);
    if (next >= m_armedAt)
        return;
    m_armedAt = next;
    m_timer.expires_at(next);
    m_timer.async_wait([this](boost::system::error_code ec) {
        // Cancelled, because the timer was armed for an earlier time.
        if (ec)
            return;
        m_armedAt = core::TimePoint::max();
        m_wake();
    });
}

} // namespace goldcrestline::adapters::loop
