#pragma once

#include "policy/forward/call.h"

#include <cstdint>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

// Orders the calls that wait for free server capacity.
namespace goldcrestline::policy::forward {

// Priority queues of the call parts that wait for a server, one for each service, ordered by
// priority and then by age. Not thread-safe.
class WaitQueue
{
public:
    // One queued part of a call. Ranks are unique, so that rank and part identify an entry.
    struct Entry
    {
        CallRank rank;
        std::uint64_t call = 0;
        std::size_t part = 0;

        bool operator<(const Entry &other) const
        {
            return rank < other.rank || (!(other.rank < rank) && part < other.part);
        }
    };

    // Adds or removes the parts of `call`, identified by `id`, as their state requires. Call after
    // each event that the call has handled.
    void update(std::uint64_t id, const Call &call);

    // Removes all parts of a call that has ended.
    void remove(std::uint64_t id, const Call &call);

    // Returns whether a part ahead of `rank` is queued for the service.
    bool hasAhead(const std::string &service, CallRank rank) const;

    // Returns how many parts ahead of `rank` are queued for the service.
    std::size_t countAhead(const std::string &service, CallRank rank) const;

    // Returns the services with a queued part.
    std::vector<std::string> services() const;

    // Returns the queue of the service, first entry first.
    std::vector<Entry> entries(const std::string &service) const;

private:
    std::unordered_map<std::string, std::set<Entry>> m_queues;
    // Calls with waiting parts.
    std::unordered_set<std::uint64_t> m_calls;
};

} // namespace goldcrestline::policy::forward
