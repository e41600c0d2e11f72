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

// State machine of one forwarded request: selects servers, hedges, retries and decides the outcome.
// Performs no I/O: it returns actions to its caller.
namespace goldcrestline::policy::forward {

using AttemptId = std::uint64_t;

// Meaning of a server's response.
enum class ReplyKind {
    // A complete success that is verified to belong to the request.
    Success,
    // The server executed the request and failed.
    Failure,
    // A definitive response, such as a rejection, that other servers would give too.
    NonRetryable,
    // The server states that it did not execute the request.
    NotExecuted,
    // The address belongs to another server, which did not execute the request.
    Misdirected,
};

// Why an attempt ended without a usable response.
enum class AttemptError {
    // No byte of the request was sent.
    NotReached,
    // The request may have been executed, and the server may have crashed.
    Broken,
    // The request may have been executed by a server that did not crash.
    Unusable,
};

// Outcome of a call for its caller.
enum class CallOutcome {
    // The success response of one server, forwarded unchanged.
    Passed,
    // The failure response of a server, forwarded unchanged.
    PassedFailure,
    // Merged parts of several shards.
    Merged,
    // No server has executed the request and none will.
    Refused,
    // Servers were tried and none sent a usable response.
    Failed,
    // The deadline passed while attempts were in flight.
    TimedOut,
    // The request crashes servers and is not sent to any more.
    Blocked,
};

// Which attempts of a call may be sent, given what its request did to servers.
enum class SendPermission {
    Any,
    // Only while no other attempt of the call is in flight.
    OneAtATime,
    // The same, and none after one that may have been executed.
    Once,
    // None for now.
    Later,
    // None any more, because the request crashes servers.
    Never,
    // None any more, because the caller's access can no longer be proven.
    Withdrawn,
};

// Times of one call, on the steady clock.
struct CallTimes
{
    core::TimePoint startedAt{};
    // Latest time of a response that reaches the caller within the latency objective.
    core::TimePoint objectiveAt{};
    // Time at which the call ends in any case.
    core::TimePoint deadline{};
    // Time at which the call is refused unless a server may have executed the request.
    core::TimePoint refuseAt{};
};

// Action: send an attempt for a part to a server.
struct Send
{
    AttemptId attempt;
    std::size_t part;
    BackendPtr backend;
};

// Action: end the call. The caller of the state machine disposes of the attempts in flight.
struct Finish
{
    CallOutcome outcome = CallOutcome::Failed;
    // Parts that the response contains.
    std::vector<std::size_t> parts;
    // For a refused call: estimated time until it could be served; zero if it is not known.
    core::Duration expectedWait{0};
};
using CallAction = std::variant<Send, Finish>;
using CallActions = std::vector<CallAction>;

// Position of a call in the wait queue of a service.
struct CallRank
{
    // 0 is the most urgent.
    int priority = 0;
    // Start tag of the call's share of the servers; lower ones go first.
    double startTag = 0;
    // Increases with each call.
    std::uint64_t sequence = 0;

    bool operator<(const CallRank &other) const
    {
        return std::tie(priority, startTag, sequence)
            < std::tie(other.priority, other.startTag, other.sequence);
    }
};

// Access to the state that all calls of a host share.
struct CallHooks
{
    // Selects a server with free capacity outside `exclude`; null if there is none or a call ahead
    // of `rank` is queued for the service.
    std::function<BackendPtr(const std::string &service, CallRank rank,
                             const std::vector<BackendPtr> &exclude, core::TimePoint now)>
        pick;
    // Returns whether the service has a usable server outside `exclude`, with or without capacity.
    std::function<bool(const std::string &service, const std::vector<BackendPtr> &exclude,
                       core::TimePoint now)>
        hasUsable;
    // Returns the latency estimate of a request that is sent now; nothing without a usable server.
    std::function<std::optional<LatencyEstimate>(const std::string &service, CallRank rank,
                                                 core::TimePoint now)>
        estimateLatency;
    // Returns when the service's first resting or ejected server is used again, if any.
    std::function<std::optional<core::TimePoint>(const std::string &service, core::TimePoint now)>
        availableAgainAt;
    // Withdraws an extra attempt from the service's retry budget; false if the budget is exhausted.
    std::function<bool(const std::string &service, core::TimePoint now)> tryWithdraw;
    // Deposits a first attempt into that budget.
    std::function<void(const std::string &service, core::TimePoint now)> deposit;
    // Returns the time after which an attempt of the route is hedged.
    std::function<core::Duration(const std::string &route)> hedgeDelay;
    // Returns which attempts the call with this sequence number may send.
    std::function<SendPermission(std::uint64_t sequence, core::TimePoint now)> permission;
    // Returns whether the call leaves out the service, whose servers its request crashes. `broke`:
    // an attempt of the call broke there.
    std::function<bool(std::uint64_t sequence, const std::string &service, bool broke,
                       core::TimePoint now)>
        leavesOut = [](auto &&...) { return false; };
    std::function<AttemptId()> nextAttempt;
};

// State machine of one call. Not thread-safe.
class Call
{
public:
    // `services` contains the service of each part: one for a plain route, all shards for a
    // fan-out. Preconditions: `services` is not empty; `route` is in `table`; the hooks outlive the
    // call.
    Call(RouteTablePtr table, const Route &route, std::vector<std::string> services, CallRank rank,
         CallTimes times, const CallHooks &hooks);

    // Sends the first attempts, or refuses the call if their responses are expected too late. Call
    // once.
    void start(core::TimePoint now, CallActions &out);

    // Handles a response. The caller stores the body of a success for the part, and the body of the
    // last failure of a plain route.
    void onReply(AttemptId attempt, ReplyKind kind, core::TimePoint now, CallActions &out);

