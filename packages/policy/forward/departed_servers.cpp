#include "policy/forward/departed_servers.h"

namespace goldcrestline::policy::forward {

using core::TimePoint;

namespace {

// A restored copy of the store is seconds old, so that older removals are in it.
constexpr core::Duration removalRetention = std::chrono::minutes(5);

} // namespace

void DepartedServers::onRemoved(const std::string &id, core::WallMillis startedAt, TimePoint now)
{
    std::erase_if(m_removals,
                  [&](const auto &it) { return now - it.second.removedAt > removalRetention; });
    m_removals[id] = {startedAt, now};
}

void DepartedServers::onStoreRestored(TimePoint now)
{
    m_restoredAt = now;
}

bool DepartedServers::isHeld(const std::string &id, core::WallMillis startedAt, TimePoint now) const
{
    if (m_restoredAt == TimePoint{} || now >= m_restoredAt + m_entryLifetime)
        return false;
    const auto it = m_removals.find(id);
    return it != m_removals.end() && it->second.startedAt == startedAt
        && it->second.removedAt <= m_restoredAt;
}

} // namespace goldcrestline::policy::forward
