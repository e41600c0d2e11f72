#pragma once

#include "core/clock.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace goldcrestline::daemon::forward {

// What happened to a request of a workspace.
enum class WorkspaceEvent {
    // A request arrived.
    Request,
    Answered,
    // Refused: without a valid key, since the configuration may be outdated, over the quota, or
    // because no server could take it in time.
    UnknownKey,
    Unproven,
    OverQuota,
    NoCapacity,
};
inline constexpr std::size_t workspaceEventCount = 6;

// Counters of one workspace, by event, since the process started.
using WorkspaceCounts = std::array<std::uint64_t, workspaceEventCount>;

// Counters by workspace. Not thread-safe.
class WorkspaceCounters
{
public:
    // Counts an event. Requests without a workspace have an empty name.
    void add(const std::string &workspace, WorkspaceEvent event, core::TimePoint now);

    // Returns the `limit` workspaces with most requests in the last minutes, that one first, and
    // the sum of all others under the name "other".
    std::vector<std::pair<std::string, WorkspaceCounts>> busiest(std::size_t limit,
                                                                 core::TimePoint now) const;

    // Returns the text form of the busiest 20 workspaces and the sum of the others. The lines of a
    // workspace that is no longer among them are missing until it is again.
    std::string format(core::TimePoint now) const;

    std::size_t size() const { return m_workspaces.size(); }

private:
    struct Entry
    {
        WorkspaceCounts counts{};
        // Number of requests, which halves with each half-life.
        double recent = 0;
        core::TimePoint updatedAt{};

        double recentAt(core::TimePoint now) const;
    };

    // Adds the workspaces without recent requests to the sum.
    void removeIdle(core::TimePoint now);

    std::unordered_map<std::string, Entry> m_workspaces;
    // Sum of the workspaces that were removed.
    WorkspaceCounts m_removed{};
    // Number of workspaces at which idle ones are removed.
    std::size_t m_sweepAt = 0;
};

} // namespace goldcrestline::daemon::forward
