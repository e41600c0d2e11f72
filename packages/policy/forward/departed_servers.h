#pragma once

#include "core/clock.h"

#include <string>
#include <unordered_map>

namespace goldcrestline::policy::forward {

// Keeps servers whose entries were removed out of use when a restored store brings the entries
// back. The store removes the entry of a server that has left or died again after its entry
// lifetime, so an entry that is still listed after that time belongs to a live server. Not
// thread-safe.
class DepartedServers
{
public:
    // `entryLifetime`: time after which the store removes the entry of a silent server.
    explicit DepartedServers(core::Duration entryLifetime) : m_entryLifetime(entryLifetime) { }

    // Records that the entry of a server process was removed.
    void onRemoved(const std::string &id, core::WallMillis startedAt, core::TimePoint now);

    // Records that the store was restored from an older copy.
    void onStoreRestored(core::TimePoint now);

    // Returns whether the entry of a server process must not be used yet: it was removed before the
    // store was restored, and the restore was less than the entry lifetime ago.
    bool isHeld(const std::string &id, core::WallMillis startedAt, core::TimePoint now) const;

private:
    struct Removal
    {
        core::WallMillis startedAt = 0;
        core::TimePoint removedAt{};
    };

    core::Duration m_entryLifetime;
    core::TimePoint m_restoredAt{};
    std::unordered_map<std::string, Removal> m_removals;
};

} // namespace goldcrestline::policy::forward
