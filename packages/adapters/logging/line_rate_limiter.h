#pragma once

#include "core/clock.h"

#include <cstdint>

namespace goldcrestline::adapters::logging {

// Limits the rate of log lines by a token bucket and counts the dropped lines. Not thread-safe.
class LineRateLimiter
{
public:
    // `perSecond`: average rate of lines; `burst`: lines that may be written at once; `reserve`:
    // part of the burst that only important lines may use.
    LineRateLimiter(double perSecond, double burst, double reserve = 0);

    // Takes a token for one line. Returns false, and counts the line as dropped, if none is
    // available.
    bool tryAcquire(core::TimePoint now, bool important = false);

    // Counts a line that was dropped for another reason.
    void countDropped() { ++m_dropped; }

    // Returns the number of lines dropped since the last call.
    std::uint64_t takeDropped();

    // Returns the number of lines dropped since the start.
    std::uint64_t dropped() const { return m_dropped; }

private:
    double m_perSecond;
    double m_burst;
    double m_reserve;
    double m_tokens;
    core::TimePoint m_refilledAt{};
    std::uint64_t m_dropped = 0;
    std::uint64_t m_reported = 0;
};

} // namespace goldcrestline::adapters::logging
