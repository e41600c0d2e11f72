#pragma once

#include "core/clock.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>

// A timer that is set to the next work of an event loop.
namespace goldcrestline::adapters::loop {

// Calls its hook at the earliest time that it was set to since the last call. Not thread-safe:
// lives on the loop's thread.
class WakeTimer
{
public:
    // Precondition: the hook stays valid as long as the loop runs.
    WakeTimer(boost::asio::io_context &io, std::function<void()> wake);

    // Sets the timer to `at`, or to `now` if that is later, unless it is set to an earlier time.
    void arm(core::TimePoint at, core::TimePoint now);

private:
    boost::asio::steady_timer m_timer;
    std::function<void()> m_wake;
    core::TimePoint m_armedAt = core::TimePoint::max();
};

} // namespace goldcrestline::adapters::loop
