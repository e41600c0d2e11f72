#pragma once

#include "core/clock.h"

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>

namespace goldcrestline::policy::forward {

// Keeps servers whose entries were removed out of use when a restored store or a late heartbeat
// brings the entries back. The store removes the entry of a server that has left or died again
// after its entry lifetime, so an entry that is still listed after that time belongs to a live
// server. Not thread-safe.
class DepartedServers
{
public:
    // `entryLifetime`: time after which the store removes the entry of a silent server.
    explicit DepartedServers(core::Duration entryLifetime) : m_entryLifetime(entryLifetime) { }

    // Records that the entry of a server process was removed. `sequence`: that of its last
    // heartbeat.
    void onRemoved(const std::string &id, core::WallMillis startedAt, std::int64_t sequence,
                   core::TimePoint now);

    // Records that the server is in use again.
    void onReturned(const std::string &id) { m_removals.erase(id); }

    // Records that the store was restored from an older copy.
    void onStoreRestored(core::TimePoint now);

    // Returns until when the entry of a server process must not be used; nothing if it may be used.
    // An entry that was removed before the store was restored is held back for the entry lifetime
    // after the restore, and one whose heartbeat is not newer than the removed one's for the entry
    // lifetime from now.
    std::optional<core::TimePoint> heldUntil(const std::string &id, core::WallMillis startedAt,
                                             std::int64_t sequence, core::TimePoint now) const;

private:
    struct Removal
    {
        core::WallMillis startedAt = 0;
        std::int64_t sequence = 0;
        core::TimePoint removedAt{};
    };

    core::Duration m_entryLifetime;
    core::TimePoint m_restoredAt{};
    std::unordered_map<std::string, Removal> m_removals;
};

} // namespace goldcrestline::policy::forward
