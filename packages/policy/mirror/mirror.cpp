#include "policy/mirror/mirror.h"

#include <algorithm>

namespace goldcrestline::policy::mirror {

using core::TimePoint;

namespace {

// Doublings after which the pause stays at its longest.
constexpr int mostDoublings = 6;

} // namespace

Mirror::Mirror(MirrorTimings times, std::function<double()> jitter)
    : m_times(times), m_jitter(std::move(jitter))
{ }

std::optional<Step> Mirror::next(TimePoint now)
{
    if (m_underWay || now < m_nextAt)
        return std::nullopt;
    m_underWay = true;
    m_calledAt = now;
    if (m_listing)
        return ListStep{m_after};
    return WatchStep{m_revision};
}

void Mirror::succeed(TimePoint now)
{
    m_underWay = false;
    if (m_failures > 0)
        m_recoveredAt = now;
    m_failures = 0;
    m_nextAt = now;
}

void Mirror::onPage(const std::vector<std::string> &names, bool more, std::uint64_t revision,
                    TimePoint now)
{
    succeed(now);
    if (m_after.empty()) {
        m_seen.clear();
        m_listRevision = revision;
    }
    for (const auto &it : names) {
        m_seen.insert(it);
        m_removals.erase(it);
    }
    if (more && !names.empty()) {
        m_after = names.back();
        return;
    }
    for (const auto &it : m_known) {
        if (m_seen.count(it) == 0)
            removeLater(it, now);
    }
    for (const auto &it : m_removals)
        m_seen.insert(it.first);
    m_known = std::move(m_seen);
    m_seen.clear();
    m_after.clear();
    m_listing = false;
    m_complete = true;
    m_revision = m_listRevision;
}

void Mirror::onChange(const std::string &name, bool deleted, TimePoint now)
{
    if (deleted)
        return removeLater(name, now);
    m_known.insert(name);
    m_removals.erase(name);
}

void Mirror::removeLater(const std::string &name, TimePoint now)
{
    if (m_known.count(name) == 0 || m_removals.count(name) != 0)
        return;
    const bool afterOutage =
        m_failures > 0 || (m_recoveredAt && now < *m_recoveredAt + m_times.returnGrace);
    m_removals[name] = afterOutage ? now + m_times.returnGrace : now;
}

core::Duration Mirror::settleTime(TimePoint now)
{
    // A change that was not there soon after the call came after a calm.
    const bool series = m_settle > core::Duration{0} && now - m_calledAt < m_times.longestSettle;
    m_settle = series ? std::min(2 * m_settle, m_times.longestSettle) : m_times.firstSettle;
    return m_settle;
}

void Mirror::onWatched(std::uint64_t revision, bool changed, TimePoint now)
{
    succeed(now);
    m_revision = std::max(m_revision, revision);
    if (changed)
        m_nextAt = now + settleTime(now);
}

void Mirror::onHistoryLost(TimePoint now)
{
    succeed(now);
    m_listing = true;
    m_after.clear();
}

void Mirror::onFailure(std::optional<core::Duration> retryAfter, TimePoint now)
{
    m_underWay = false;
    auto pause = m_times.firstPause * (1 << std::min(m_failures, mostDoublings));
    pause = std::min(pause, m_times.longestPause);
    ++m_failures;
    if (retryAfter)
        pause = std::min(std::max(pause, *retryAfter), m_times.longestPause);
    m_nextAt = now + std::chrono::duration_cast<core::Duration>(pause * m_jitter());
}

void Mirror::onBehind(TimePoint now)
{
    m_underWay = false;
    m_nextAt = now;
}

std::vector<std::string> Mirror::takeRemovals(TimePoint now)
{
    std::vector<std::string> out;
    for (auto it = m_removals.begin(); it != m_removals.end();) {
        if (it->second > now) {
            ++it;
            continue;
        }
        out.push_back(it->first);
        m_known.erase(it->first);
        it = m_removals.erase(it);
    }
    return out;
}

} // namespace goldcrestline::policy::mirror
