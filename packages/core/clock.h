#pragma once

#include <chrono>
#include <cstdint>

// Time types. Decision logic takes the current time as an argument, so that tests can control it.
namespace goldcrestline::core {

using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;
using Duration = Clock::duration;
using Millis = std::chrono::milliseconds;

// Milliseconds since the Unix epoch; only for values that leave the process.
using WallMillis = std::int64_t;

// Returns `d` in milliseconds with a fraction. Thread-safe.
inline double toMillis(Duration d)
{
    return std::chrono::duration<double, std::milli>(d).count();
}

// Returns the wall-clock time. Thread-safe.
inline WallMillis wallNow()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<Millis>(sinceEpoch).count();
}

} // namespace goldcrestline::core
