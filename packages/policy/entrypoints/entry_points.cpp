#include "policy/entrypoints/entry_points.h"

#include <algorithm>
#include <map>
#include <tuple>

namespace goldcrestline::policy::entrypoints {

using membership::Member;
using membership::MemberState;

namespace {

// Loads within the same step count as equal.
constexpr std::uint32_t loadStep = 8;

// A host counts as large unless the largest one in its zone has more than this many times its
// capacity.
constexpr std::uint32_t sizeRatio = 2;
// Fewest large hosts of a zone that carry its callers alone, so that the loss of one leaves
// another.
constexpr std::ptrdiff_t fewestLarge = 2;

// Part of an allowance that the hosts with callers divide among themselves; all hosts divide the
// rest, since callers keep addresses and may come to any host.
constexpr double carrierPart = 0.5;

// Time after a start in which a host opens one connection to a server: servers that lost their
// other ends without a word, as when all hosts lose power, hold those for about as long.
constexpr core::Duration frugalTime = std::chrono::seconds(10);

struct ZoneCapacity
{
    std::uint32_t largest = 0;
    std::ptrdiff_t largeHosts = 0;
    bool strained = false;
};

bool isLarge(const Member &member, const ZoneCapacity &zone)
{
    return member.capacity * sizeRatio >= zone.largest;
}

// Leaves out the small hosts of each zone whose large ones suffice: a request takes longer on a
// small host, and the fewer hosts are in use, the fewer connections the servers have to hold.
void dropSmall(std::vector<Member> &members)
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
        return !isLarge(it, zone) && !zone.strained && zone.largeHosts >= fewestLarge;
    });
}

} // namespace

std::vector<Member> eligibleHosts(std::vector<Member> members)
{
    std::erase_if(members,
                  [](const Member &it) { return it.leaving || it.state != MemberState::Alive; });
    dropSmall(members);
    return members;
}

bool isAmong(const std::vector<Member> &members, const std::string &name)
{
    return std::any_of(members.begin(), members.end(),
                       [&](const Member &it) { return it.name == name; });
}

double quotaShare(const std::vector<Member> &members, const std::string &host,
                  std::size_t hostsAtLeast)
{
    const auto carrying = eligibleHosts(members);
    const bool carries = isAmong(carrying, host);
    const auto partOf = [&](std::size_t hosts) {
        return carrierPart / static_cast<double>(std::max(hosts, hostsAtLeast));
    };
    return (carries ? partOf(carrying.size()) : 0) + partOf(members.size());
}

int connectionLimit(int all, double share, core::Duration age)
{
    if (age < frugalTime)
        return 1;
    return std::max(1, static_cast<int>(all * share));
}

std::vector<Member> choose(std::vector<Member> members, const CallerLocation &place,
                           std::size_t limit, const std::function<unsigned(unsigned)> &random)
{
    members = eligibleHosts(std::move(members));
    for (std::size_t i = members.size(); i > 1; --i)
        std::swap(members[i - 1], members[random(static_cast<unsigned>(i))]);
    std::stable_sort(members.begin(), members.end(), [&](const Member &a, const Member &b) {
        const auto rank = [&](const Member &it) {
            return std::tuple(it.zone != place.zone, it.region != place.region, it.load / loadStep);
        };
        return rank(a) < rank(b);
    });
    if (members.size() <= limit || limit == 0)
        return members;
    // Keep one host of another zone, so that the loss of a zone costs one retry.
    const auto other = std::find_if(members.begin(), members.end(), [&](const Member &it) {
        return it.zone != members.front().zone;
    });
    if (other != members.end() && other - members.begin() >= static_cast<std::ptrdiff_t>(limit))
        std::iter_swap(members.begin() + static_cast<std::ptrdiff_t>(limit) - 1, other);
    members.resize(limit);
    return members;
}

} // namespace goldcrestline::policy::entrypoints
