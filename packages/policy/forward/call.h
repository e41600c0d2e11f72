#pragma once

#include "policy/forward/backend_table.h"
#include "policy/forward/route.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <tuple>
#include <variant>
#include <vector>

// Decides one forwarded request: which servers to try, when to hedge, retry, and answer.
namespace goldcrestline::policy::forward {

using AttemptId = std::uint64_t;

// What a server's response means.
enum class ReplyKind {
    // A whole success that proves to belong to the request.
    Success,
    // The server's own failure: the request ran.
    Failure,
    // The server's own answer that other servers would give too.
    NonRetryable,
    // The server says that it did not start the request.
    NotExecuted,
    // The address belongs to another server, which did not run the request.
    Misdirected,
};

// Why an attempt brought no response.
enum class AttemptError {
    // No byte of the request left this host.
    NotReached,
    // The request may have run.
    Broken,
};

// How a call ends for its caller.
enum class CallOutcome {
    // The success of one server, passed on as it is.
    Passed,
    // A server's own failure, passed on as it is.
    PassedFailure,
    // Parts of several shards.
    Merged,
    // No server started the request and none will.
    Refused,
    // Servers were tried and none gave a usable answer.
    Failed,
    // The time is over while servers were still at work.
    TimedOut,
};

// Times of one call. All are steady times.
struct CallTimes
{
    core::TimePoint startedAt{};
    // Time by which an answer reaches the caller within the objective.
    core::TimePoint objectiveAt{};
    // Time of the final answer.
    core::TimePoint deadline{};
    // Longest wait for a first server, after which the call is refused.
    core::TimePoint refuseAt{};
};

struct Send
{
    AttemptId attempt;
    std::size_t part;
    BackendPtr backend;
};

// Ends the call. Attempts under way are left to the caller of the state machine.
struct Finish
{
    CallOutcome outcome = CallOutcome::Failed;
    // Parts that are in the answer.
    std::vector<std::size_t> parts;
};
using CallAction = std::variant<Send, Finish>;
using CallActions = std::vector<CallAction>;

// Order in which calls that wait for the same service are served.
struct CallRank
{
    // 0 is the most urgent.
    int priority = 0;
    // Rises with each call.
    std::uint64_t sequence = 0;

    bool operator<(const CallRank &other) const
    {
        return std::tie(priority, sequence) < std::tie(other.priority, other.sequence);
    }
};

// State shared by all calls of a host.
struct CallHooks
{
    // Chooses a server with room; null if there is none or a call of lower rank waits for it.
    std::function<BackendPtr(const std::string &service, CallRank rank,
                             const std::vector<BackendPtr> &exclude, core::TimePoint now)>
        pick;
    std::function<bool(const std::string &service, const std::vector<BackendPtr> &exclude,
                       core::TimePoint now)>
        hasUsable;
    // Returns what a request to the service may expect now; nothing without a usable server.
    std::function<std::optional<Outlook>(const std::string &service, CallRank rank,
                                         core::TimePoint now)>
        estimateLatency;
    // Takes from the service's budget of extra attempts; false if it is used up.
    std::function<bool(const std::string &service, core::TimePoint now)> tryWithdraw;
    // Counts a first attempt, which adds to that budget.
    std::function<void(const std::string &service, core::TimePoint now)> deposit;
    // Returns the time after which an attempt of the route counts as late.
    std::function<core::Duration(const std::string &route)> hedgeDelay;
    std::function<AttemptId()> nextAttempt;
};

// State machine of one call. Not thread-safe.
class Call
{
public:
    // `services` names the service of each part: one for a plain route, all shards for a fan-out.
    // Preconditions: `services` is not empty; the route table and the hooks outlive the call.
    Call(RouteTablePtr table, const Route &route, std::vector<std::string> services,
         std::uint64_t sequence, CallTimes times, const CallHooks &hooks);

    // Sends the first attempts, or refuses the call if they would come too late. Call once.
    void start(core::TimePoint now, CallActions &out);

    // Takes a response. The caller keeps a success's body for the part, and the body of the last
    // failure of a plain route.
    void onReply(AttemptId attempt, ReplyKind kind, core::TimePoint now, CallActions &out);

