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

// Decides one query: which servers to ask, when to hedge, retry, fall back and answer.
namespace goldcrestline::policy::fanout {

// Names one attempt at one server; unique within the process.
using AttemptId = std::uint64_t;

// What a server says of the part that it answered.
struct Reply
{
    std::string queryId;
    int group = 0;
    core::SnapshotId snapshot;
    std::uint64_t documents = 0;
    std::string body;
};

// What a query asks for.
struct Query
{
    std::string id;
    // Rank among the queries of the service: the older a query, the lower its number.
    std::uint64_t order = 0;
    config::Allowance allowance;
    core::TimePoint deadline;
};

// The query's answer: everything in it is from `snapshot`.
struct Answer
{
    core::ResultCode code = core::ResultCode::Ok;
    core::SnapshotId snapshot;
    std::uint64_t answeredDocuments = 0;
    std::uint64_t allDocuments = 0;
    std::vector<int> missingGroups;
    std::map<int, std::string> parts;
};

// Orders to the caller of the state machine.
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

// Why an attempt brought no usable reply.
enum class Failure { Shed, Draining, NotReached, Broken, SnapshotMissing };

// Whether a reply was taken, came too late to matter, or proves that the connection is unsound.
enum class ReplyVerdict { Taken, Ignored, Foreign };

// Decisions that depend on state shared by all queries of a service.
struct Hooks
{
    // Chooses a server for a group; nothing if none may be used now, or if an older query waits.
    std::function<std::optional<std::string>(std::uint64_t order, int group,
                                             const std::set<std::string> &exclude,
                                             core::SnapshotId snapshot, core::TimePoint now)>
        pick;
    // Notes that a query waits for a server of a group, or no longer does.
    std::function<void(std::uint64_t order, int group, bool waits)> setWaiting;
    // Tells whether a hedge, or a retry, may be sent for the group; takes from the budget if so.
    std::function<bool(int group, core::TimePoint now)> mayHedge;
    std::function<bool(int group, Failure why, core::TimePoint now)> mayRetry;
    // Returns how long an attempt may take before it is hedged.
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

    // Takes a server's reply to an attempt.
    std::vector<Action> onReply(AttemptId attempt, const Reply &reply, core::TimePoint now,
                                ReplyVerdict &verdict);

    // Takes the failure of an attempt.
    std::vector<Action> onFailure(AttemptId attempt, Failure failure, core::TimePoint now);

    // Takes the passing of time; call at nextWake() or later.
    std::vector<Action> onTimer(core::TimePoint now);

    // Takes the news that a server of the group has room; the query may have waited for it.
    std::vector<Action> onCapacityFree(int group, core::TimePoint now);

    // Cancels everything, as when the caller hung up.
    std::vector<Action> cancel();

    // Returns when onTime() has to be called next.
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
        bool wantsServer = false;
        // The next try takes from the retry budget.
        bool postponed = false;
        bool hedged = false;
        int live = 0;
        std::set<std::string> tried;
        core::TimePoint hedgeAt{};
        core::TimePoint retryAt{};
    };

    void begin(const routing::Snapshot &snapshot, core::TimePoint now, std::vector<Action> &out);
    bool sendTo(int group, core::TimePoint now, std::vector<Action> &out);
    void sendToServer(int group, const std::string &server, core::TimePoint now,
                      std::vector<Action> &out);
    void hedgeGroup(int group, core::TimePoint now, std::vector<Action> &out);
    void postpone(int group, core::TimePoint now);
    void setWaiting(int group, bool waits);
    void stopWaiting();
    void retryGroup(int group, core::TimePoint now, std::vector<Action> &out);
    void fallBack(core::TimePoint now, std::vector<Action> &out);
    void maybeFinish(core::TimePoint now, std::vector<Action> &out);
    void finish(std::vector<Action> &out);
    void cancelLive(std::vector<Action> &out);
    Answer currentAnswer() const;
    bool nothingLeft() const;
    core::TimePoint answerAt() const;

    Query m_query;
    routing::Snapshot m_snapshot;
    const Hooks &m_hooks;
    core::TimePoint m_startedAt{};
    std::map<int, Group> m_groups;
    std::map<AttemptId, Attempt> m_attempts;
    std::map<int, std::string> m_parts;
    std::uint64_t m_answeredDocuments = 0;
    // Snapshots given up or under way.
    std::set<core::SnapshotId> m_triedSnapshots;
    // Best answer of a snapshot that was given up.
    std::optional<Answer> m_earlier;
    bool m_finished = false;
};

} // namespace goldcrestline::policy::fanout
