#pragma once

#include "core/clock.h"
#include "policy/membership/member.h"

#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace goldcrestline::policy::mirror {

struct WatchRoleTimings
{
    // Fewest hosts of a zone for which they share watchers. In smaller zones each host watches.
    std::size_t minSharedHosts = 7;
    std::size_t watchersPerZone = 2;
    // Age of the store's newest confirmation from which a follower watches the store itself. With
    // the time to poll the followed hosts it stays below the shortest time within which a change
    // must be in force on fleets of this size.
    core::Duration maxConfirmationAge = std::chrono::milliseconds(2500);
    // Time for which a host that found its confirmations too old goes on watching by itself, if it
    // reaches the store.
    core::Duration recoveryTime = std::chrono::seconds(5);
};

// Decides whether a host watches the store or follows hosts of its zone that do. In a large zone
// two hosts watch, selected by rendezvous hashing, so that calls to the store do not grow with the
// hosts. A follower watches by itself while its watchers do not confirm in time that they reach the
// store, and until it has copies. Not thread-safe.
class WatchRole
{
public:
    explicit WatchRole(WatchRoleTimings timings) : m_timings(timings) { }

    // Sets the time after the start in which the host waits for copies of other hosts before it
    // reads the store itself.
    void setStartupDelay(core::Duration delay) { m_startupDelay = delay; }

    // What this host has of its own.
    struct OwnState
    {
        // A copy of all that others watch.
        bool hasCopies = false;
        // Its own watches of the store work.
        bool watchWorks = false;
    };

    // Recomputes the role from the live hosts, `self` included. Call once per membership period.
    void update(const std::vector<membership::Member> &live, const membership::Member &self,
                OwnState own, core::TimePoint now);

    // Records that a followed host reported the age of its newest confirmation. Precondition:
    // `requestedAt` is the time at which the report was requested, so that the age is never
    // underestimated.
    void onConfirmation(core::Duration age, core::TimePoint requestedAt);

    // Returns whether this host watches the store.
    bool watching() const { return m_watching; }
    // Returns whether this host is one of the zone's watchers, which others follow.
    bool followed() const { return m_followed; }
    // Returns whether this host was watching when it became one that others follow; once each time.
    // Its watches in progress may last longer than followers wait for a confirmation.
    bool takeWatchesOutdated() { return std::exchange(m_watchesOutdated, false); }
    // Returns whether this host is among those of its zone that would watch for others, also while
    // the zone is too small to share watchers.
    bool selected() const { return m_selected; }
    // Returns the peer addresses of the hosts to follow; empty if there are none.
    const std::vector<std::string> &watchers() const { return m_watchers; }

    // Returns the age of the newest confirmation by a followed host; nothing if there is none.
    std::optional<core::Duration> confirmationAge(core::TimePoint now) const;

private:
    bool shouldWatch(bool shared, OwnState own, core::TimePoint now);

    WatchRoleTimings m_timings;
    core::Duration m_startupDelay{0};
    bool m_watching = false;
    bool m_followed = false;
    bool m_watchesOutdated = false;
    bool m_selected = false;
    std::vector<std::string> m_watchers;
    core::TimePoint m_startedAt{};
    core::TimePoint m_followingSince{};
    core::TimePoint m_confirmedAt{};
    // End of the recovery time after the last confirmation that was too old.
    core::TimePoint m_recoveredAt{};
};

} // namespace goldcrestline::policy::mirror
