#include "policy/forward/departed_servers.h"

namespace goldcrestline::policy::forward {

using core::TimePoint;

namespace {

// A restored copy of the store is seconds old, so that older removals are in it.
constexpr core::Duration removalRetention = std::chrono::minutes(5);

} // namespace

void DepartedServers::onRemoved(const std::string &id, core::WallMillis startedAt,
                                std::int64_t sequence, TimePoint now)
{
    std::erase_if(m_removals,
                  [&](const auto &it) { return now - it.second.removedAt > removalRetention; });
    m_removals[id] = {startedAt, sequence, now};
}

void DepartedServers::onStoreRestored(TimePoint now)
{
    m_restoredAt = now;
}

std::optional<TimePoint> DepartedServers::heldUntil(const std::string &id,
                                                    core::WallMillis startedAt,
                                                    std::int64_t sequence, TimePoint now) const
{
    const auto it = m_removals.find(id);
    if (it == m_removals.end() || it->second.startedAt != startedAt)
        return std::nullopt;
    const bool restored = m_restoredAt != TimePoint{} && it->second.removedAt <= m_restoredAt;
    if (restored && now < m_restoredAt + m_entryLifetime)
        return m_restoredAt + m_entryLifetime;
    if (!restored && sequence <= it->second.sequence)
        return now + m_entryLifetime;
    return std::nullopt;
}

} // namespace goldcrestline::policy::forward
