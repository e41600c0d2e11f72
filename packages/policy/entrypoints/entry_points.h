#pragma once

#include "core/clock.h"
#include "policy/membership/member.h"

#include <functional>
#include <string>
#include <vector>

// Selection of the hosts that are returned to callers as entry points, and each host's share of
// fleet-wide quotas.
namespace goldcrestline::policy::entrypoints {

// Returns the hosts that may be entry points. Excludes suspect, dead and leaving hosts, those that
// reach no server unless none does, those that refuse requests with a key unless all do, and the
// small hosts of a zone while its large hosts suffice and none of them is strained. Thread-safe.
std::vector<membership::Member> eligibleHosts(std::vector<membership::Member> members);

// Returns whether `members` contains the host named `name`. Thread-safe.
bool containsHost(const std::vector<membership::Member> &members, const std::string &name);

// Returns the share, 0 to 1, of a fleet-wide quota that `host` may use: connections to a server,
// extra attempts. The shares of all hosts add up to 1 at most. `minHosts` is the number of hosts to
// assume while fewer are known. Precondition: `minHosts` is above 0. Thread-safe.
double quotaShare(const std::vector<membership::Member> &members, const std::string &host,
                  std::size_t minHosts);

// Returns the most connections that a host may open to a server which accepts `serverLimit` in all.
// `share` is the result of quotaShare(), `uptime` the time since the host started. Thread-safe.
int connectionLimit(int serverLimit, double share, core::Duration uptime);

// Location of a caller; the region may be empty.
struct CallerLocation
{
    std::string zone;
    std::string region;
};

// Returns at most `limit` eligible hosts (0: all of them) for a caller at `place`, in order of
// preference: the caller's zone, then its region, then the lower load; hosts of equal rank in
// random order. If eligible hosts exist in another zone than the first host's, the list holds at
// least one of them. `random` returns a uniform number in [0, n). Thread-safe.
std::vector<membership::Member> selectEntryPoints(std::vector<membership::Member> members,
                                                  const CallerLocation &place, std::size_t limit,
                                                  const std::function<unsigned(unsigned)> &random);

} // namespace goldcrestline::policy::entrypoints
