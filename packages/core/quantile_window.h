#pragma once

#include "core/clock.h"

#include <memory>

namespace goldcrestline::core {

// Quantiles of recent samples, kept in two halves of a sliding window (Boost.Accumulators).
// Not thread-safe.
class QuantileWindow
{
public:
    // Precondition: 0 < quantile < 1, window > 0.
    QuantileWindow(double quantile, Duration window);
    ~QuantileWindow();
    QuantileWindow(QuantileWindow &&) noexcept;
    QuantileWindow &operator=(QuantileWindow &&) noexcept;

    // Adds a sample in milliseconds.
    void add(double value, TimePoint now);

    // Returns the quantile in milliseconds, or `fallback` before enough samples came.
    double value(double fallback, TimePoint now) const;

private:
    struct Halves;
    void rotate(TimePoint now);

    double m_quantile;
    Duration m_window;
    std::unique_ptr<Halves> m_halves;
};

} // namespace goldcrestline::core
