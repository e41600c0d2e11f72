#pragma once

#include "core/clock.h"

#include <array>
#include <string>
#include <unordered_map>

// Estimates how long callers have waited before their request reached this host.
namespace goldcrestline::policy::forward {

// Callers send their remaining timeout, which shrinks while they connect and with each retry. The
// maximum on a route is taken as the timeout of a caller that has not waited yet. Not thread-safe.
class ElapsedTimeEstimator
{
public:
    // Records a caller's remaining timeout and returns the time for which it has already waited.
    core::Millis elapsed(const std::string &route, core::Millis remaining, core::TimePoint now);

private:
    // Largest remaining timeouts of the current window and of the previous one.
    struct Maxima
    {
        std::array<core::Millis, 2> values{};
        core::TimePoint startedAt{};
    };

    std::unordered_map<std::string, Maxima> m_maxima;
};

} // namespace goldcrestline::policy::forward
