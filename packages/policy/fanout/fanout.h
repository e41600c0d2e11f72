#pragma once

#include "core/clock.h"
#include "core/result_code.h"
#include "policy/config/lists.h"
#include "policy/routing/fleet.h"
#include "policy/routing/server_table.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

// State machine of one query over the groups (shards) of a service: selects servers, hedges,
// retries, falls back to another snapshot and decides the answer. Performs no I/O: it returns
// actions.
namespace goldcrestline::policy::fanout {

// Identifies one attempt at one server; unique within the process.
using AttemptId = std::uint64_t;

// A server's reply for one group.
struct Reply
{
    std::string queryId;
    int group = 0;
    core::SnapshotId snapshot;
    std::uint64_t documents = 0;
    std::string body;
};

// Parameters of a query.
struct Query
{
    std::string id;
    // Increases with each query of the service; older queries get free servers first.
    std::uint64_t sequence = 0;
    config::ServicePolicy allowance;
    core::TimePoint deadline;
};

// Answer of a query; all of its parts are from `snapshot`.
struct Answer
{
    core::ResultCode code = core::ResultCode::Ok;
    core::SnapshotId snapshot;
    std::uint64_t answeredDocuments = 0;
    std::uint64_t allDocuments = 0;
    std::vector<int> missingGroups;
    std::map<int, std::string> parts;
};

// Actions for the caller of the state machine.
struct Send
{
    AttemptId attempt;
    std::string server;
    int group;
    core::SnapshotId snapshot;
    core::TimePoint deadline;
};
struct Cancel
{
    AttemptId attempt;
};
struct Finish
{
    Answer answer;
};
using Action = std::variant<Send, Cancel, Finish>;

// Why an attempt ended without a usable reply.
enum class Failure { Shed, Draining, NotReached, Broken, SnapshotMissing };

// Whether a reply was used, arrived after its attempt or group was settled, or does not belong to
// the attempt, so that its connection must not be used further.
enum class ReplyVerdict { Accepted, Ignored, Mismatched };

// Access to the state that all queries of a service share.
struct Hooks
{
    // Selects a server for a group; nothing if none is usable now or an older query waits for one.
    std::function<std::optional<std::string>(std::uint64_t sequence, int group,
                                             const std::set<std::string> &exclude,
                                             core::SnapshotId snapshot, core::TimePoint now)>
        pick;
    // Records whether a query waits for a server of a group.
    std::function<void(std::uint64_t sequence, int group, bool waits)> setWaiting;
    // Returns whether a hedge, or a retry, may be sent for the group, and withdraws it from the
    // budget if so.
    std::function<bool(int group, core::TimePoint now)> mayHedge;
    std::function<bool(int group, Failure why, core::TimePoint now)> mayRetry;
    // Returns the time after which an attempt is hedged.
    std::function<core::Duration(core::TimePoint now)> hedgeDelay;
    // Returns the best snapshot that is not in `tried`, or null.
    std::function<const routing::Snapshot *(const std::set<core::SnapshotId> &tried,
                                            core::TimePoint now)>
        fallbackSnapshot;
    std::function<AttemptId()> nextAttempt;
};

// State machine of one query. Not thread-safe.
class Fanout
{
public:
    // Preconditions: the snapshot has at least one group; all hooks are set and outlive this.
    Fanout(Query query, routing::Snapshot snapshot, const Hooks &hooks);

    // Sends the first attempts. Call once.
    std::vector<Action> start(core::TimePoint now);

    // Handles a server's reply to an attempt.
    std::vector<Action> onReply(AttemptId attempt, const Reply &reply, core::TimePoint now,
                                ReplyVerdict &verdict);

    // Handles the failure of an attempt.
    std::vector<Action> onFailure(AttemptId attempt, Failure failure, core::TimePoint now);

    // Handles due retries, hedges and the deadline. Call at nextTimer() or later.
    std::vector<Action> onTimer(core::TimePoint now);

    // Handles free capacity at a server of the group, for which the query may be waiting.
    std::vector<Action> onCapacityFree(int group, core::TimePoint now);

    // Cancels all attempts and ends the query without an answer, as when the caller disconnected.
    std::vector<Action> cancel();

    // Returns when onTimer() has to be called next.
    core::TimePoint nextTimer() const;

    bool finished() const { return m_finished; }

private:
    struct Attempt
    {
        int group;
        std::string server;
        core::TimePoint sentAt;
    };
    struct Group
    {
        bool answered = false;
        // Waits until retryAt, or for free capacity, to select a server.
        bool waiting = false;
        // The next attempt has to be withdrawn from the retry budget.
        bool needsRetryBudget = false;
        bool hedged = false;
        int inFlight = 0;
        std::set<std::string> tried;
        core::TimePoint hedgeAt{};
        core::TimePoint retryAt{};
    };

    // Discards the parts of the previous snapshot and sends the first attempts for this one.
    void startSnapshot(const routing::Snapshot &snapshot, core::TimePoint now,
                       std::vector<Action> &out);
    bool sendTo(int group, core::TimePoint now, std::vector<Action> &out);
    void sendToServer(int group, const std::string &server, core::TimePoint now,
                      std::vector<Action> &out);
    void hedgeGroup(int group, core::TimePoint now, std::vector<Action> &out);
    // Schedules a retry that first needs the retry budget.
    void postponeRetry(int group, core::TimePoint now);
    void setWaiting(int group, bool waits);
    void stopWaiting();
    void retryGroup(int group, core::TimePoint now, std::vector<Action> &out);
    // Restarts the query on the next best snapshot, if there is one.
    void fallBack(core::TimePoint now, std::vector<Action> &out);
    void finishIfDecided(core::TimePoint now, std::vector<Action> &out);
    void finish(std::vector<Action> &out);
    void cancelInFlight(std::vector<Action> &out);
    Answer currentAnswer() const;
    bool allGroupsSettled() const;
    core::TimePoint earlyAnswerAt() const;

    Query m_query;
    routing::Snapshot m_snapshot;
    const Hooks &m_hooks;
    core::TimePoint m_startedAt{};
    std::map<int, Group> m_groups;
    std::map<AttemptId, Attempt> m_attempts;
    std::map<int, std::string> m_parts;
    std::uint64_t m_answeredDocuments = 0;
    // The current snapshot and those discarded before it.
    std::set<core::SnapshotId> m_triedSnapshots;
    // Answer of highest coverage among the discarded snapshots.
    std::optional<Answer> m_bestPrevious;
    bool m_finished = false;
};

} // namespace goldcrestline::policy::fanout
