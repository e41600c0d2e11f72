#pragma once

#include "platform/records.h"
#include "policy/forward/backend_table.h"

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <unordered_map>

namespace goldcrestline::daemon::forward {

// Applies the store's server entries to the backend table. Not thread-safe.
class ServerList
{
public:
    explicit ServerList(policy::forward::BackendTable &backends) : m_backends(backends) { }

    // Applies an entry of the store. A malformed entry removes the server; an entry older than the
    // latest one of the same id is ignored.
    void onObject(const std::string &id, const nlohmann::json &spec);

    // Removes the server whose entry was deleted.
    void onRemoved(const std::string &id);

    // Adds the entries of another host's copy, for use until the store's list has been read.
    // Entries that are already known are kept.
    void loadFromPeer(const nlohmann::json &copy);

    // Removes the entries from another host that the store's list did not contain.
    void dropPeerEntries();

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
};

} // namespace goldcrestline::daemon::forward
