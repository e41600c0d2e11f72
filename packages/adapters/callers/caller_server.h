#pragma once

#include "core/clock.h"
#include "ports/http_message.h"

#include <functional>
#include <memory>
#include <string>
#include <variant>

namespace goldcrestline::adapters::callers {

// Limits of one caller's connection.
struct CallerLimits
{
    std::uint64_t bodyBytes = 1 << 20;
    core::Millis readTimeout{5000};
    core::Millis idleTimeout{60000};
};

using CallerEvent = std::variant<ports::CallerCall, ports::CallerGone>;

// HTTP server on Boost.Beast for answers that come later. Each connection is an object of its
// own that reads the next request only after it answered the last.
class CallerServer
{
public:
    // Passes requests to `deliver`, which must be thread-safe. Answers requests that are
    // malformed, too large or too slow itself. Throws std::exception if it cannot listen.
    CallerServer(const std::string &address, CallerLimits limits,
                 std::function<void(CallerEvent)> deliver);
    // Stops and joins the thread.
    ~CallerServer();
    CallerServer(const CallerServer &) = delete;
    CallerServer &operator=(const CallerServer &) = delete;

    // From now on answers end their connections, idle connections are closed after `grace`, and
    // new ones are still served. Thread-safe.
    void finishConnections();

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace goldcrestline::adapters::callers
