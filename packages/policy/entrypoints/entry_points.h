#pragma once

#include "policy/membership/member.h"

#include <functional>
#include <string>
#include <vector>

// Which hosts a caller is told to use.
namespace goldcrestline::policy::entrypoints {

// Returns the hosts for a caller of `zone`, best first: own zone, then less loaded. `random`
// returns a uniform number in [0, n) and spreads callers over equals. Suspect, dead and leaving
// hosts are left out. At most `limit` hosts, of two zones if there are two. Thread-safe.
std::vector<membership::Member> choose(std::vector<membership::Member> members,
                                       const std::string &zone, std::size_t limit,
                                       const std::function<unsigned(unsigned)> &random);

} // namespace goldcrestline::policy::entrypoints
