#pragma once

#include "core/clock.h"
#include "core/snapshot_id.h"
#include "policy/routing/fleet.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

// Load balancing over the servers of a service: one host's measured state of each server and the
// selection of a server for each attempt.
namespace goldcrestline::policy::routing {

// How an attempt at a server ended.
enum class AttemptOutcome {
    Answered,
    // The server was overloaded and refused the request before executing it.
    Shed,
    // The server is leaving and refused the request before executing it.
    Draining,
    // No connection was established, so no byte reached the server.
    NotReached,
    // The connection was closed early, or the response was unusable.
    Broken,
    // The host cancelled the attempt.
    Cancelled,
    // No response arrived by the deadline, and the connection was closed.
    TimedOut,
};

// Notification between hosts that a server is leaving.
struct LeavingNote
{
    std::string serverId;
    // Start of the server process to which the notification applies.
    core::WallMillis startedAt = 0;
};

// Parameters of server selection and outlier ejection.
struct RoutingParameters
{
    // Returns the number of connections that this host may open to a server.
    std::function<int(const ServerRecord &)> connectionLimit;
    // Period after a server's first use in which it gets one request at a time.
    core::Duration slowStart = std::chrono::seconds(5);
    // Time without new requests after a server shed one.
    core::Duration shedBackoff = std::chrono::milliseconds(20);
    // Ejection time at the failure threshold; grows with each further consecutive failure.
    core::Duration ejectionTime = std::chrono::seconds(1);
    core::Duration latencyHalfLife = std::chrono::seconds(5);
    // Latency assumed before there are samples, in ms.
    double defaultLatencyMs = 10;
    // Added to the assumed latency of servers of other zones, in ms.
    double crossZonePenaltyMs = 6;
};

// Servers of one service with their measured state. Not thread-safe.
class ServerTable
{
public:
    // `random` returns a uniform number in [0, n). Precondition: all callbacks are set.
    ServerTable(std::string zone, RoutingParameters parameters,
                std::function<unsigned(unsigned)> random);

    // Replaces the list of servers; those with an unchanged start time keep their measured state.
    void update(const ServiceRecord &service, core::TimePoint now);

    // Marks a server as leaving: it gets no new requests until it is listed with a later start.
    // Returns false if the server is unknown, already marked, or listed with a later start.
    bool noteLeaving(const LeavingNote &note);

    // Returns a notification for each server that is leaving.
    std::vector<LeavingNote> leavingNotes() const;

    // Selects a server of `group` that has free capacity, is not in `exclude` and may hold
    // `snapshot`. Returns nothing if there is none, or if waiting for a busy server that is much
    // faster than the free ones is expected to take less time.
    std::optional<std::string> pick(int group, const std::set<std::string> &exclude,
                                    std::optional<core::SnapshotId> snapshot,
                                    core::TimePoint now) const;

    // Records an attempt as in flight. Precondition: pick() returned `id`.
    void onSent(const std::string &id);

    // Records the outcome of an attempt that was sent at `sentAt`.
    void onEnded(const std::string &id, AttemptOutcome outcome, core::TimePoint sentAt,
                 core::TimePoint now);

    // Records a server's load report: `load` running and queued requests, and its slots.
    void onLoadReport(const std::string &id, int load, int slots, core::TimePoint now);

    // Record that a server does not hold, or does hold, a snapshot.
    void onSnapshotMissing(const std::string &id, core::SnapshotId snapshot, core::TimePoint now);
    void onSnapshotHeld(const std::string &id, core::SnapshotId snapshot);

    // Returns whether each group of the snapshot has a server that is not leaving and not known to
    // lack the snapshot.
    bool isAvailable(const Snapshot &snapshot, core::TimePoint now) const;

    // Returns whether at least half of each group's servers, without those that are leaving, are
    // known to hold the snapshot.
    bool heldByAllGroups(const Snapshot &snapshot) const;

    // Returns the newest snapshot outside `exclude` that heldByAllGroups(), else the newest that is
    // isAvailable(), else null. Precondition: `snapshots` is in ascending order of ids.
    const Snapshot *newestUsable(const std::vector<Snapshot> &snapshots,
                                 const std::set<core::SnapshotId> &exclude,
                                 core::TimePoint now) const;

    // Returns whether each server of the group is leaving or shed a request within the backoff
    // time; false for an unknown group.
    bool allShed(int group, core::TimePoint now) const;

    // Returns the listed record of a server, or null.
    const ServerRecord *record(const std::string &id) const;

    // Returns the ids of all listed servers.
    std::vector<std::string> ids() const;

    // Returns whether the server answered an attempt within the last `period`, so that the state it
    // reports with each answer is current.
    bool answeredWithin(const std::string &id, core::Duration period, core::TimePoint now) const;

    // Returns the number of attempts in flight to a server.
    int inFlight(const std::string &id) const;

private:
    struct Server
    {
        ServerRecord record;
        // A peer or the server itself reported it as leaving.
        bool markedLeaving = false;
        int inFlight = 0;
        // Adaptive limit of this host's concurrent requests: additive increase on responses,
        // multiplicative decrease when the server sheds.
        double concurrencyLimit = 2;
        double latencyMs = 0;
        core::TimePoint sampledAt{};
        core::TimePoint firstUsedAt{};
        core::TimePoint shedAt{};
        core::TimePoint answeredAt{};
        core::TimePoint ejectedUntil{};
        int consecutiveFailures = 0;
        // Running and queued requests per slot, from the last load report.
        double reportedLoad = 0;
        core::TimePoint reportedAt{};
        // Snapshots that the server reported as missing, with the time of the report.
        std::map<core::SnapshotId, core::TimePoint> missingReportedAt;
        std::set<core::SnapshotId> heldSnapshots;
    };

    bool shedRecently(const Server &server, core::TimePoint now) const;
    bool usable(const Server &server, core::TimePoint now) const;
    bool mayHold(const Server &server, core::SnapshotId id, core::TimePoint now) const;
    // Returns the remaining weight, 0 to 1, of the last sample, which halves with each half-life.
    double lastSampleWeight(const Server &server, core::TimePoint now) const;
    // Returns the latency expected of the server when idle.
    double expectedMs(const Server &server, core::TimePoint now) const;
    // Returns whether all candidates are so slow that waiting for a busy server is better.
    bool preferWaiting(const std::vector<std::string> &members,
                       const std::set<std::string> &exclude,
                       const std::vector<const Server *> &candidates, core::TimePoint now) const;
    // Returns the selection cost of the server; lower is better.
    double score(const Server &server, core::TimePoint now) const;
    // Returns how many requests this host may have in flight at the server.
    int capacity(const Server &server, core::TimePoint now) const;
    void addSample(Server &server, double latencyMs, core::TimePoint now);

    std::string m_zone;
    RoutingParameters m_parameters;
    std::function<unsigned(unsigned)> m_random;
    // Latency assumed of servers without recent samples: slow moving average over all servers.
    double m_typicalMs;
    std::map<std::string, Server> m_servers;
    std::map<int, std::vector<std::string>> m_groups;
};

} // namespace goldcrestline::policy::routing
