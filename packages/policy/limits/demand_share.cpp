#include "policy/limits/demand_share.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace goldcrestline::policy::limits {

using core::TimePoint;

namespace {

// Time constant of the moving average of the own rate.
constexpr double averagingSeconds = 2;
// Age from which a report no longer counts; above the time between two exchanges with a host of a
// small fleet.
constexpr core::Duration reportLifetime = std::chrono::seconds(6);
// Least own rate that is assumed, as a fraction of the mean, so that a host whose callers have just
// arrived does not start without a share.
constexpr double minRateFraction = 0.1;

} // namespace

void DemandShare::onRequests(std::uint64_t requests, TimePoint now)
{
    const double seconds = std::chrono::duration<double>(now - m_updatedAt).count();
    const bool first = m_updatedAt == TimePoint{};
    const auto added = static_cast<double>(requests - m_lastRequests);
    m_lastRequests = requests;
    m_updatedAt = now;
    if (first || seconds <= 0)
        return;
    const double weight = 1 - std::exp(-seconds / averagingSeconds);
    m_perSecond += weight * (added / seconds - m_perSecond);
}

void DemandShare::onReport(const std::string &host, double perSecond, TimePoint now)
{
    if (!std::isfinite(perSecond) || perSecond < 0)
        return;
    m_reports[host] = {perSecond, now};
}

void DemandShare::update(const std::vector<std::string> &others, TimePoint now)
{
    std::erase_if(m_reports,
                  [&](const auto &it) { return now - it.second.receivedAt > reportLifetime; });
    double reported = 0;
    for (const auto &it : m_reports)
        reported += it.second.perSecond;
    const auto unknown = std::count_if(others.begin(), others.end(), [&](const std::string &it) {
        return m_reports.count(it) == 0;
    });
    const double mean = (m_perSecond + reported) / static_cast<double>(m_reports.size() + 1);
    if (mean <= 0) {
        m_share = 1 / static_cast<double>(others.size() + 1);
        return;
    }
    const double own = std::max(m_perSecond, minRateFraction * mean);
    m_share = own / (own + reported + mean * static_cast<double>(unknown));
}

} // namespace goldcrestline::policy::limits
