#pragma once

#include "core/clock.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

// Decides how a host keeps a copy of one kind of stored objects: list once, then watch, list again
// when history is lost, back off while the store fails.
namespace goldcrestline::policy::mirror {

struct MirrorTimings
{
    // Pauses between failed calls grow from the first to the longest.
    core::Duration firstPause = std::chrono::milliseconds(150);
    core::Duration longestPause = std::chrono::milliseconds(1500);
    // Objects that vanish this soon after an outage are kept: their owners may write them again.
    core::Duration returnGrace = std::chrono::milliseconds(2500);
    // Pause between a change and the next watch, so that changes that come in series cost one call.
    // It doubles while changes keep coming, up to the longest, which is a fifth of the shortest
    // time in which a change has to be in force.
    core::Duration firstSettle = std::chrono::milliseconds(40);
    core::Duration longestSettle = std::chrono::milliseconds(600);
};

// Asks for a page of the list that begins after a name.
struct ListStep
{
    std::string after;
};
// Asks for the changes since a revision.
struct WatchStep
{
    std::uint64_t revision = 0;
};
using Step = std::variant<ListStep, WatchStep>;

// State of one kind's copy. Not thread-safe.
class Mirror
{
public:
    // `jitter` returns a number in [0.5, 1) that spreads the pauses of many hosts.
    Mirror(MirrorTimings times, std::function<double()> jitter);

    // Returns the call to make now; nothing while one is under way or a pause lasts.
    std::optional<Step> next(core::TimePoint now);

    // Takes a page of the list: the names on it.
    void onPage(const std::vector<std::string> &names, bool more, std::uint64_t revision,
                core::TimePoint now);

    // Takes one change of a watch; call before onWatched().
    void onChange(const std::string &name, bool deleted, core::TimePoint now);

    // Takes the end of a watch that was answered.
    void onWatched(std::uint64_t revision, bool changed, core::TimePoint now);

    // Takes the news that the history since the watched revision was dropped.
    void onHistoryLost(core::TimePoint now);

    // Takes a call that failed, with the pause that the store asked for.
    void onFailure(std::optional<core::Duration> retryAfter, core::TimePoint now);

    // Takes a hint that the copy is behind: the call under way was given up.
    void onBehind(core::TimePoint now);

    // Returns the names that are gone for good by now.
    std::vector<std::string> takeRemovals(core::TimePoint now);

    // Tells whether a whole list was read once.
    bool complete() const { return m_complete; }
    // Tells whether the last call failed.
    bool failing() const { return m_failures > 0; }
    std::uint64_t revision() const { return m_revision; }

private:
    void succeed(core::TimePoint now);
    core::Duration settleTime(core::TimePoint now);
    void removeLater(const std::string &name, core::TimePoint now);

    MirrorTimings m_times;
    std::function<double()> m_jitter;
    bool m_underWay = false;
    bool m_listing = true;
    bool m_complete = false;
    std::string m_after;
    std::uint64_t m_revision = 0;
    // Revision of the list's first page: changes made while paging are watched from there.
    std::uint64_t m_listRevision = 0;
    core::TimePoint m_nextAt{};
    // When the last call was made.
    core::TimePoint m_calledAt{};
    // The pause after the last change.
    core::Duration m_settle{};
    int m_failures = 0;
    std::optional<core::TimePoint> m_recoveredAt;
    std::set<std::string> m_known;
    std::set<std::string> m_seen;
    std::map<std::string, core::TimePoint> m_removals;
};

} // namespace goldcrestline::policy::mirror
