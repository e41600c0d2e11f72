#include "policy/mirror/watch_role.h"

#include "core/hash.h"

#include <algorithm>

namespace goldcrestline::policy::mirror {

using core::Duration;
using core::TimePoint;
using membership::Member;
using membership::MemberState;

void WatchRole::update(const std::vector<Member> &live, const Member &self, OwnState own,
                       TimePoint now)
{
    if (m_startedAt == TimePoint{})
        m_startedAt = now;
    auto hosts = live;
    std::erase_if(hosts, [&](const Member &it) {
        return it.zone != self.zone || it.leaving || it.state != MemberState::Alive;
    });
    const bool shared = hosts.size() >= m_timings.minSharedHosts;
    std::sort(hosts.begin(), hosts.end(), [](const Member &a, const Member &b) {
        return core::rendezvousWeight(a.name, "store") > core::rendezvousWeight(b.name, "store");
    });
    hosts.resize(std::min(hosts.size(), m_timings.watchersPerZone));
    const bool wasFollowed = m_followed;
    m_selected = std::any_of(hosts.begin(), hosts.end(),
                             [&](const Member &it) { return it.name == self.name; });
    m_followed = shared && m_selected;
    if (m_followed && !wasFollowed && m_watching)
        m_watchesOutdated = true;
    m_watchers.clear();
    if (shared && !m_followed) {
        for (const auto &it : hosts)
            m_watchers.push_back(it.peersAddress);
    }
    m_watching = shouldWatch(shared, own, now);
}

bool WatchRole::shouldWatch(bool shared, OwnState own, TimePoint now)
{
    if (m_followed)
        return true;
    const bool waited = now - m_startedAt >= m_startupDelay;
    if (!own.hasCopies)
        return waited;
    if (!shared) {
        m_followingSince = {};
        return m_watching || waited;
    }
    if (m_followingSince == TimePoint{})
        m_followingSince = now;
    const auto confirmedAt = std::max(m_confirmedAt, m_followingSince);
    if (now - confirmedAt > m_timings.maxConfirmationAge) {
        m_recoveredAt = now + m_timings.recoveryTime;
    } else if (!own.watchWorks) {
        // The store was down for all hosts: a watch of its own would begin with a list.
        m_recoveredAt = {};
    }
    return now < m_recoveredAt;
}

void WatchRole::onConfirmation(Duration age, TimePoint requestedAt)
{
    m_confirmedAt = std::max(m_confirmedAt, requestedAt - age);
}

std::optional<Duration> WatchRole::confirmationAge(TimePoint now) const
{
    if (m_confirmedAt == TimePoint{})
        return std::nullopt;
    return now - m_confirmedAt;
}

} // namespace goldcrestline::policy::mirror
