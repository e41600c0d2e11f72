#pragma once

#include "core/clock.h"
#include "policy/membership/member.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace goldcrestline::policy::limits {

// A host that may lend tokens of a quota.
struct LenderAddress
{
    std::string name;
    std::string peersAddress;
};

// One host's view of the fleet as far as it decides on quotas: which hosts lend, and for which
// share of the fleet. Not thread-safe.
class LenderView
{
public:
    // `expectedHosts`: number of hosts to assume while the others are not known yet, after the
    // start.
    LenderView(std::string self, std::size_t expectedHosts)
        : m_self(std::move(self)), m_expectedHosts(expectedHosts)
    { }

    // Raises the number of hosts to assume after the start.
    void expectHosts(std::size_t n) { m_expectedHosts = std::max(m_expectedHosts, n); }

    // Updates the view from the records of all known hosts, this one included. Call once per
    // membership period.
    void update(const std::vector<membership::Member> &members, core::TimePoint now);

    // Returns the hosts that lend tokens of a workspace's quota in the order in which they are
    // asked, at most `limit`: the lender and its deputies.
    std::vector<LenderAddress> lendersOf(const std::string &workspace, std::size_t limit) const;

    // Returns the place of this host in the order of lendersOf().
    std::size_t rankOfSelf(const std::string &workspace) const;

    // Changes whenever the hosts that may lend change.
    std::uint64_t revision() const { return m_revision; }

    // Returns the share, 0 to 1, of the fleet that this host sees: the weight of the reachable
    // hosts by that of all hosts which were reachable within the last 30 s and did not stop
    // regularly.
    double visibleShare() const { return m_visibleShare; }

    // Returns the share of the fleet that this host is.
    double ownShare() const { return m_ownShare; }

    const std::string &self() const { return m_self; }

private:
    struct Known
    {
        // Callers were directed to the host when it was last reachable.
        bool eligible = false;
        core::TimePoint reachableAt{};
    };

    void updateShares(const std::vector<membership::Member> &members, core::TimePoint now);

    std::string m_self;
    std::size_t m_expectedHosts;
    std::vector<LenderAddress> m_lenders;
    std::uint64_t m_revision = 0;
    std::map<std::string, Known> m_known;
    core::TimePoint m_startedAt{};
    double m_visibleShare = 0;
    double m_ownShare = 0;
};

} // namespace goldcrestline::policy::limits