    // Takes the loss of an attempt.
    void onError(AttemptId attempt, AttemptError loss, core::TimePoint now, CallActions &out);

    // Takes the news that a server of a part's service has room.
    void onCapacityFree(std::size_t part, core::TimePoint now, CallActions &out);

    // Takes the passing of time. Call at nextWake() or later.
    void onTimer(core::TimePoint now, CallActions &out);

    // Returns when onTime() has to be called next.
    core::TimePoint nextTimer(core::TimePoint now) const;

    CallRank rank() const { return {m_route.priority, m_sequence}; }
    bool finished() const { return m_finished; }
    const Route &route() const { return m_route; }
    const CallTimes &times() const { return m_times; }
    const std::vector<std::string> &services() const { return m_services; }
    // Tells whether the part waits for any server of its service to have room, so that calls of
    // lower rank have to wait behind it. A part that waits for the budget, or for a server that it
    // did not try yet, holds up nobody.
    bool waitsInLine(std::size_t part) const
    {
        return m_parts[part].waiting && m_parts[part].tried.empty();
    }
    int attempts() const { return m_attemptsSent; }
    // Returns the part of an attempt under way; nothing if it ended or the call did.
    std::optional<std::size_t> partOf(AttemptId attempt) const;
    // Returns the attempts under way.
    std::vector<AttemptId> attemptsInFlight() const;
    // Returns a short text for each part that is not in the answer, for the log.
    std::vector<std::string> describeParts(core::TimePoint now) const;
    bool anyWaiting() const;
    bool partDone(std::size_t part) const { return m_parts[part].done; }

private:
    struct Attempt
    {
        AttemptId id;
        std::size_t part;
        BackendPtr backend;
    };
    struct Part
    {
        bool done = false;
        // No further attempt can bring this part.
        bool lost = false;
        bool waiting = false;
        int live = 0;
        // Attempts that ran, may have run or are under way.
        int mayHaveRun = 0;
        std::vector<BackendPtr> tried;
        core::TimePoint hedgeAt = core::TimePoint::max();
        // Time after which an answer was expected, in ms, if that was too late; 0 if not.
        double expectedMs = 0;
    };

    // A part that is expected after the objective.
    struct LatePart
    {
        std::size_t part = 0;
        Outlook estimateLatency;
    };

    // Marks parts without a server as lost and returns those expected too late, the latest first.
    std::vector<LatePart> findLateParts(core::TimePoint now);
    // Leaves out parts that would come too late, and refuses the call if it needs one of them.
    void admit(core::TimePoint now, CallActions &out);
    // Tells whether a request that is not on time should not be sent at all.
    bool hopeless(const Outlook &estimateLatency, core::TimePoint now) const;
    void trySend(std::size_t part, core::TimePoint now, CallActions &out);
    void sendTo(std::size_t part, const BackendPtr &backend, core::TimePoint now, CallActions &out);
    void hedge(std::size_t part, core::TimePoint now, CallActions &out);
    void conclude(core::TimePoint now, CallActions &out);
    void finish(CallOutcome outcome, CallActions &out);
    // Ends the call without a usable answer.
    void fail(CallOutcome ifItMayHaveRun, CallActions &out);
    std::optional<Attempt> take(AttemptId attempt);
    bool mayTryAgain(const Part &part) const;
    bool mayHaveRun() const;
    bool enough(std::size_t parts) const;

    // Keeps the route alive while newer versions come into force.
    RouteTablePtr m_table;
    const Route &m_route;
    std::vector<std::string> m_services;
    std::uint64_t m_sequence;
    CallTimes m_times;
    const CallHooks &m_hooks;
    std::vector<Part> m_parts;
    std::vector<Attempt> m_attempts;
    int m_attemptsSent = 0;
    // Next time at which waiting parts look for a server.
    core::TimePoint m_retryAt = core::TimePoint::max();
    // A plain route's server failed the request; its answer is passed on unless a retry succeeds.
    bool m_failurePassable = false;
    bool m_finished = false;
};

} // namespace goldcrestline::policy::forward
