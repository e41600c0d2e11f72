#pragma once

#include "core/clock.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>

// Timer for the next time at which an event loop has work to do.
namespace goldcrestline::adapters::loop {

// Calls its hook at the earliest time for which it was armed since the hook was last called. Not
// thread-safe: used only on the event loop's thread.
class WakeTimer
{
public:
    // Precondition: the hook remains valid while the loop runs.
    WakeTimer(boost::asio::io_context &io, std::function<void()> wake);

    // Arms the timer for `at`, or for `now` if that is later. Has no effect if it is already armed
    // for an earlier time.
    void arm(core::TimePoint at, core::TimePoint now);

private:
    boost::asio::steady_timer m_timer;
    std::function<void()> m_wake;
    core::TimePoint m_armedAt = core::TimePoint::max();
};

} // namespace goldcrestline::adapters::loop
