#pragma once

#include "core/clock.h"

#include <cstdint>

namespace goldcrestline::adapters::logging {

// Bounds the number of log lines and counts those left out. Not thread-safe.
class LineBudget
{
public:
    // `perSecond`: lines that may be written on average; `burst`: lines in a moment.
    LineBudget(double perSecond, double burst);

    // Takes one line from the budget; returns false, and counts the line as left out, when there is
    // none.
    bool take(core::TimePoint now);

    // Counts a line as left out for another reason.
    void leaveOut() { ++m_leftOut; }

    // Returns the lines left out since the last call.
    std::uint64_t takeLeftOut();

    // Returns the lines left out since the start.
    std::uint64_t leftOut() const { return m_leftOut; }

private:
    double m_perSecond;
    double m_burst;
    double m_lines;
    core::TimePoint m_filledAt{};
    std::uint64_t m_leftOut = 0;
    std::uint64_t m_told = 0;
};

} // namespace goldcrestline::adapters::logging
