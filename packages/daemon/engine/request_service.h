#pragma once

#include "daemon/engine/admission_controller.h"
#include "daemon/engine/query_service.h"
#include "policy/idempotency/ledger.h"
#include "ports/peer_link.h"
#include "ports/platform_store.h"

#include <map>
#include <string>
#include <vector>

namespace goldcrestline::daemon::engine {

// Runs requests that must not run twice. The host named by an owned key decides on it in its
// ledger; a key of the caller's own making is recorded on the platform before it is dispatched.
// Owned by the engine's task.
class RequestService
{
public:
    using Reply = std::function<void(policy::idempotency::Outcome)>;

    // Precondition: all arguments outlive this.
    RequestService(HostState &host, AdmissionGate &gate, QueryService &queries,
                   ports::ServerChannel &channel, ports::PeerLink &peers,
                   ports::PlatformStore &platform);

    // Takes a caller's request; the caller is answered exactly once.
    void handle(const std::string &service, ports::CallerRequest call, core::TimePoint now);

    // Takes a request that another host forwarded.
    void handleForwarded(ports::RunRequest request, core::TimePoint now, Reply reply);

    // Takes over the ledger of a stopping host.
    bool adopt(ports::AdoptRequest request);

    // Seals all ledgers: undecided keys are no longer run here.
    void seal();

    // Returns what the successor needs, a request for each ledger. Seals them if need be.
    std::vector<ports::AdoptRequest> handover();

    // Forgets expired keys; call every few seconds.
    void expire(core::WallMillis now);

    // Returns the number of requests under way.
    std::size_t running() const { return m_running; }
    std::size_t keys() const;

private:
    struct Work
    {
        std::string customer;
        std::string service;
        std::string key;
        std::string body;
        core::TimePoint deadline;
        bool forwarded = false;
    };
    // A ledger with the issuer whose keys it decides on.
    struct LedgerState
    {
        policy::idempotency::KeyIssuer issuer;
        policy::idempotency::Ledger ledger;
        std::multimap<std::string, Reply> waiting;
    };
    using IssuerId = std::pair<std::string, std::uint64_t>;

    void run(const Work &work, Reply reply);
    void runOwned(const Work &work, const policy::idempotency::IssuedKey &key, Reply reply);
    void runRecorded(const Work &work, Reply reply);
    void forward(const Work &work, const policy::membership::Member &to, Reply reply);
    bool decide(LedgerState &state, const Work &work, core::WallMillis expiresAt, Reply &reply);
    void complete(LedgerState &state, const std::string &key,
                  const policy::idempotency::Outcome &outcome);
    void dispatch(const Work &work, std::set<std::string> tried, Reply done);
    void onDispatched(const Work &work, std::set<std::string> tried, const std::string &server,
                      core::TimePoint sentAt, ports::ServerResult result, Reply done);

    void writeRecord(const Work &work, const std::string &name, core::WallMillis expiresAt,
                     Reply done);
    void readRecord(const Work &work, const std::string &name, bool unconfirmed, Reply done);
    void judgeRecord(const Work &work, const std::string &name, const ports::StoredObject &object,
                     Reply done);
    void recordOutcome(const std::string &name, const ports::StoredObject &object,
                       const policy::idempotency::Outcome &outcome);

    HostState &m_host;
    AdmissionGate &m_gate;
    QueryService &m_queries;
    ports::ServerChannel &m_channel;
    ports::PeerLink &m_peers;
    ports::PlatformStore &m_platform;
    std::map<IssuerId, LedgerState> m_ledgers;
    // Decides on keys of the callers' own making.
    LedgerState m_recorded;
    std::size_t m_running = 0;
};

} // namespace goldcrestline::daemon::engine