    // Handles an attempt that ended without a usable response.
    void onError(AttemptId attempt, AttemptError error, core::TimePoint now, CallActions &out);

    // Handles free capacity at a server of the part's service.
    void onCapacityFree(std::size_t part, core::TimePoint now, CallActions &out);

    // Handles due retries, hedges and time limits. Call at nextTimer() or later.
    void onTimer(core::TimePoint now, CallActions &out);

    // Returns when onTimer() has to be called next.
    core::TimePoint nextTimer(core::TimePoint now) const;

    CallRank rank() const { return m_rank; }
    bool finished() const { return m_finished; }
    const Route &route() const { return m_route; }
    const CallTimes &times() const { return m_times; }
    // Ends the call no later than `at`.
    void limitDeadline(core::TimePoint at) { m_times.deadline = std::min(m_times.deadline, at); }
    const std::vector<std::string> &services() const { return m_services; }
    // Returns whether the part is queued for any server of its service, so that calls behind it in
    // rank have to wait. A part that waits for the retry budget, for permission, or for a server
    // that it has not tried yet, does not block others.
    bool isQueued(std::size_t part) const
    {
        const auto &state = m_parts[part];
        return state.waiting && !state.heldBack && state.tried.empty();
    }
    int attempts() const { return m_attemptsSent; }
    // Returns the part of an attempt in flight; nothing if the attempt has ended.
    std::optional<std::size_t> partOf(AttemptId attempt) const;
    // Returns the attempts in flight.
    std::vector<AttemptId> attemptsInFlight() const;
    // Returns a short log text for each part without a result.
    std::vector<std::string> describeParts(core::TimePoint now) const;
    bool hasWaitingParts() const;
    bool partDone(std::size_t part) const { return m_parts[part].done; }
    // Returns whether a server ran the request to its end, with success or not.
    bool completedAnywhere() const { return m_completedAnywhere; }

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
        // The call proceeds without this part: no attempt can complete it any more, or it is
        // estimated to arrive too late.
        bool lost = false;
        // Waits for server capacity, for the retry budget or for permission.
        bool waiting = false;
        // Waits for permission.
        bool heldBack = false;
        int inFlight = 0;
        // Attempts that executed the request, may have done so or are in flight.
        int mayHaveExecuted = 0;
        // An attempt broke, so that the request may have crashed the server.
        bool broke = false;
        std::vector<BackendPtr> tried;
        core::TimePoint hedgeAt = core::TimePoint::max();
        // Estimated response time in ms if it exceeds the objective, else 0.
        double expectedMs = 0;
    };

    // A part whose response is estimated to arrive after the objective.
    struct LatePart
    {
        std::size_t part = 0;
        LatencyEstimate estimate;
    };

    // Marks parts without a usable server as lost and returns the late parts, latest first.
    std::vector<LatePart> findLateParts(core::TimePoint now);
    // Omits parts that are estimated too late, and refuses the call if it needs one of them.
    void admit(core::TimePoint now, CallActions &out);
    // Returns the time until enough services have a usable server again; zero if it is not known.
    core::Duration timeUntilUsable(core::TimePoint now) const;
    // Returns whether a request that is estimated to miss the objective should be refused.
    bool shouldRefuse(const LatencyEstimate &estimate, core::TimePoint now) const;
    void trySend(std::size_t part, core::TimePoint now, CallActions &out);
    // Returns the permission with which an attempt may be sent now. Without one the part waits or
    // is lost.
    std::optional<SendPermission> checkPermission(std::size_t part, core::TimePoint now);
    // Returns whether the request may have crashed the part's server, and no server answered any
    // part of it. If it crashes all servers, a second attempt of each part would crash as many
    // again before the first crash is known.
    bool mayHaveCrashed(const Part &part) const;
    // Sends the parts that were held back, as far as permitted by now.
    void sendHeldBack(core::TimePoint now, CallActions &out);
    void waitForRetry(Part &part, core::TimePoint now);
    void sendTo(std::size_t part, const BackendPtr &backend, core::TimePoint now, CallActions &out);
    void hedge(std::size_t part, core::TimePoint now, CallActions &out);
    // Finishes the call if its outcome is determined.
    void finishIfDecided(core::TimePoint now, CallActions &out);
    void finish(CallOutcome outcome, CallActions &out);
    void refuse(core::Duration expectedWait, CallActions &out);
    // Ends the call without a success. Refuses it if no server may have executed the request.
    void finishUnanswered(CallOutcome outcomeIfExecuted, CallActions &out);
    std::optional<Attempt> removeAttempt(AttemptId attempt);
    bool mayRetry(const Part &part) const;
    bool mayHaveExecuted() const;
    // Returns whether this many parts are enough for a success.
    bool meetsMinShare(std::size_t parts) const;

    // Keeps the route alive when a newer version replaces the table.
    RouteTablePtr m_table;
    const Route &m_route;
    std::vector<std::string> m_services;
    CallRank m_rank;
    CallTimes m_times;
    const CallHooks &m_hooks;
    std::vector<Part> m_parts;
    std::vector<Attempt> m_attempts;
    int m_attemptsSent = 0;
    // Next time at which waiting parts retry the selection of a server.
    core::TimePoint m_retryAt = core::TimePoint::max();
    // A server of a plain route failed the request; its response is forwarded unless a retry
    // succeeds.
    bool m_hasFailureResponse = false;
    bool m_completedAnywhere = false;
    // A server executed the request and answered.
    bool m_answered = false;
    // Permission to send was refused for good.
    bool m_blocked = false;
    // Permission to send once was used, and that attempt may have been executed.
    bool m_sentOnce = false;
    bool m_finished = false;
};

} // namespace goldcrestline::policy::forward
