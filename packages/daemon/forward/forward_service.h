#pragma once

#include "adapters/loop/exchange_client.h"
#include "adapters/loop/http_server.h"
#include "core/clock.h"
#include "daemon/forward/crash_monitor.h"
#include "daemon/forward/forward_counters.h"
#include "platform/http_messages.h"
#include "policy/forward/backend_table.h"
#include "policy/forward/call.h"
#include "policy/forward/elapsed_time.h"
#include "policy/forward/fair_admission.h"
#include "policy/forward/hedge_delay.h"
#include "policy/forward/route.h"
#include "policy/forward/wait_queue.h"
#include "policy/forward/weighted_round_robin.h"
#include "policy/quarantine/request_content.h"
#include "policy/quarantine/request_quarantine.h"
#include "policy/retry/budget.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>

namespace goldcrestline::daemon::forward {

// Time, retry and admission limits of forwarded requests.
struct ForwardLimits
{
    // Network round-trip time between this host and a caller.
    core::Millis callerRoundTrip{11};
    // Extra attempts (retries and hedges) of this host to one service: number per first attempt,
    // and number in a burst.
    double extraAttemptShare = 0.18;
    double extraBurst = 4;
    // Fraction of the latency objective for which a request may wait for its first server before it
    // is rejected.
    double maxQueueShare = 0.2;
    // Upper bound, as a fraction of the latency objective, of the time that a request is assumed to
    // have spent before it arrived. Where callers of one route use different deadlines, the
    // estimate is too high for those with short ones.
    double maxElapsedShare = 0.5;
};

// Access to the host that the service runs on. All are called on the event loop's thread.
struct ForwardHooks
{
    // Returns a uniform number in [0, 1).
    std::function<double()> random;
    // Returns whether the server list was loaded: until then a request for a service without a
    // server waits for one.
    std::function<bool()> serversKnown;
    // Called when this host adds a crash to the quarantine.
    std::function<void()> onCrashRecorded;
    // Returns whether requests with the key of this digest may still be sent to servers.
    std::function<bool(const std::string &keyDigest)> accessAllowed;
    // Called for a request of a workspace that ended without having been executed.
    std::function<void(const std::string &workspace, core::TimePoint now)> onNotExecuted;
    // Called for each attempt that ended, with a response of the server or without.
    std::function<void(const policy::forward::Backend &, bool responded, core::TimePoint now)>
        onAttemptEnded;
    // Called for each call that ended with an outcome; the workspace is empty without a key.
    std::function<void(const std::string &workspace, policy::forward::CallOutcome,
                       core::TimePoint now)>
        onCallEnded;
};

// A caller's request that may be forwarded.
struct AdmittedRequest
{
    adapters::loop::HttpCall call;
    platform::RequestMetadata metadata;
    // `route` belongs to `table`.
    policy::forward::RouteTablePtr table;
    const policy::forward::Route *route = nullptr;
    // Workspace and digest of the caller's key; empty without one.
    std::string workspace;
    std::string keyDigest;
    // Priority of the workspace, or else of the route; 0 is the most urgent.
    int priority = 0;
    core::TimePoint receivedAt{};
};

// Forwards callers' requests to servers along their routes. Not thread-safe: use only on the event
// loop's thread.
class ForwardService
{
public:
    // Precondition: `backends`, `client` and `quarantine` outlive this object.
    ForwardService(ForwardLimits limits, policy::forward::BackendTable &backends,
                   adapters::loop::ExchangeClient &client,
                   policy::quarantine::RequestQuarantine &quarantine, ForwardHooks hooks);

    // Sets the burst of extra attempts to one service.
    void setExtraBurst(double burst);

    // Starts forwarding a request. `request.call.respond` is called once, unless the caller
    // disconnects first.
    void handle(AdmittedRequest request, core::TimePoint now);

    // Ends all calls by `endAt`, at which the process is about to exit: a call in progress is
    // answered then, and a request that would take until later is refused.
    void shutDown(core::TimePoint endAt, core::TimePoint now);

    // Cancels the call whose caller closed its connection. `httpCallId` is its id at the HTTP
    // server.
    void onCallerDisconnect(std::uint64_t httpCallId, core::TimePoint now);

    // Processes the timers that have expired.
    void tick(core::TimePoint now);

    // Returns when tick() has to be called next; max if no timer is set.
    core::TimePoint nextTickAt() const;

    std::size_t running() const { return m_calls.size(); }
    const ForwardCounters &counters() const { return m_counters; }

private:
    // One shard's contribution to a merged response.
    struct Part
    {
        // The server's execution stamp.
        std::string stamp;
        std::string body;
    };
    // A call in progress with what its attempts and its response need.
    struct RunningCall
    {
        RunningCall(policy::forward::Call call,
                    std::function<void(ports::OutgoingResponse)> respond)
            : call(std::move(call)), respond(std::move(respond))
        { }

        policy::forward::Call call;
        std::function<void(ports::OutgoingResponse)> respond;
        // Id of the call at the HTTP server.
        std::uint64_t httpCallId = 0;
        std::string requestId;
        // Empty for a request without a key.
        std::string workspace;
        std::string keyDigest;
        policy::quarantine::RequestContentPtr content;
        std::shared_ptr<const std::string> head;
        std::shared_ptr<const std::string> body;
        bool bodyless = false;
        std::vector<Part> parts;
        // Server response to relay, on a route without fan-out.
        ports::ExchangeResult response;
        // Attempts whose connection ended and whose server is being checked.
        int attemptsHeld = 0;
        core::TimePoint timerAt = core::TimePoint::max();
    };
    struct Attempt
    {
        std::uint64_t call = 0;
        std::string requestId;
        policy::quarantine::RequestContentPtr content;
        std::string route;
        // Service of one part of a fan-out; empty on other routes.
        std::string partAt;
        policy::forward::BackendPtr backend;
        ports::ExchangeId exchange = 0;
        core::TimePoint sentAt{};
        // Time at which the exchange is aborted; max while its call is in progress.
        core::TimePoint abortAt = core::TimePoint::max();
        // The attempt was cancelled because the caller disconnected, so that a missing response is
        // not counted as a time-out of the server.
        bool callerDisconnected = false;
    };

