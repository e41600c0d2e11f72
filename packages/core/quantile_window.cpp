#include "core/quantile_window.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>

namespace goldcrestline::core {

namespace acc = boost::accumulators;

namespace {

constexpr std::size_t minimumSamples = 20;

using Accumulator =
    acc::accumulator_set<double, acc::stats<acc::tag::count, acc::tag::p_square_quantile>>;

} // namespace

struct QuantileWindow::Halves
{
    explicit Halves(double quantile)
        : current(acc::quantile_probability = quantile),
          previous(acc::quantile_probability = quantile)
    { }

    Accumulator current;
    Accumulator previous;
    TimePoint startedAt{};
};

QuantileWindow::QuantileWindow(double quantile, Duration window)
    : m_quantile(quantile), m_window(window), m_halves(std::make_unique<Halves>(quantile))
{ }

QuantileWindow::~QuantileWindow() = default;
QuantileWindow::QuantileWindow(QuantileWindow &&) noexcept = default;
QuantileWindow &QuantileWindow::operator=(QuantileWindow &&) noexcept = default;

void QuantileWindow::rotate(TimePoint now)
{
    if (now - m_halves->startedAt < m_window / 2)
        return;
    m_halves->previous = m_halves->current;
    m_halves->current = Accumulator(acc::quantile_probability = m_quantile);
    m_halves->startedAt = now;
}

void QuantileWindow::add(double value, TimePoint now)
{
    rotate(now);
    m_halves->current(value);
}

double QuantileWindow::value(double fallback, TimePoint now) const
{
    if (now - m_halves->startedAt > 2 * m_window)
        return fallback;
    if (acc::count(m_halves->current) >= minimumSamples)
        return acc::p_square_quantile(m_halves->current);
    if (acc::count(m_halves->previous) >= minimumSamples)
        return acc::p_square_quantile(m_halves->previous);
    return fallback;
}

} // namespace goldcrestline::core
