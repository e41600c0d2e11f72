#pragma once

#include "core/clock.h"
#include "policy/membership/member.h"

#include <functional>
#include <string>
#include <vector>

// Which hosts a caller is told to use.
namespace goldcrestline::policy::entrypoints {

// Returns the hosts that callers are sent to: suspect, dead and leaving hosts are left out, and so
// are the small hosts of a zone while its large ones are not strained. Thread-safe.
std::vector<membership::Member> eligibleHosts(std::vector<membership::Member> members);

// Tells whether the host named `name` is among the members. Thread-safe.
bool isAmong(const std::vector<membership::Member> &members, const std::string &name);

// Returns the part, 0 to 1, of an allowance of the whole fleet that `host` may use: connections to
// a server, extra attempts. The parts of all hosts add up to 1 at most. `hostsAtLeast` is the
// number of hosts to assume while fewer are known. Precondition: `hostsAtLeast` is above 0.
// Thread-safe.
double quotaShare(const std::vector<membership::Member> &members, const std::string &host,
                  std::size_t hostsAtLeast);

// Returns how many connections a host may have to a server that takes `all`, with `share` as
// returned by allowanceShare() and `age` as the time since the host started. Thread-safe.
int connectionLimit(int all, double share, core::Duration age);

// Where a caller is; the region may be empty.
struct CallerLocation
{
    std::string zone;
    std::string region;
};

// Returns the hosts for a caller, best first: own zone, then own region, then less loaded. `random`
// returns a uniform number in [0, n) and spreads callers over equals. At most `limit` carriers, of
// two zones if there are two. Thread-safe.
std::vector<membership::Member> choose(std::vector<membership::Member> members,
                                       const CallerLocation &place, std::size_t limit,
                                       const std::function<unsigned(unsigned)> &random);

} // namespace goldcrestline::policy::entrypoints
