#pragma once

#include "core/clock.h"
#include "policy/membership/member.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

// Liveness among hosts by probes between peers (SWIM: Das, Gupta, Motivala, 2002).
namespace goldcrestline::policy::membership {

// Periods of the protocol.
struct MembershipTimings
{
    core::Duration period = std::chrono::milliseconds(300);
    core::Duration suspicionTimeout = std::chrono::milliseconds(1500);
    core::Duration forgetting = std::chrono::seconds(60);
    // Time for which the successor of a stopped host is remembered.
    core::Duration handoverRetention = std::chrono::hours(1);
    int indirectProbes = 2;
    // Periods between contacts to a seed or a dead host, which heal a partition.
    int healEvery = 7;
    std::size_t updatesPerMessage = 12;
};

// Asks a host to answer.
struct Probe
{
    std::string name;
    std::string address;
};
// Asks a host to probe another.
struct IndirectProbe
{
    std::string via;
    std::string name;
    std::string address;
};
// Compares tables with an address whose host may be unknown.
struct TableSync
{
    std::string address;
    // Sends the whole table at once instead of its digest: this host knows nobody yet.
    bool wholeTable = false;
};
using Action = std::variant<Probe, IndirectProbe, TableSync>;

// One host's view of all hosts. Not thread-safe.
class MemberTable
{
public:
    // `random` returns a uniform number in [0, n).
    MemberTable(Member self, const std::vector<std::string> &seeds, MembershipTimings times,
                std::function<unsigned(unsigned)> random);

    // Runs one period. Call every `times.period`.
    std::vector<Action> tick(core::TimePoint now);

    // Takes the end of a probe or of an indirect probe.
    void onProbeResult(const std::string &name, bool reached, core::TimePoint now);
    std::vector<Action> onDirectProbeFailed(const std::string &name, core::TimePoint now);

    // Takes records from another host; returns how many were news.
    int applyUpdates(const std::vector<Member> &updates, core::TimePoint now);

    // Returns the records to send next: the whole table, or those spread least so far.
    std::vector<Member> updates(bool whole);

    // Adds contact addresses, as from the platform's list of hosts.
    void addSeeds(const std::vector<std::string> &addresses);

    // Spreads that this host is stopping, or has stopped and who holds its ledger.
    void setLeaving();
    void setLeft(std::string successor);
    void setLoad(std::uint32_t load);
    // Spreads a change of whether this host is strained.
    void setStrained(bool strained);

    const Member &self() const { return m_self; }

    // Returns a known member, or null.
    const Member *find(const std::string &name) const;

    // Returns a digest of the living members, equal on hosts that agree about them.
    std::uint64_t digest() const;

    // Returns all known members, this one included.
    std::vector<Member> all() const;

    // Returns members that are alive or suspect, this one included.
    std::vector<Member> live() const;

    // Returns the number of members that were heard of within the forgetting time.
    std::size_t known() const { return m_peers.size() + 1; }

    // Returns the host that decides on the keys which `name` issued in `incarnation`: itself, or
    // the last of those that took over its ledger; empty if that is not known.
    std::string keyOwner(const std::string &name, std::uint64_t incarnation) const;

    // Times that a member was declared dead and later refuted it.
    std::uint64_t falseDeaths() const { return m_falseDeaths; }

private:
    struct Peer
    {
        Member member;
        core::TimePoint changedAt{};
        int sent = 0;
    };

    void suspect(const std::string &name, core::TimePoint now);
    void expire(core::TimePoint now);
    void noteHandover(const Member &member, core::TimePoint now);
    std::optional<std::string> nextTarget();
    int spreadLimit() const;

    Member m_self;
    std::vector<std::string> m_seeds;
    MembershipTimings m_times;
    std::function<unsigned(unsigned)> m_random;
    std::map<std::string, Peer> m_peers;
    // Who took over the ledger of a stopped incarnation, and when that was learnt.
    std::map<std::pair<std::string, std::uint64_t>, std::pair<std::string, core::TimePoint>>
        m_handovers;
    std::vector<std::string> m_order;
    std::set<std::string> m_probing;
    core::TimePoint m_tickedAt{};
    std::uint64_t m_ticks = 0;
    std::uint64_t m_falseDeaths = 0;
};

} // namespace goldcrestline::policy::membership
