#pragma once

#include "platform/records.h"
#include "policy/forward/backend_table.h"

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <unordered_map>

namespace goldcrestline::daemon::forward {

// Brings the store's entries of servers into the table of backends. Not thread-safe.
class ServerList
{
public:
    explicit ServerList(policy::forward::BackendTable &backends) : m_backends(backends) { }

    // Takes an entry as it stands in the store. One that is malformed names no server; one that a
    // server wrote before its newest is left out.
    void onObject(const std::string &id, const nlohmann::json &spec);

    // Takes the removal of an entry.
    void onRemoved(const std::string &id);

    // Takes another host's copy, for use until the store's list is read.
    void borrow(const nlohmann::json &copy);

    // Forgets borrowed entries that the store's list did not hold.
    void dropBorrowed();

    // Returns all entries by id, for another host.
    nlohmann::json copy() const;

private:
    // The newest entry of one id.
    struct Newest
    {
        core::WallMillis startedAt = 0;
        std::int64_t sequence = 0;
        // The entry as the platform spells it.
        std::string text;
        // Known from another host only.
        bool borrowed = false;
    };

    policy::forward::BackendTable &m_backends;
    std::unordered_map<std::string, Newest> m_newest;
};

} // namespace goldcrestline::daemon::forward
