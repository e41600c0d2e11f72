#include "policy/limits/lender_view.h"

#include "core/hash.h"
#include "policy/entrypoints/entry_points.h"

#include <algorithm>
#include <set>
#include <tuple>
#include <utility>

namespace goldcrestline::policy::limits {

using core::TimePoint;
using membership::Member;
using membership::MemberState;

namespace {

// Time for which a host that is not reachable counts: it may serve requests on the other side of a
// partition.
constexpr core::Duration unreachableRetention = std::chrono::seconds(30);
// Time after the start in which the expected number of hosts is assumed. Hosts that start together
// know each other after about 1 s.
constexpr core::Duration startPeriod = std::chrono::milliseconds(1500);
// Part of a quota that is divided among all hosts; the rest is divided among the entry points.
constexpr double anyHostFraction = 0.5;

bool isLive(const Member &member)
{
    return member.state == MemberState::Alive || member.state == MemberState::Suspect;
}

} // namespace

void LenderView::update(const std::vector<Member> &members, TimePoint now)
{
    if (m_startedAt == TimePoint{})
        m_startedAt = now;
    std::vector<LenderAddress> lenders;
    for (const auto &it : members) {
        if (isLive(it) && !it.leaving)
            lenders.push_back({it.name, it.peersAddress});
    }
    const auto less = [](const LenderAddress &a, const LenderAddress &b) {
        return std::tie(a.name, a.peersAddress) < std::tie(b.name, b.peersAddress);
    };
    std::sort(lenders.begin(), lenders.end(), less);
    const bool same =
        std::equal(lenders.begin(), lenders.end(), m_lenders.begin(), m_lenders.end(),
                   [&](const auto &a, const auto &b) { return !less(a, b) && !less(b, a); });
    if (!same) {
        m_lenders = std::move(lenders);
        ++m_revision;
    }
    updateShares(members, now);
}

void LenderView::updateShares(const std::vector<Member> &members, TimePoint now)
{
    // Suspect hosts do not count as reachable, so that the lenders on both sides of a partition
    // lend less before the failure detector has declared the others dead.
    std::vector<Member> reachable;
    for (const auto &it : members) {
        if (it.state == MemberState::Alive)
            reachable.push_back(it);
        if (it.state == MemberState::Left)
            m_known.erase(it.name);
    }
    std::set<std::string> eligible;
    for (const auto &it : entrypoints::eligibleHosts(reachable))
        eligible.insert(it.name);
    for (const auto &it : reachable)
        m_known[it.name] = {eligible.count(it.name) != 0, now};
    std::erase_if(m_known, [&](const auto &it) {
        return now - it.second.reachableAt > unreachableRetention;
    });
    std::size_t knownEligible = 0;
    for (const auto &it : m_known)
        knownEligible += it.second.eligible ? 1 : 0;
    double hosts = static_cast<double>(m_known.size());
    if (now - m_startedAt < startPeriod)
        hosts = std::max(hosts, static_cast<double>(m_expectedHosts));
    // The weights are those of entrypoints::quotaShare, over the hosts of both sides of a
    // partition.
    const double forAny = anyHostFraction / std::max(1.0, hosts);
    const double entryHosts = knownEligible == 0
        ? 1.0
        : static_cast<double>(knownEligible) * hosts / static_cast<double>(m_known.size());
    const double forEligible = (1 - anyHostFraction) / entryHosts;
    m_visibleShare = std::min(1.0,
                              forAny * static_cast<double>(reachable.size())
                                  + forEligible * static_cast<double>(eligible.size()));
    m_ownShare = forAny + (eligible.count(m_self) != 0 ? forEligible : 0);
}

std::vector<LenderAddress> LenderView::lendersOf(const std::string &workspace,
                                                 std::size_t limit) const
{
    std::vector<std::pair<std::uint64_t, const LenderAddress *>> ranked;
    ranked.reserve(m_lenders.size());
    for (const auto &it : m_lenders)
        ranked.emplace_back(core::rendezvousWeight(it.name, workspace), &it);
    const auto n = std::min(limit, ranked.size());
    std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(n), ranked.end(),
                      [](const auto &a, const auto &b) { return a.first > b.first; });
    std::vector<LenderAddress> out;
    for (std::size_t i = 0; i < n; ++i)
        out.push_back(*ranked[i].second);
    return out;
}

std::size_t LenderView::rankOfSelf(const std::string &workspace) const
{
    const auto own = core::rendezvousWeight(m_self, workspace);
    return static_cast<std::size_t>(
        std::count_if(m_lenders.begin(), m_lenders.end(), [&](const auto &it) {
            return it.name != m_self && core::rendezvousWeight(it.name, workspace) > own;
        }));
}

} // namespace goldcrestline::policy::limits
