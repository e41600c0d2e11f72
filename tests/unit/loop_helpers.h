#pragma once

#include "core/clock.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <string>

// Helpers of the tests on the event loop.
namespace unit {

// Longest time that an exchange over the loopback interface may take.
constexpr auto exchangeTimeout = std::chrono::seconds(3);

// Request line and Host header of a request.
inline const std::string head = "GET /a HTTP/1.1\r\nHost: h\r\n";

// Runs the event loop until `done` returns true, at most for exchangeTimeout.
inline void runUntil(boost::asio::io_context &io, const std::function<bool()> &done)
{
    const auto deadline = goldcrestline::core::Clock::now() + exchangeTimeout;
    while (!done() && goldcrestline::core::Clock::now() < deadline) {
        io.restart();
        io.run_for(std::chrono::milliseconds(2));
    }
}

} // namespace unit
