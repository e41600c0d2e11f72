#include "policy/entrypoints/entry_points.h"

#include <algorithm>
#include <map>
#include <tuple>

namespace goldcrestline::policy::entrypoints {

using membership::Member;
using membership::MemberState;

namespace {

// Hosts whose loads, in queries in flight, fall into the same step of this size rank equal.
constexpr std::uint32_t loadStepQueries = 8;

// A host is large if the largest host of its zone has at most this many times its capacity.
constexpr std::uint32_t maxLargeHostRatio = 2;
// Fewest large hosts of a zone for which its small hosts are excluded, so that after the failure of
// one another large host remains.
constexpr std::ptrdiff_t minLargeHosts = 2;

// Fraction of a quota that is divided among the eligible hosts. The rest is divided among all
// hosts, since callers cache addresses and may still send requests to any host.
constexpr double eligibleHostsFraction = 0.5;

// Time after its start in which a host opens only one connection to each server. If all hosts lose
// power, their connections end without a FIN or RST, and the servers keep these half-open
// connections, which count towards their limits, for about this long.
constexpr core::Duration singleConnectionPeriod = std::chrono::seconds(10);

struct ZoneCapacity
{
    std::uint32_t largest = 0;
    std::ptrdiff_t largeHosts = 0;
    bool strained = false;
};

bool isLarge(const Member &member, const ZoneCapacity &zone)
{
    return member.capacity * maxLargeHostRatio >= zone.largest;
}

// Removes the hosts with a flag, unless all have it, so that none of them is worse than another.
void excludeFlagged(std::vector<Member> &members, bool Member::*flag)
{
    if (std::any_of(members.begin(), members.end(), [&](const Member &it) { return !(it.*flag); }))
        std::erase_if(members, [&](const Member &it) { return it.*flag; });
}

// Removes the small hosts of each zone whose large hosts suffice: requests take longer on a small
// host, and fewer hosts in use means fewer connections to each server.
void excludeSmallHosts(std::vector<Member> &members)
{
    std::map<std::string, ZoneCapacity> zones;
    for (const auto &it : members) {
        auto &zone = zones[it.zone];
        zone.largest = std::max(zone.largest, it.capacity);
    }
    for (const auto &it : members) {
        auto &zone = zones[it.zone];
        if (!isLarge(it, zone))
            continue;
        ++zone.largeHosts;
        zone.strained = zone.strained || it.strained;
    }
    std::erase_if(members, [&](const Member &it) {
        const auto &zone = zones[it.zone];
        return !isLarge(it, zone) && !zone.strained && zone.largeHosts >= minLargeHosts;
    });
}

} // namespace

std::vector<Member> eligibleHosts(std::vector<Member> members)
{
    std::erase_if(members,
                  [](const Member &it) { return it.leaving || it.state != MemberState::Alive; });
    excludeFlagged(members, &Member::cutOff);
    excludeFlagged(members, &Member::unproven);
    excludeSmallHosts(members);
    return members;
}

bool containsHost(const std::vector<Member> &members, const std::string &name)
{
    return std::any_of(members.begin(), members.end(),
                       [&](const Member &it) { return it.name == name; });
}

double quotaShare(const std::vector<Member> &members, const std::string &host, std::size_t minHosts)
{
    const auto eligible = eligibleHosts(members);
    const bool hostEligible = containsHost(eligible, host);
    const auto shareOf = [&](std::size_t hosts) {
        return eligibleHostsFraction / static_cast<double>(std::max(hosts, minHosts));
    };
    return (hostEligible ? shareOf(eligible.size()) : 0) + shareOf(members.size());
}

int connectionLimit(int serverLimit, double share, core::Duration uptime)
{
    if (uptime < singleConnectionPeriod)
        return 1;
    return std::max(1, static_cast<int>(serverLimit * share));
}

std::vector<Member> selectEntryPoints(std::vector<Member> members, const CallerLocation &place,
                                      std::size_t limit,
                                      const std::function<unsigned(unsigned)> &random)
{
    members = eligibleHosts(std::move(members));
    for (std::size_t i = members.size(); i > 1; --i)
        std::swap(members[i - 1], members[random(static_cast<unsigned>(i))]);
    std::stable_sort(members.begin(), members.end(), [&](const Member &a, const Member &b) {
        const auto rank = [&](const Member &it) {
            return std::tuple(it.zone != place.zone, it.region != place.region,
                              it.load / loadStepQueries);
        };
        return rank(a) < rank(b);
    });
    if (members.size() <= limit || limit == 0)
        return members;
    // Keeps one host of another zone, so that the failure of a zone costs a caller only one retry.
    const auto other = std::find_if(members.begin(), members.end(), [&](const Member &it) {
        return it.zone != members.front().zone;
    });
    if (other != members.end() && other - members.begin() >= static_cast<std::ptrdiff_t>(limit))
        std::iter_swap(members.begin() + static_cast<std::ptrdiff_t>(limit) - 1, other);
    members.resize(limit);
    return members;
}

} // namespace goldcrestline::policy::entrypoints
