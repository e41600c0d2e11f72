#pragma once

#include "core/version.h"
#include "platform/records.h"
#include "policy/forward/backend_table.h"
#include "policy/forward/departed_servers.h"

#include <deque>
#include <nlohmann/json.hpp>
#include <set>
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
    // latest one of the same id is ignored. The entry of a server that was removed before is held
    // back after a restore of the store, or if its heartbeat is not newer than the removed one's.
    void onObject(const std::string &id, const nlohmann::json &spec, core::TimePoint now);

    // Removes the server whose entry was deleted.
    void onRemoved(const std::string &id, core::TimePoint now);

    // Records that the entry is missing since an outage: the server has left, or its entry lapsed
    // and is written again. Until then, or its removal, the server is used only if most of its
    // service is missing.
    void onMissing(const std::string &id);

    // Records that the store was restored from an older copy. Precondition: all entries are applied
    // again afterwards.
    void onStoreRestored(core::TimePoint now);

    // Applies the entries that are no longer held back. Call periodically.
    void tick(core::TimePoint now);

    // Adds the entries of another host's copy, for use until the store's list has been read.
    // Entries that are already known are kept.
    void loadFromPeer(const nlohmann::json &copy, core::TimePoint now);

    // Returns the ids of all entries.
    std::vector<std::string> ids() const;

    // Returns a digest of what the entries say about the servers, equal on hosts whose lists agree.
    std::uint64_t digest() const { return m_digest; }

    // Returns all entries by id, as loadFromPeer() of another host reads them.
    nlohmann::json toJson() const;

    // Assigns the changes since the last call to this version of the list. `eachChange`: every
    // change between the two versions was applied, as from a watch. A list may lack objects that
    // came and went, so that hosts with an earlier version get the whole list.
    void commit(core::Version version, bool eachChange, core::TimePoint now);

    // Entries by id that changed between two versions; null for a removed one.
    struct Changes
    {
        // `entries` holds the whole list.
        bool whole = false;
        nlohmann::json entries;
    };
    // Returns the changes after `since`: the whole list if that version is too old, of another era
    // of the store, or 0.
    Changes changesSince(core::Version since, core::TimePoint now) const;

    // Applies the changes that another host returned.
    void applyChanges(const Changes &changes, core::TimePoint now);

private:
    // The latest entry of one id.
    struct LatestEntry
    {
        core::WallMillis startedAt = 0;
        std::int64_t sequence = 0;
        // The entry in the platform's JSON format.
        std::string text;
        // Hash of the server's record, its part of the digest.
        std::uint64_t hash = 0;
    };

    // An entry that is used from `until` on, if it is still listed then.
    struct HeldEntry
    {
        nlohmann::json spec;
        core::TimePoint until{};
    };

    // A change of the entry with this id.
    struct LoggedChange
    {
        core::Version version;
        std::string id;
    };
    struct Removal
    {
        std::string id;
        core::TimePoint removedAt{};
    };

    // Applies an entry unless an older one is known.
    void apply(const platform::ServerEntry &entry, const nlohmann::json &spec, core::TimePoint now);
    // Returns the entry as other hosts get it; null for a removed one.
    nlohmann::json entryForPeers(const std::string &id) const;
    // Applies an entry in the form of entryForPeers().
    void applyPeerEntry(const std::string &id, nlohmann::json entry, core::TimePoint now);
    // Marks the server of a known entry as missing.
    void markMissing(const std::string &id);

    policy::forward::BackendTable &m_backends;
    std::unordered_map<std::string, LatestEntry> m_latest;
    std::uint64_t m_digest = 0;
    // Changes that are not assigned to a version yet.
    std::set<std::string> m_uncommitted;
    // Changes after m_logStart, oldest first.
    std::deque<LoggedChange> m_log;
    core::Version m_logStart;
    core::Version m_version;
    // Recent removals. A removal may take effect later than others at the same version, after the
    // grace period, so that it is reported to all for a time.
    std::deque<Removal> m_recentRemovals;
    policy::forward::DepartedServers m_departed;
    // Entries that are missing since an outage, by server id.
    std::set<std::string> m_missing;
    // Entries that are held back, by server id.
    std::unordered_map<std::string, HeldEntry> m_held;
};

} // namespace goldcrestline::daemon::forward
