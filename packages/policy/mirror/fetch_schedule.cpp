#include "policy/mirror/fetch_schedule.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace goldcrestline::policy::mirror {

using core::Duration;
using core::TimePoint;

namespace {

constexpr int maxDoublings = 8;

} // namespace

FetchSchedule::FetchSchedule(FetchTimings timings, std::function<double()> random)
    : m_timings(timings), m_random(std::move(random))
{ }

void FetchSchedule::onReport(const std::string &address, bool sameZone, std::uint64_t version,
                             Duration delay, TimePoint now)
{
    if (version <= m_own) {
        m_sources.erase(address);
        return;
    }
    m_sources[address] = {version, sameZone};
    m_newest = std::max(m_newest, version);
    m_dueAt = std::min(m_dueAt.value_or(now + delay), now + delay);
}

void FetchSchedule::onOwnVersion(std::uint64_t version)
{
    m_own = std::max(m_own, version);
    m_newest = std::max(m_newest, m_own);
    std::erase_if(m_sources, [this](const auto &it) { return it.second.version <= m_own; });
    if (m_newest == m_own)
        m_dueAt.reset();
}

std::optional<std::string> FetchSchedule::next(TimePoint now)
{
    if (!m_inFlight.empty() || !overdue(now) || now < m_notBefore)
        return std::nullopt;
    std::pair<std::uint64_t, bool> best{0, false};
    for (const auto &it : m_sources)
        best = std::max(best, {it.second.version, it.second.sameZone});
    std::vector<std::string> candidates;
    for (const auto &it : m_sources) {
        if (std::pair(it.second.version, it.second.sameZone) == best)
            candidates.push_back(it.first);
    }
    if (candidates.empty())
        return std::nullopt;
    const auto n = static_cast<double>(candidates.size());
    m_inFlight =
        candidates[std::min(candidates.size() - 1, static_cast<std::size_t>(m_random() * n))];
    return m_inFlight;
}

void FetchSchedule::onEnded(bool succeeded, TimePoint now)
{
    const auto address = std::exchange(m_inFlight, {});
    if (succeeded) {
        m_failures = 0;
        m_notBefore = now;
        return;
    }
    m_sources.erase(address);
    const auto delay = m_timings.initialRetryDelay * (1 << std::min(m_failures, maxDoublings));
    ++m_failures;
    m_notBefore = now + std::min<Duration>(delay, m_timings.maxRetryDelay);
}

} // namespace goldcrestline::policy::mirror
