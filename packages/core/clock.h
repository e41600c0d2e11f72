#pragma once

#include <chrono>
#include <cstdint>
#include <ctime>

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

// Returns `d` in whole milliseconds, for logs and metrics. Thread-safe.
inline std::int64_t wholeMillis(Duration d)
{
    return std::chrono::duration_cast<Millis>(d).count();
}

// Returns the wall-clock time. Thread-safe.
inline WallMillis wallNow()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<Millis>(sinceEpoch).count();
}

// Clock that also counts the time for which the machine is suspended, unlike the steady clock. For
// deadlines that others rely on, such as the age of a proof.
struct BootClock
{
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<BootClock>;
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming): std::chrono

    // Thread-safe.
    static time_point now()
    {
        timespec at{};
        clock_gettime(CLOCK_BOOTTIME, &at);
        return time_point(std::chrono::seconds(at.tv_sec) + std::chrono::nanoseconds(at.tv_nsec));
    }
};
using BootTimePoint = BootClock::time_point;

} // namespace goldcrestline::core
