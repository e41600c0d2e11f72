#include "policy/entrypoints/entry_points.h"

#include <algorithm>

namespace goldcrestline::policy::entrypoints {

using membership::Member;
using membership::MemberState;

namespace {

// Loads within the same step count as equal.
constexpr std::uint32_t loadStep = 8;

} // namespace

std::vector<Member> choose(std::vector<Member> members, const std::string &zone, std::size_t limit,
                           const std::function<unsigned(unsigned)> &random)
{
    std::erase_if(members,
                  [](const Member &it) { return it.leaving || it.state != MemberState::Alive; });
    for (std::size_t i = members.size(); i > 1; --i)
        std::swap(members[i - 1], members[random(static_cast<unsigned>(i))]);
    std::stable_sort(members.begin(), members.end(), [&](const Member &a, const Member &b) {
        const auto rank = [&](const Member &it) {
            return std::pair(it.zone != zone, it.load / loadStep);
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
