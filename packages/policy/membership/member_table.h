#pragma once

#include "core/clock.h"
#include "policy/membership/member.h"

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

// Failure detection and membership dissemination among the hosts by the SWIM protocol
// (Das, Gupta, Motivala, 2002). Messages between zones cost more than those within one: in a large
// zone hosts probe mostly each other, and send fewer records to other zones.
namespace goldcrestline::policy::membership {

// Protocol parameters.
struct MembershipTimings
{
    // Protocol period: one direct probe is sent in each.
    core::Duration period = std::chrono::milliseconds(300);
    // Time after which a suspect that did not refute the suspicion is declared dead.
    core::Duration suspicionTimeout = std::chrono::milliseconds(1500);
    // Time after which the record of a dead or stopped host is removed.
    core::Duration deadRetention = std::chrono::seconds(60);
    // Time for which the successor of a stopped host is kept.
    core::Duration handoverRetention = std::chrono::hours(1);
    // Hosts that are asked to probe a host which did not answer a direct probe.
    int indirectProbeCount = 2;
    // Protocol periods between table comparisons with a seed or a dead host, which let the sides
    // of a healed network partition find each other.
    int syncIntervalPeriods = 7;
    std::size_t maxUpdatesPerMessage = 12;
    // The same for records of hosts that are alive in messages to another zone, in a zone with at
    // least minZonePeers other hosts.
    std::size_t maxUpdatesAcrossZones = 4;
    // Fewest reachable other hosts of the own zone for which most probes stay within the zone.
    std::size_t minZonePeers = 6;
    // Every how many probes one goes to another zone then. All of them do while a host of another
    // zone is suspect, so that the loss of a zone is detected as early as within the zone.
    std::uint64_t crossZoneProbeInterval = 4;
};

// Sends a direct probe to a host.
struct Probe
{
    std::string name;
    std::string address;
};
// Asks the host at `via` to probe another host.
struct IndirectProbe
{
    std::string via;
    std::string name;
    std::string address;
};
// Compares member tables with the host at an address; the host itself may not be known yet.
struct TableSync
{
    std::string address;
    // Exchanges the differences at once instead of comparing digests first, since this host does
    // not know a reachable host yet.
    bool skipDigest = false;
};
using Action = std::variant<Probe, IndirectProbe, TableSync>;

// One host's table of all known hosts, with the state machine of the protocol. The caller performs
// the returned actions and reports their results. Not thread-safe.
class MemberTable
{
public:
    // `seeds` are peer addresses to join by. `random` returns a uniform number in [0, n).
    MemberTable(Member self, const std::vector<std::string> &seeds, MembershipTimings times,
                std::function<unsigned(unsigned)> random);

    // Runs one protocol period: expires suspicions and old records, and returns the messages to
    // send. Call every `times.period`.
    std::vector<Action> tick(core::TimePoint now);

    // Records the result of a direct or an indirect probe; a host that was not reached becomes
    // suspect.
    void onProbeResult(const std::string &name, bool reached, core::TimePoint now);
    // Returns the indirect probes to send after a direct probe failed.
    std::vector<Action> onDirectProbeFailed(const std::string &name, core::TimePoint now);

    // Merges records received from another host; returns how many of them changed the table.
    // `fromComparison`: the records are the result of a table comparison. Other hosts learn them by
    // comparisons of their own, so that they are not spread on.
    int applyUpdates(const std::vector<Member> &updates, core::TimePoint now,
                     bool fromComparison = false);

    // Returns the records to send with the next message to a host of the zone, this host's own
    // record first: recent changes in order of how often they were sent, up to a limit. An empty
    // zone stands for an unknown one.
    std::vector<Member> selectUpdates(const std::string &receiverZone);

    // Returns a hash of the record of each host that is alive or suspect, for a comparison.
    std::vector<std::uint64_t> summary() const;
    // Returns the records that a host with this summary lacks, and those of its hosts that are
    // known to be dead or stopped; at most `limit`.
    std::vector<Member> findMissing(const std::vector<std::uint64_t> &summary,
                                    std::size_t limit) const;
    // Returns the hashes in the summary whose records this host lacks.
    std::vector<std::uint64_t> findUnknown(const std::vector<std::uint64_t> &summary) const;
    // Returns this host's records that supersede the received ones, so that the sender learns of
    // them: a host that is wrongly taken to be dead has to refute that.
    std::vector<Member> findSuperseding(const std::vector<Member> &received) const;
    // Returns the records with these hashes.
    std::vector<Member> findByHash(const std::vector<std::uint64_t> &hashes) const;

