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
// priority, then by the start tags of fair shares, then by age. Not thread-safe.
class WaitQueue
{
public:
    // One queued part of a call. Ranks are unique, so that rank and part identify an entry.
    struct Entry
    {
        CallRank rank;
        std::uint64_t call = 0;
        std::size_t part = 0;
        // Half of the time is over after which the call is refused.
        core::TimePoint overdueAt{};

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

    // Returns the queue in the order in which free capacity is offered: in one of five calls, the
    // oldest overdue part of a lower priority than the first entry's comes first. hasAhead()
    // ignores the calls ahead of that part until the next call of this function.
    std::vector<Entry> dispatchOrder(const std::string &service, core::TimePoint now);

private:
    std::unordered_map<std::string, std::set<Entry>> m_queues;
    // For each service, the calls of dispatchOrder() with an overdue part since the last one that
    // was preferred.
    std::unordered_map<std::string, int> m_passedOver;
    // The service and the sequence number of the call that is preferred there; 0 for none.
    std::string m_preferredService;
    std::uint64_t m_preferred = 0;
    // Calls with waiting parts.
    std::unordered_set<std::uint64_t> m_calls;
};

} // namespace goldcrestline::policy::forward