    // Returns which attempts a call may send, given what its request did to servers.
    policy::forward::SendPermission permission(std::uint64_t id, core::TimePoint now) const;
    // Returns whether another call sent the same content to a server that has not responded yet.
    bool isRunningElsewhere(std::uint64_t id,
                            const policy::quarantine::RequestContent &content) const;
    // Refuses a request that would not end before the process does; returns whether it did.
    bool refuseLate(AdmittedRequest &request, core::TimePoint now);
    policy::forward::CallTimes makeCallTimes(const AdmittedRequest &request);
    // Carries out the actions that a call's state machine returned.
    void apply(std::uint64_t id, policy::forward::CallActions &actions, core::TimePoint now);
    void send(std::uint64_t id, RunningCall &running, const policy::forward::Send &sendAction,
              core::TimePoint now);
    void finish(std::uint64_t id, RunningCall &running, const policy::forward::Finish &finish,
                core::TimePoint now);
    ports::OutgoingResponse makeResponse(RunningCall &running,
                                         const policy::forward::Finish &finish);
    void countOutcome(const RunningCall &running, const policy::forward::Finish &finish,
                      core::TimePoint now);
    void logOutcome(const RunningCall &running, const policy::forward::Finish &finish,
                    core::TimePoint now) const;
    void onExchange(policy::forward::AttemptId id, ports::ExchangeResult result,
                    core::TimePoint now);
    // Handles an attempt without a response.
    void onBroken(policy::forward::AttemptId id, const Attempt &attempt,
                  const ports::ExchangeResult &result, core::TimePoint now);
    // Tells the call that its attempt broke, after the check of the server.
    void resumeBroken(policy::forward::AttemptId id, std::uint64_t call,
                      policy::quarantine::ServerState state, core::TimePoint now);
    // Applies what a response proves about a request that may crash servers.
    void noteCompletion(const Attempt &attempt, const platform::ServerReply &reply,
                        core::TimePoint now);
    void onResponse(policy::forward::AttemptId id, const Attempt &attempt,
                    ports::ExchangeResult result, core::TimePoint now);
    // Applies what the server said about itself: that it is leaving, or wants no requests.
    void noteRequests(policy::forward::Backend &backend, const platform::ServerReply &reply,
                      core::TimePoint now);
    // Applies what a server's response says of its limit.
    void noteLimit(policy::forward::Backend &backend, const platform::ServerReply &reply,
                   core::TimePoint now);
    // Updates the server's statistics and the route's latency with the outcome of an attempt.
    void recordOutcome(const Attempt &attempt, policy::forward::AttemptOutcome outcome,
                       core::TimePoint now);
    static policy::forward::AttemptOutcome outcomeOf(const platform::ServerReply &reply);
    static void storeResponse(RunningCall &running, policy::forward::AttemptId id,
                              const platform::ServerReply &reply, ports::ExchangeResult result);
    // Lets the attempts of a call that ends run on until `abortAt`.
    void detachAttempts(std::uint64_t id, core::TimePoint abortAt, bool callerDisconnected);
    // Aborts the detached attempts whose time has come.
    void abortDetached(core::TimePoint now);
    // Offers a service's free capacity to the calls in its wait queue, in their order.
    void dispatchWaiting(const std::string &service, core::TimePoint now);
    void scheduleTimer(std::uint64_t id, RunningCall &running, core::TimePoint now);
    policy::retry::Budget &budget(const std::string &service);

    ForwardLimits m_limits;
    policy::forward::BackendTable &m_backends;
    adapters::loop::ExchangeClient &m_client;
    ForwardHooks m_hostHooks;
    policy::forward::WeightedRoundRobin m_trafficSplit;
    policy::forward::ElapsedTimeEstimator m_elapsedTime;
    policy::forward::HedgeDelayTracker m_hedgeDelay;
    policy::forward::CallHooks m_hooks;
    policy::quarantine::RequestQuarantine &m_quarantine;
    CrashMonitor m_crashMonitor;
    std::unordered_map<std::string, policy::retry::Budget> m_budgets;
    std::unordered_map<std::uint64_t, std::unique_ptr<RunningCall>> m_calls;
    // Ids of the calls in progress by their id at the HTTP server.
    std::unordered_map<std::uint64_t, std::uint64_t> m_byHttpCall;
    std::unordered_map<policy::forward::AttemptId, Attempt> m_attempts;
    // Attempts whose call ended, ordered by the time at which they are aborted.
    std::set<std::pair<core::TimePoint, policy::forward::AttemptId>> m_detached;
    // Timers of the calls in progress.
    std::set<std::pair<core::TimePoint, std::uint64_t>> m_timers;
    policy::forward::WaitQueue m_waitQueue;
    // When the requests that wait for a cold server are tried again.
    core::TimePoint m_coldCheckAt = core::TimePoint::max();
    policy::forward::FairAdmission m_fair{m_backends, m_waitQueue};
    // Time by which all calls end, during a planned stop.
    core::TimePoint m_endAt = core::TimePoint::max();
    policy::forward::AttemptId m_lastAttempt = 0;
    std::uint64_t m_lastCall = 0;
    ForwardCounters m_counters;
};

} // namespace goldcrestline::daemon::forward
