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

// What one host knows of a service's servers, and the choice among them.
namespace goldcrestline::policy::routing {

// How an attempt at a server ended.
enum class AttemptOutcome {
    Answered,
    // The server refused before starting, because it is full.
    Shed,
    // The server refused before starting, because it is leaving.
    Draining,
    // No connection was made, so no byte reached the server.
    NotReached,
    // The connection ended or the answer was unusable.
    Broken,
    // The host cancelled the attempt.
    Cancelled,
    // The connection stayed silent past the deadline and was closed.
    TimedOut,
};

// Word that a server is leaving, as one host passes it to the others.
struct LeavingNote
{
    std::string serverId;
    core::WallMillis startedAt = 0;
};

// Limits of the choice among servers.
struct RoutingParameters
{
    // Share of a server's connections that this host may open.
    std::function<int(const ServerRecord &)> connectionLimit;
    core::Duration slowStart = std::chrono::seconds(5);
    // Time for which a server that shed counts as full.
    core::Duration shedMemory = std::chrono::milliseconds(20);
    core::Duration ejection = std::chrono::seconds(1);
    core::Duration sampleHalfLife = std::chrono::seconds(5);
    // Latency assumed before there are samples.
    double unknownLatencyMs = 10;
    double crossZoneMs = 6;
};

// Servers of one service with their measured state. Not thread-safe.
class ServerTable
{
public:
    // `random` returns a uniform number in [0, n). Precondition: all hooks are set.
    ServerTable(std::string zone, RoutingParameters limits,
                std::function<unsigned(unsigned)> random);

    // Takes a new list; measured state of servers with the same start time is kept.
    void update(const ServiceRecord &service, core::TimePoint now);

    // Stops new work to a server until it is listed live with a later start. Returns true if new.
    bool noteLeaving(const LeavingNote &note);

    // Returns the notes made since the servers were last listed live.
    std::vector<LeavingNote> leavingNotes() const;

    // Chooses a server of `group` that is not in `exclude` and may hold `snapshot`.
    std::optional<std::string> pick(int group, const std::set<std::string> &exclude,
                                    std::optional<core::SnapshotId> snapshot,
                                    core::TimePoint now) const;

    // Counts an attempt as sent. Precondition: pick() returned `id`.
    void onSent(const std::string &id);

    // Takes the end of an attempt that was sent at `sentAt`.
    void onEnded(const std::string &id, AttemptOutcome end, core::TimePoint sentAt,
                 core::TimePoint now);

    // Takes the load that a server reported: requests running and waiting, and its slots.
    void onLoadReport(const std::string &id, int load, int slots, core::TimePoint now);

    // Notes that a server does not hold, or does hold, a snapshot.
    void onSnapshotMissing(const std::string &id, core::SnapshotId snapshot, core::TimePoint now);
    void onSnapshotHeld(const std::string &id, core::SnapshotId snapshot);

    // Tells whether each group of the snapshot has a usable server that is not known to lack it.
    bool available(const Snapshot &snapshot, core::TimePoint now) const;

    // Tells whether half or more of each group's live servers are known to hold the snapshot.
    bool heldByAllGroups(const Snapshot &snapshot) const;

    // Returns the newest snapshot not in `exclude` that all groups hold, else the newest that no
    // group is known to lack, else null. Precondition: `snapshots` ascends by id.
    const Snapshot *newestUsable(const std::vector<Snapshot> &snapshots,
                                 const std::set<core::SnapshotId> &exclude,
                                 core::TimePoint now) const;

    // Tells whether every usable server of the group shed within the kept time.
    bool allShed(int group, core::TimePoint now) const;

    // Returns the address of a server, or null.
    const ServerRecord *record(const std::string &id) const;

    // Returns the ids of all listed servers.
    std::vector<std::string> ids() const;

    // Tells whether the server answered within `period`, so that its state is known.
    bool answeredWithin(const std::string &id, core::Duration period, core::TimePoint now) const;

    // Returns attempts under way to a server.
    int inFlight(const std::string &id) const;

private:
    struct Server
    {
        ServerRecord record;
        bool leavingByNote = false;
        int inFlight = 0;
        double limit = 2;
        double latencyMs = 0;
        core::TimePoint sampledAt{};
        core::TimePoint firstUsedAt{};
        core::TimePoint shedAt{};
        core::TimePoint answeredAt{};
        core::TimePoint ejectedUntil{};
        int failuresInRow = 0;
        double reportedLoad = 0;
        core::TimePoint reportedAt{};
        std::map<core::SnapshotId, core::TimePoint> lacking;
        std::set<core::SnapshotId> holding;
    };

    bool shedLately(const Server &server, core::TimePoint now) const;
    bool usable(const Server &server, core::TimePoint now) const;
    bool mayHold(const Server &server, core::SnapshotId id, core::TimePoint now) const;
    // Weight of the last sample, which halves with each half-life.
    double ageWeight(const Server &server, core::TimePoint now) const;
    // Latency to expect of the server, its requests under way left aside.
    double expectedMs(const Server &server, core::TimePoint now) const;
    bool worthWaiting(const std::vector<std::string> &members, const std::set<std::string> &exclude,
                      const std::vector<const Server *> &candidates, core::TimePoint now) const;
    double score(const Server &server, core::TimePoint now) const;
    int capacity(const Server &server, core::TimePoint now) const;
    void sample(Server &server, double latencyMs, core::TimePoint now);

    std::string m_zone;
    RoutingParameters m_limits;
    std::function<unsigned(unsigned)> m_random;
    // Latency that an unknown server, or one not sampled for long, is assumed to have.
    double m_typicalMs;
    std::map<std::string, Server> m_servers;
    std::map<int, std::vector<std::string>> m_groups;
};

} // namespace goldcrestline::policy::routing
