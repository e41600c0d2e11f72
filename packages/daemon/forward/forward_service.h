#pragma once

#include "adapters/loop/exchange_client.h"
#include "adapters/loop/front_server.h"
#include "core/clock.h"
#include "daemon/forward/forward_counters.h"
#include "platform/dialect.h"
#include "policy/forward/backend_table.h"
#include "policy/forward/call.h"
#include "policy/forward/elapsed_time.h"
#include "policy/forward/hedge_delay.h"
#include "policy/forward/route.h"
#include "policy/forward/wait_queue.h"
#include "policy/forward/weighted_round_robin.h"
#include "policy/retry/budget.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>

namespace goldcrestline::daemon::forward {

// Settings of forwarding.
struct ForwardLimits
{
    // Time that a message takes between this host and its caller, both ways together.
    core::Millis callerTransit{11};
    // Extra attempts for each first one, and in a burst, at one service by this host.
    double extraShare = 0.18;
    double extraBurst = 4;
    // Share of the objective for which a request may wait for a first server.
    double refuseShare = 0.2;
    // Largest share of the objective that counts as spent before a request arrived; callers with
    // unlike deadlines on one route would seem to have waited longer.
    double spentShare = 0.5;
};

// Forwards callers' requests to servers as their routes say. Not thread-safe: lives on the loop.
class ForwardService
{
public:
    // `random` returns a uniform number in [0, 1). `serversKnown` tells whether the list of servers
    // is complete: until then a service without a server may still get one.
    ForwardService(ForwardLimits limits, policy::forward::BackendTable &backends,
                   adapters::loop::ExchangeClient &client, std::function<double()> random,
                   std::function<bool()> serversKnown);

    // Takes routes; calls under way keep theirs.
    void setRoutes(policy::forward::RouteTablePtr table);
    const policy::forward::RouteTablePtr &routes() const { return m_table; }

    // Changes the burst of extra attempts at one service.
    void setExtraBurst(double burst);

    void handle(adapters::loop::FrontCall call, core::TimePoint now);
    void onGone(std::uint64_t call, core::TimePoint now);

    // Runs what is due.
    void tick(core::TimePoint now);

    // Returns when tick() has work next.
    core::TimePoint nextAt() const;

    std::size_t running() const { return m_calls.size(); }
    const ForwardCounters &counters() const { return m_counters; }

private:
    struct Part
    {
        std::string proof;
        std::string body;
    };
    struct Running
    {
        Running(policy::forward::Call call, std::function<void(ports::Outgoing)> respond)
            : call(std::move(call)), respond(std::move(respond))
        { }

        policy::forward::Call call;
        std::function<void(ports::Outgoing)> respond;
        // Names the call at the front server.
        std::uint64_t frontCall = 0;
        std::string requestId;
        std::shared_ptr<const std::string> head;
        std::shared_ptr<const std::string> body;
        bool bodyless = false;
        std::vector<Part> parts;
        // The response that a plain route passes on.
        ports::ExchangeResult response;
        core::TimePoint wakeAt = core::TimePoint::max();
    };
    struct Attempt
    {
        std::uint64_t call = 0;
        std::string route;
        policy::forward::BackendPtr backend;
        ports::ExchangeId exchange = 0;
        core::TimePoint sentAt{};
        // When the attempt is given up; max while its call runs.
        core::TimePoint closeAt = core::TimePoint::max();
        // The caller left, so that silence says nothing of the server.
        bool withdrawn = false;
    };

    void begin(adapters::loop::FrontCall &call, const platform::CallerNote &note,
               const policy::forward::Route &route, core::TimePoint now);
    policy::forward::CallTimes timesOf(const platform::CallerNote &note,
                                       const policy::forward::Route &route, core::TimePoint now);
    void apply(std::uint64_t id, policy::forward::CallActions &actions, core::TimePoint now);
    void send(std::uint64_t id, Running &running, const policy::forward::Send &send,
              core::TimePoint now);
    void finish(std::uint64_t id, Running &running, const policy::forward::Finish &finish,
                core::TimePoint now);
    ports::Outgoing answerOf(Running &running, const policy::forward::Finish &finish);
    void count(const Running &running, const policy::forward::Finish &finish, core::TimePoint now);
    void logEnd(const Running &running, const policy::forward::Finish &finish,
                core::TimePoint now) const;
    void onExchange(policy::forward::AttemptId id, ports::ExchangeResult result,
                    core::TimePoint now);
    void onResponse(policy::forward::AttemptId id, const Attempt &attempt,
                    ports::ExchangeResult result, core::TimePoint now);
    // Takes the end of an attempt into what is known of its server and route.
    void learn(const Attempt &attempt, policy::forward::AttemptOutcome end, core::TimePoint now);
    static policy::forward::AttemptOutcome endOf(const platform::ServerReply &reply);
    static void keepResponse(Running &running, policy::forward::AttemptId id,
                             const platform::ServerReply &reply, ports::ExchangeResult result);
    void detach(std::uint64_t id, core::TimePoint closeAt, bool withdrawn);
    void closeLate(core::TimePoint now);
    void offerRoom(const std::string &service, core::TimePoint now);
    void schedule(std::uint64_t id, Running &running, core::TimePoint now);
    policy::retry::Budget &budget(const std::string &service);
    core::Millis retryAfter();

    ForwardLimits m_limits;
    policy::forward::BackendTable &m_backends;
    adapters::loop::ExchangeClient &m_client;
    std::function<double()> m_random;
    std::function<bool()> m_serversKnown;
    policy::forward::RouteTablePtr m_table;
    policy::forward::WeightedRoundRobin m_split;
    policy::forward::ElapsedTimeEstimator m_patience;
    policy::forward::HedgeDelayTracker m_lateness;
    policy::forward::CallHooks m_hooks;
    std::unordered_map<std::string, policy::retry::Budget> m_budgets;
    std::unordered_map<std::uint64_t, std::unique_ptr<Running>> m_calls;
    std::unordered_map<std::uint64_t, std::uint64_t> m_byFrontCall;
    std::unordered_map<policy::forward::AttemptId, Attempt> m_attempts;
    // Attempts whose call ended, by the time at which they are given up.
    std::set<std::pair<core::TimePoint, policy::forward::AttemptId>> m_late;
    std::set<std::pair<core::TimePoint, std::uint64_t>> m_wakes;
    policy::forward::WaitQueue m_line;
    policy::forward::AttemptId m_lastAttempt = 0;
    std::uint64_t m_lastCall = 0;
    ForwardCounters m_counters;
};

} // namespace goldcrestline::daemon::forward
