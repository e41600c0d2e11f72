#pragma once

#include "daemon/engine/admission_controller.h"
#include "daemon/engine/own_records.h"
#include "daemon/engine/query_service.h"
#include "policy/idempotency/ledger.h"
#include "ports/peer_link.h"
#include "ports/platform_store.h"

#include <map>
#include <string>
#include <vector>

namespace goldcrestline::daemon::engine {

// Runs requests that must run at most once per idempotency key. The ledger of the issuing host
// decides on a key that a host issued; a key chosen by the caller is recorded on the platform
// before the request is dispatched. Not thread-safe: runs on the engine's event loop.
class RequestService
{
public:
    using OutcomeHandler = std::function<void(policy::idempotency::Outcome)>;

    // Precondition: all arguments outlive this.
    RequestService(HostState &host, AdmissionController &admission, QueryService &queries,
                   ports::ServerChannel &channel, ports::PeerLink &peers,
                   ports::PlatformStore &platform);

    // Runs a caller's request of `service` and responds to the caller exactly once.
    void handle(const std::string &service, ports::CallerRequest call, core::TimePoint now);

    // Runs a request forwarded by another host; it is not forwarded again. Calls `done` exactly
    // once.
    void handleForwarded(ports::RunRequest message, core::TimePoint now, OutcomeHandler done);

    // Takes over the ledger of a stopping host; a repeated request has no effect. Returns true.
    bool adopt(ports::AdoptRequest request);

    // Seals all ledgers of issued keys: keys without a decision no longer run on this host.
    void seal();

    // Returns one request per ledger of issued keys, for the successor. Seals the ledgers.
    std::vector<ports::AdoptRequest> handover();

    // Records that the platform's store was restored from an older copy.
    void onStoreRestored(core::TimePoint now) { m_ownRecords.onStoreRestored(now); }

    // Removes expired keys from the ledgers. Call every few seconds.
    void expire(core::WallMillis now);

    // Returns the number of callers' requests in flight.
    std::size_t running() const { return m_running; }
    // Returns the number of keys in all ledgers.
    std::size_t keys() const;

private:
    // A request that was admitted here or forwarded by another host.
    struct PendingRequest
    {
        std::string customer;
        std::string service;
        std::string key;
        std::string body;
        core::TimePoint deadline;
        // Received from another host.
        bool forwarded = false;
    };
    // A ledger, the issuer whose keys it decides on, and the callers that wait for an outcome.
    struct LedgerState
    {
        policy::idempotency::KeyIssuer issuer;
        policy::idempotency::Ledger ledger;
        std::multimap<std::string, OutcomeHandler> waiters;
    };
    using IssuerId = std::pair<std::string, std::uint64_t>;

    void execute(const PendingRequest &request, OutcomeHandler done);
    void executeIssuedKey(const PendingRequest &request, const policy::idempotency::IssuedKey &key,
                          OutcomeHandler done);
    void executeCallerKey(const PendingRequest &request, OutcomeHandler done);
    void forward(const PendingRequest &request, const policy::membership::Member &to,
                 OutcomeHandler done);
    // Returns true if the request has to be dispatched. Otherwise `done` has been called or waits
    // for the running request with the same key.
    bool decide(LedgerState &state, const PendingRequest &request, core::WallMillis expiresAt,
                OutcomeHandler &done);
    void complete(LedgerState &state, const std::string &key,
                  const policy::idempotency::Outcome &outcome);
    void dispatch(const PendingRequest &request, std::set<std::string> tried, OutcomeHandler done);
    void onServerResult(const PendingRequest &request, std::set<std::string> tried,
                        const std::string &server, core::TimePoint sentAt,
                        ports::ServerResult result, OutcomeHandler done);

    void writeRecord(const PendingRequest &request, const std::string &name,
                     core::WallMillis expiresAt, OutcomeHandler done);
    // `writeUnconfirmed`: the record's write had no response, so it may not exist.
    void readRecord(const PendingRequest &request, const std::string &name, bool writeUnconfirmed,
                    OutcomeHandler done);
    void evaluateRecord(const PendingRequest &request, const std::string &name,
                        const ports::StoredObject &object, OutcomeHandler done);
    void storeOutcome(const std::string &name, const ports::StoredObject &object,
                      const policy::idempotency::Outcome &outcome);

    HostState &m_host;
    AdmissionController &m_admission;
    QueryService &m_queries;
    ports::ServerChannel &m_channel;
    ports::PeerLink &m_peers;
    ports::PlatformStore &m_platform;
    std::map<IssuerId, LedgerState> m_ledgers;
    // Decides on keys chosen by callers.
    LedgerState m_callerKeyLedger;
    OwnRecords m_ownRecords;
    std::size_t m_running = 0;
};

} // namespace goldcrestline::daemon::engine
