#include "policy/mirror/mirror.h"

#include <algorithm>

namespace goldcrestline::policy::mirror {

using core::TimePoint;

namespace {

constexpr int maxBackoffDoublings = 6;

} // namespace

Mirror::Mirror(MirrorTimings times, std::function<double()> jitter)
    : m_times(times), m_jitter(std::move(jitter))
{ }

std::optional<Step> Mirror::next(TimePoint now)
{
    if (m_callInFlight || now < m_nextCallAt)
        return std::nullopt;
    m_callInFlight = true;
    m_lastCallAt = now;
    if (m_listing)
        return ListStep{m_cursor.after()};
    return WatchStep{m_revision, m_consecutiveFailures > 0 || m_watchAborted};
}

void Mirror::recordSuccess(TimePoint now)
{
    m_callInFlight = false;
    m_watchAborted = false;
    if (m_consecutiveFailures > 0)
        m_recoveredAt = now;
    m_consecutiveFailures = 0;
    m_nextCallAt = now;
}

void Mirror::onPage(const std::vector<std::string> &names, const std::optional<std::string> &next,
                    std::uint64_t revision, TimePoint now)
{
    recordSuccess(now);
    if (m_cursor.after().empty()) {
        m_listed.clear();
        m_listRevision = revision;
    }
    for (const auto &it : names) {
        m_listed.insert(it);
        m_removals.erase(it);
        m_missing.erase(it);
    }
    if (next && m_cursor.advance(*next))
        return;
    finishList(now);
}

void Mirror::finishList(TimePoint now)
{
    for (const auto &it : m_known) {
        if (m_listed.count(it) != 0)
            continue;
        if (m_cursor.mayHaveSkipped(it)) {
            m_listed.insert(it);
        } else {
            scheduleRemoval(it, now);
        }
    }
    for (const auto &it : m_removals)
        m_listed.insert(it.first);
    m_known = std::move(m_listed);
    m_listed.clear();
    m_cursor.restart();
    m_listing = false;
    m_complete = true;
    m_revision = m_listRevision;
}

void Mirror::onChange(const std::string &name, bool deleted, TimePoint now)
{
    if (deleted)
        return scheduleRemoval(name, now);
    m_known.insert(name);
    m_removals.erase(name);
    m_missing.erase(name);
}

void Mirror::scheduleRemoval(const std::string &name, TimePoint now)
{
    if (m_known.count(name) == 0 || m_removals.count(name) != 0)
        return;
    const bool afterOutage = m_consecutiveFailures > 0
        || (m_recoveredAt && now < *m_recoveredAt + m_times.removalGracePeriod);
    m_removals[name] = afterOutage ? now + m_times.removalGracePeriod : now;
    if (afterOutage)
        m_missing.insert(name);
}

core::Duration Mirror::nextBatchDelay(TimePoint now)
{
    // A watch that stayed open longer than the maximum delay means that no change came meanwhile,
    // so that the burst has ended.
    const bool burst =
        m_batchDelay > core::Duration{0} && now - m_lastCallAt < m_times.maxBatchDelay;
    m_batchDelay =
        burst ? std::min(2 * m_batchDelay, m_times.maxBatchDelay) : m_times.initialBatchDelay;
    return m_batchDelay;
}

void Mirror::onWatchResponse(std::uint64_t revision, bool changed, TimePoint now)
{
    recordSuccess(now);
    m_revision = std::max(m_revision, revision);
    if (changed)
        m_nextCallAt = now + nextBatchDelay(now);
}

void Mirror::onHistoryLost(TimePoint now)
{
    recordSuccess(now);
    m_listing = true;
    m_cursor.restart();
}

void Mirror::onStoreRestored(TimePoint now)
{
    onHistoryLost(now);
    m_listed.clear();
    m_recoveredAt = now;
}

void Mirror::restart(TimePoint now)
{
    onHistoryLost(now);
    m_listed.clear();
    m_complete = false;
}

void Mirror::addKnown(const std::vector<std::string> &names)
{
    m_known.insert(names.begin(), names.end());
}

void Mirror::onFailure(std::optional<core::Duration> retryAfter, TimePoint now)
{
    m_callInFlight = false;
    auto backoff =
        m_times.initialBackoff * (1 << std::min(m_consecutiveFailures, maxBackoffDoublings));
    backoff = std::min(backoff, m_times.maxBackoff);
    ++m_consecutiveFailures;
    if (retryAfter)
        backoff = std::min(std::max(backoff, *retryAfter), m_times.maxBackoff);
    m_nextCallAt = now + std::chrono::duration_cast<core::Duration>(backoff * m_jitter());
}

void Mirror::onRejected(TimePoint now)
{
    onFailure(std::nullopt, now);
    if (!m_listing) {
        m_listing = true;
        m_cursor.restart();
        // Lists take the place of the watches while the store rejects these.
        m_nextCallAt =
            now + std::chrono::duration_cast<core::Duration>(m_times.maxBackoff * m_jitter());
        return;
    }
    if (!m_cursor.after().empty() && !m_cursor.skip())
        finishList(now);
}

void Mirror::onWatchAborted(TimePoint now)
{
    m_callInFlight = false;
    m_watchAborted = true;
    m_nextCallAt = now;
}

std::vector<std::string> Mirror::takeMissing()
{
    std::vector<std::string> out(m_missing.begin(), m_missing.end());
    m_missing.clear();
    return out;
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
        m_missing.erase(it->first);
        it = m_removals.erase(it);
    }
    return out;
}

} // namespace goldcrestline::policy::mirror
