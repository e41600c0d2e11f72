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

// Runs callers' queries over the services' shards. Owned by the engine's task.
class QueryService
{
public:
    // Precondition: all arguments outlive this.
    QueryService(HostState &host, AdmissionGate &gate, ports::ServerChannel &channel);

    // Takes a query for `service`; the caller is answered exactly once.
    void handle(const std::string &service, ports::CallerRequest call, core::TimePoint now);

    // Gives up the query of a caller that hung up.
    void callerGone(std::uint64_t callId, core::TimePoint now);

    // Takes a new list of servers.
    void onFleet(core::TimePoint now);

    // Asks servers that were not heard of lately for their load and snapshots; call every poll
    // interval.
    void pollServers(core::TimePoint now);

    // Takes word of a leaving server from a peer.
    void noteLeaving(const policy::routing::LeavingNote &note);

    // Returns notes on servers that leave.
    std::vector<policy::routing::LeavingNote> leavingNotes() const;

    // Returns the state of a service, or null.
    ServiceState *find(const std::string &service);
    const std::map<std::string, std::unique_ptr<ServiceState>> &services() const
    {
        return m_services;
    }

    // A plan's use of a service and what became of its answers.
    struct Level
    {
        double targetInTime = 0;
        double targetCoverage = 0;
        policy::burn::BurnWindow window;
    };
    using LevelKey = std::pair<std::string, std::string>;

    // Returns the levels by plan and service.
    const std::map<LevelKey, Level> &levels() const { return m_levels; }

    // Returns the number of queries under way.
    std::size_t running() const { return m_running.size(); }

private:
    // A caller that waits for a running query.
    struct Waiter
    {
        std::uint64_t callId = 0;
        std::string queryId;
        std::function<void(ports::HttpResponse)> respond;
    };
    struct Running
    {
        std::uint64_t id = 0;
        ServiceState *service = nullptr;
        std::string joinKey;
        std::string plan;
        policy::config::ServicePolicy allowance;
        std::vector<Waiter> waiters;
        std::shared_ptr<const std::string> body;
        std::string queryId;
        std::unique_ptr<policy::fanout::Fanout> fanout;
        std::map<policy::fanout::AttemptId, ports::CallId> calls;
        core::TimePoint startedAt;
        core::TimePoint deadline;
        core::TimePoint wakeAt = core::TimePoint::max();
        bool strained = false;
    };

    void start(const Admitted &admitted, const std::string &service, ports::CallerRequest call,
               core::TimePoint now);
    bool join(const std::string &joinKey, Waiter &waiter, core::TimePoint deadline);
    void apply(Running &query, std::vector<policy::fanout::Action> actions, core::TimePoint now);
    void send(Running &query, const policy::fanout::Send &send, core::TimePoint now);
    // `service` outlives every call: services are never removed.
    void onResult(ServiceState &service, std::uint64_t queryId, const policy::fanout::Send &send,
                  core::TimePoint sentAt, ports::ServerResult result);
    void offerRoom(const ServiceState &service, int group, core::TimePoint now);
    void learn(ServiceState &service, const std::string &serverId,
               const ports::ServerResult &result, core::TimePoint now);
    void finish(Running &query, const policy::fanout::Answer &answer, core::TimePoint now);
    void count(ServiceState &service, const Running &query, const policy::fanout::Answer &answer,
               core::TimePoint now);
    void countLevel(const std::string &plan, const std::string &service,
                    const policy::config::ServicePolicy &allowance, bool late, bool thin,
                    core::TimePoint now);
    void schedule(Running &query);
    void remove(std::uint64_t id);

    HostState &m_host;
    AdmissionGate &m_gate;
    ports::ServerChannel &m_channel;
    std::map<std::string, std::unique_ptr<ServiceState>> m_services;
    std::unordered_map<std::uint64_t, std::unique_ptr<Running>> m_running;
    std::unordered_map<std::uint64_t, std::uint64_t> m_queryOfCall;
    std::unordered_map<std::string, std::uint64_t> m_joinable;
    std::map<LevelKey, Level> m_levels;
    std::uint64_t m_lastQuery = 0;
};

} // namespace goldcrestline::daemon::engine