    // Adds seed addresses, for example from the platform's list of hosts; known ones are ignored.
    void addSeeds(const std::vector<std::string> &addresses);

    // Announces that this host is shutting down.
    void setLeaving();
    // Announces that this host has stopped and that `successor` adopted its idempotency ledger.
    void setLeft(std::string successor);
    void setLoad(std::uint32_t load);
    // Announces a change of the `strained` flag of this host.
    void setStrained(bool strained);
    // Announces a change of the `cutOff` flag of this host.
    void setCutOff(bool cutOff);
    // Announces a change of the `unproven` flag of this host.
    void setUnproven(bool unproven);

    const Member &self() const { return m_self; }

    // Returns the record of a host, or null if the host is unknown.
    const Member *find(const std::string &name) const;

    // Returns a digest of the members that are alive or suspect. It is equal on hosts whose tables
    // agree about them.
    std::uint64_t digest() const;

    // Returns the records of all known hosts, this one included.
    std::vector<Member> all() const;

    // Returns the records of the hosts that are alive or suspect, this one included.
    std::vector<Member> live() const;

    // Records that a host answered or called this one.
    void onContact(const std::string &name, core::TimePoint now);

    // Records that this host's table holds all that another running host knows: the tables were
    // compared.
    void onCompared(core::TimePoint now);

    // Returns the records that may be named to callers. While this host cannot know which hosts
    // have ended, since it was paused or reaches hardly any of them, these are its own one and
    // those of hosts that were in contact with it a short time ago.
    std::vector<Member> confirmed(core::TimePoint now) const;

    // Returns the number of known hosts, this one included. Dead and stopped hosts count until
    // their records are removed.
    std::size_t knownCount() const { return m_peers.size() + 1; }

    // Returns the host that decides on the keys which host `name` issued in `incarnation`: that
    // host itself, or the last one in the chain of successors that adopted its ledger. Empty if
    // that host is unknown or no longer running.
    std::string keyOwner(const std::string &name, std::uint64_t incarnation) const;

    // Returns how often a host was declared dead and refuted it later (false positives of the
    // failure detector).
    std::uint64_t falseDeaths() const { return m_falseDeaths; }

private:
    struct Peer
    {
        Member member;
        core::TimePoint changedAt{};
        // Messages that have carried the current record.
        int timesSent = 0;
        // Last direct contact.
        core::TimePoint contactAt{};
    };

    // Returns whether this process did not run for a time before `now`.
    bool wasPaused(core::TimePoint now) const;
    bool isIsolated() const;
    void suspect(const std::string &name, core::TimePoint now);
    void expire(core::TimePoint now);
    void recordHandover(const Member &member, core::TimePoint now);
    std::optional<std::string> nextProbeTarget();
    // Returns the next reachable host of `order` that `include` accepts and that has no probe in
    // flight. Fills the order with all such hosts, shuffled, when it is used up.
    std::optional<std::string> takeNext(std::vector<std::string> &order,
                                        const std::function<bool(const Member &)> &include);
    bool isLargeZone() const;
    // Returns whether a host of another zone is suspect.
    bool hasRemoteSuspect() const;
    int retransmitLimit() const;

    Member m_self;
    std::vector<std::string> m_seeds;
    MembershipTimings m_times;
    std::function<unsigned(unsigned)> m_random;
    std::map<std::string, Peer> m_peers;
    // Successor that adopted the ledger of a stopped host, by name and incarnation, and the time at
    // which this host learned of it.
    std::map<std::pair<std::string, std::uint64_t>, std::pair<std::string, core::TimePoint>>
        m_handovers;
    // Hosts still to be probed in this round, in random order: of all zones or, in a large zone, of
    // the own one and of the others.
    std::vector<std::string> m_probeOrder;
    std::vector<std::string> m_remoteProbeOrder;
    std::uint64_t m_probeCount = 0;
    // Hosts with a direct or an indirect probe in flight.
    std::set<std::string> m_pendingProbes;
    core::TimePoint m_lastTickAt{};
    std::uint64_t m_tickCount = 0;
    // End of the last pause; zero once the tables were compared since.
    core::TimePoint m_pausedUntil{};
    // Whether the last probes reached their hosts, newest last.
    std::deque<bool> m_recentProbes;
    std::uint64_t m_falseDeaths = 0;
};

} // namespace goldcrestline::policy::membership
