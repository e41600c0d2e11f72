#pragma once

#include "policy/forward/call.h"

#include <cstdint>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

// The order in which waiting calls get servers that have room again.
namespace goldcrestline::policy::forward {

// Lines of call parts that wait for a server, one for each service: the most urgent call first,
// then the oldest. Not thread-safe.
class WaitQueue
{
public:
    // One waiting part of a call. A call's rank is its own, so rank and part name an entry.
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

    // Brings the parts of `call`, known as `id`, in line with their state. Call after each step.
    void update(std::uint64_t id, const Call &call);

    // Takes out all parts of a call that ends.
    void remove(std::uint64_t id, const Call &call);

    // Tells whether a call before `rank` waits for the service.
    bool hasAhead(const std::string &service, CallRank rank) const;

    // Returns how many parts before `rank` wait for the service.
    std::size_t countAhead(const std::string &service, CallRank rank) const;

    // Returns the service's line, first in line first.
    std::vector<Entry> entries(const std::string &service) const;

private:
    std::unordered_map<std::string, std::set<Entry>> m_lines;
    // Calls with a part in some line.
    std::unordered_set<std::uint64_t> m_calls;
};

} // namespace goldcrestline::policy::forward
