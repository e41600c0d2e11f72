#include "policy/forward/warmup_share.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace goldcrestline::policy::forward {

using core::TimePoint;

namespace {

// Time for which a host that is no longer known as live may still send to cold servers: it may be
// cut off from this one only.
constexpr core::Duration lostHostTime = std::chrono::seconds(30);
// Time after the start in which this host may not know the demands of all hosts yet.
constexpr core::Duration learningTime = std::chrono::seconds(5);
// Time constants of the averages: long, since the demand of a host with about one request per
// second varies by more than its mean over seconds.
constexpr double shareAveragingSeconds = 30;
constexpr double rateAveragingSeconds = 10;
// Highest demand share that counts, as a multiple of the averaged one. Where demand begins
// everywhere, each host sees its own before the others' reports, which take up to 6 s, and would
// take itself to be the only one. The share grows by at most 5% in a second.
constexpr double maxShareRatio = 2.5;

} // namespace

void WarmupShareEstimator::update(double demandShare, double requestsPerSecond,
                                  const std::vector<std::string> &live, double evenShare,
                                  TimePoint now)
{
    if (m_startedAt == TimePoint{})
        m_startedAt = m_updatedAt = now;
    for (const auto &it : live)
        m_seenAt[it] = now;
    std::erase_if(m_seenAt, [&](const auto &it) { return now - it.second > lostHostTime; });
    const auto hosts = static_cast<double>(std::max<std::size_t>(m_seenAt.size(), 1));
    const double reached = static_cast<double>(live.size()) / hosts;
    const double seconds = std::chrono::duration<double>(now - m_updatedAt).count();
    m_updatedAt = now;
    const auto weight = [&](double averaging) { return 1 - std::exp(-seconds / averaging); };
    m_requestsPerSecond += weight(rateAveragingSeconds) * (requestsPerSecond - m_requestsPerSecond);
    if (now - m_startedAt < learningTime) {
        m_share = evenShare * reached;
        return;
    }
    const double target = std::min(demandShare * reached, maxShareRatio * m_share);
    m_share += weight(shareAveragingSeconds) * (target - m_share);
}

} // namespace goldcrestline::policy::forward
