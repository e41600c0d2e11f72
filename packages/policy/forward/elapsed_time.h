#pragma once

#include "core/clock.h"

#include <array>
#include <string>
#include <unordered_map>

// Tells how long callers waited before a request reached this host.
namespace goldcrestline::policy::forward {

// Callers state how long they will still wait, which shrinks while they connect and with each
// retry. The longest statement on a route stands for a caller that just began. Not thread-safe.
class ElapsedTimeEstimator
{
public:
    // Takes a caller's statement and returns the time since it began.
    core::Millis elapsed(const std::string &route, core::Millis patience, core::TimePoint now);

private:
    // The longest statements of the running period and of the one before.
    struct Longest
    {
        std::array<core::Millis, 2> values{};
        core::TimePoint since{};
    };

    std::unordered_map<std::string, Longest> m_longest;
};

} // namespace goldcrestline::policy::forward
