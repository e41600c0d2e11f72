#include "core/quantile_window.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>

namespace goldcrestline::core {

namespace acc = boost::accumulators;

namespace {

constexpr std::size_t minSamples = 20;

using Accumulator =
    acc::accumulator_set<double, acc::stats<acc::tag::count, acc::tag::p_square_quantile>>;

} // namespace

struct QuantileWindow::HalfWindows
{
    explicit HalfWindows(double quantile)
        : current(acc::quantile_probability = quantile),
          previous(acc::quantile_probability = quantile)
    { }

    Accumulator current;
    Accumulator previous;
    TimePoint startedAt{};
};

QuantileWindow::QuantileWindow(double quantile, Duration window)
    : m_quantile(quantile), m_window(window), m_halfWindows(std::make_unique<HalfWindows>(quantile))
{ }

QuantileWindow::~QuantileWindow() = default;
QuantileWindow::QuantileWindow(QuantileWindow &&) noexcept = default;
QuantileWindow &QuantileWindow::operator=(QuantileWindow &&) noexcept = default;

void QuantileWindow::rotate(TimePoint now)
{
    if (now - m_halfWindows->startedAt < m_window / 2)
        return;
    m_halfWindows->previous = m_halfWindows->current;
    m_halfWindows->current = Accumulator(acc::quantile_probability = m_quantile);
    m_halfWindows->startedAt = now;
}

void QuantileWindow::add(double value, TimePoint now)
{
    rotate(now);
    m_halfWindows->current(value);
}

double QuantileWindow::value(double fallback, TimePoint now) const
{
    if (now - m_halfWindows->startedAt > 2 * m_window)
        return fallback;
    if (acc::count(m_halfWindows->current) >= minSamples)
        return acc::p_square_quantile(m_halfWindows->current);
    if (acc::count(m_halfWindows->previous) >= minSamples)
        return acc::p_square_quantile(m_halfWindows->previous);
    return fallback;
}

} // namespace goldcrestline::core
