#pragma once

#include "daemon/engine/admission_controller.h"
#include "daemon/engine/service_state.h"
#include "policy/burn/burn_window.h"
#include "ports/http_message.h"
#include "ports/server_channel.h"

#include <map>
#include <memory>
#include <string>
#include <unordered_map>

namespace goldcrestline::daemon::engine {

// Runs callers' queries over the shards of the services. Not thread-safe: runs on the engine's
// event loop.
class QueryService
{
public:
    // Precondition: all arguments outlive this.
    QueryService(HostState &host, AdmissionController &admission, ports::ServerChannel &channel);

    // Runs a query of `service` and responds to the caller exactly once.
    void handle(const std::string &service, ports::CallerRequest call, core::TimePoint now);

    // Removes a disconnected caller from its query; cancels the query if no other caller waits.
    void onCallerDisconnect(std::uint64_t callId, core::TimePoint now);

    // Applies the services and servers of a newer fleet. Precondition: HostState::fleet is set.
    void onFleetUpdate(core::TimePoint now);

    // Requests load and snapshots from servers without a response in the last poll interval. Call
    // once per interval.
    void pollServers(core::TimePoint now);

    // Records that a server is leaving, as reported by a peer.
    void noteLeaving(const policy::routing::LeavingNote &note);

    // Returns notes on all leaving servers, for gossip.
    std::vector<policy::routing::LeavingNote> leavingNotes() const;

    // Returns the state of a service, or null if no fleet has listed it.
    ServiceState *findService(const std::string &service);
    const std::map<std::string, std::unique_ptr<ServiceState>> &services() const
    {
        return m_services;
    }

    // Targets of one plan and service, and counts of the responses that met or missed them.
    struct ServiceLevel
    {
        double targetInTime = 0;
        double targetCoverage = 0;
        policy::burn::BurnWindow window;
    };
    using ServiceLevelKey = std::pair<std::string, std::string>;

    // Returns the service levels by plan and service.
    const std::map<ServiceLevelKey, ServiceLevel> &serviceLevels() const { return m_serviceLevels; }

    // Returns the number of running queries.
    std::size_t running() const { return m_running.size(); }

private:
    // A caller that waits for the response of a running query.
    struct Waiter
    {
        std::uint64_t callId = 0;
        std::string queryId;
        std::function<void(ports::HttpResponse)> respond;
    };
    struct RunningQuery
    {
        // Also its order: a query with a lower id is older.
        std::uint64_t id = 0;
        ServiceState *service = nullptr;
        // Key under which identical queries join this one; empty if joining is off.
        std::string joinKey;
        std::string plan;
        policy::config::ServicePolicy servicePolicy;
        std::vector<Waiter> waiters;
        std::shared_ptr<const std::string> body;
        std::string queryId;
        std::unique_ptr<policy::fanout::Fanout> fanout;
        std::map<policy::fanout::AttemptId, ports::CallId> calls;
        core::TimePoint startedAt;
        core::TimePoint deadline;
        core::TimePoint timerAt = core::TimePoint::max();
        bool overloaded = false;
    };

    void start(const AdmittedRequest &admitted, const std::string &service,
               ports::CallerRequest call, core::TimePoint now);
    // Adds the caller to an identical running query. Returns false if there is none, or if that
    // query may end after the caller's deadline.
    bool join(const std::string &joinKey, Waiter &waiter, core::TimePoint deadline);
    void executeActions(RunningQuery &query, std::vector<policy::fanout::Action> actions,
                        core::TimePoint now);
    void send(RunningQuery &query, const policy::fanout::Send &send, core::TimePoint now);
    // `service` outlives every call: services are never removed.
    void onResult(ServiceState &service, std::uint64_t queryId, const policy::fanout::Send &send,
                  core::TimePoint sentAt, ports::ServerResult result);
    // Gives freed capacity of the group to the oldest query that waits for it.
    void dispatchWaiting(const ServiceState &service, int group, core::TimePoint now);
    // Records the load and snapshots that a server reported.
    void updateServerState(ServiceState &service, const std::string &serverId,
                           const ports::ServerResult &result, core::TimePoint now);
    void finish(RunningQuery &query, const policy::fanout::Answer &answer, core::TimePoint now);
    void recordResult(ServiceState &service, const RunningQuery &query,
                      const policy::fanout::Answer &answer, core::TimePoint now);
    void recordServiceLevel(const std::string &plan, const std::string &service,
                            const policy::config::ServicePolicy &servicePolicy, bool late,
                            bool partial, core::TimePoint now);
    void scheduleTimer(RunningQuery &query);
    void remove(std::uint64_t id);

    HostState &m_host;
    AdmissionController &m_admission;
    ports::ServerChannel &m_channel;
    std::map<std::string, std::unique_ptr<ServiceState>> m_services;
    std::unordered_map<std::uint64_t, std::unique_ptr<RunningQuery>> m_running;
    std::unordered_map<std::uint64_t, std::uint64_t> m_queryByCall;
    std::unordered_map<std::string, std::uint64_t> m_joinable;
    std::map<ServiceLevelKey, ServiceLevel> m_serviceLevels;
    std::uint64_t m_lastQueryId = 0;
};

} // namespace goldcrestline::daemon::engine
