#pragma once

#include "core/clock.h"

#include <memory>

namespace goldcrestline::core {

// Estimated quantile of recent samples (P-square algorithm of Boost.Accumulators). Two estimators,
// of the current and of the previous half window, approximate a sliding window.
// Not thread-safe.
class QuantileWindow
{
public:
    // Preconditions: 0 < quantile < 1, window > 0.
    QuantileWindow(double quantile, Duration window);
    ~QuantileWindow();
    QuantileWindow(QuantileWindow &&) noexcept;
    QuantileWindow &operator=(QuantileWindow &&) noexcept;

    // Adds a sample in milliseconds.
    void add(double value, TimePoint now);

    // Returns the quantile in milliseconds, or `fallback` if there are too few recent samples.
    double value(double fallback, TimePoint now) const;

private:
    struct HalfWindows;
    void rotate(TimePoint now);

    double m_quantile;
    Duration m_window;
    std::unique_ptr<HalfWindows> m_halfWindows;
};

} // namespace goldcrestline::core
