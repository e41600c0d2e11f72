#pragma once

#include "platform/records.h"
#include "policy/forward/backend_table.h"
#include "policy/forward/departed_servers.h"

#include <nlohmann/json.hpp>
#include <string>
#include <unordered_map>

namespace goldcrestline::daemon::forward {

// Applies the store's server entries to the backend table. Not thread-safe.
class ServerList
{
public:
    // `entryLifetime`: time after which the store removes the entry of a silent server.
    ServerList(policy::forward::BackendTable &backends, core::Duration entryLifetime)
        : m_backends(backends), m_departed(entryLifetime)
    { }

    // Applies an entry of the store. A malformed entry removes the server; an entry older than the
    // latest one of the same id is ignored. After a restore of the store, the entry of a server
    // that was removed before is held back.
    void onObject(const std::string &id, const nlohmann::json &spec, core::TimePoint now);

    // Removes the server whose entry was deleted.
    void onRemoved(const std::string &id, core::TimePoint now);

    // Records that the store was restored from an older copy.
    void onStoreRestored(core::TimePoint now) { m_departed.onStoreRestored(now); }

    // Applies the entries that are no longer held back. Call periodically.
    void tick(core::TimePoint now);

    // Adds the entries of another host's copy, for use until the store's list has been read.
    // Entries that are already known are kept.
    void loadFromPeer(const nlohmann::json &copy, core::TimePoint now);

    // Removes the entries from another host that the store's list did not contain.
    void dropPeerEntries(core::TimePoint now);

    // Returns all entries by id, as loadFromPeer() of another host reads them.
    nlohmann::json toJson() const;

private:
    // The latest entry of one id.
    struct LatestEntry
    {
        core::WallMillis startedAt = 0;
        std::int64_t sequence = 0;
        // The entry in the platform's JSON format.
        std::string text;
        // Received from another host and not yet from the store.
        bool fromPeer = false;
    };

    policy::forward::BackendTable &m_backends;
    std::unordered_map<std::string, LatestEntry> m_latest;
    policy::forward::DepartedServers m_departed;
    // Entries that are held back, by server id.
    std::unordered_map<std::string, nlohmann::json> m_held;
};

} // namespace goldcrestline::daemon::forward
