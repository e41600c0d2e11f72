#pragma once

#include "daemon/engine/document_sync.h"
#include "daemon/engine/host_state.h"
#include "daemon/engine/plan_rate_limiter.h"
#include "daemon/engine/query_service.h"
#include "daemon/engine/request_service.h"
#include "daemon/peers/membership.h"
#include "policy/routing/note_rotation.h"
#include "ports/peer_link.h"

namespace goldcrestline::daemon::engine {

// Runs the membership protocol and handles requests from other hosts. Not thread-safe: runs on the
// engine's event loop.
class PeerService
{
public:
    // Precondition: all arguments outlive this.
    PeerService(HostState &host, ports::PeerLink &link, DocumentSync &documents,
                QueryService &queries, RequestService &requests, PlanRateLimiter &planLimiter);

    // Runs one period of the protocol.
    void tick(core::TimePoint now);

    // Exchanges gossip with every live host at once, so that a change of this host's state does not
    // wait for the next periods of the protocol.
    void exchangeWithAll(core::TimePoint now);

    // Handles a request from another host; replies exactly once.
    void handle(ports::PeerCall call, core::TimePoint now);

private:
    peers::Membership::Hooks membershipHooks();
    void fillGossip(ports::Gossip &gossip, core::TimePoint now);
    void onGossip(const ports::Gossip &gossip, const policy::membership::Member &from,
                  std::optional<core::TimePoint> requestedAt);

    // Never reached: handle() passes these two kinds of requests to the membership.
    void handleRequest(ports::Gossip &, ports::PeerCall &, core::TimePoint) { }
    void handleRequest(ports::ProbeRequest &, ports::PeerCall &, core::TimePoint) { }
    void handleRequest(ports::FetchRequest &request, ports::PeerCall &call, core::TimePoint now);
    void handleRequest(ports::CopyRequest &request, ports::PeerCall &call, core::TimePoint now);
    void handleRequest(ports::ConfigurationRequest &, ports::PeerCall &call, core::TimePoint now);
    void handleRequest(ports::QuotaRequest &request, ports::PeerCall &call, core::TimePoint now);
    void handleRequest(ports::RunRequest &request, ports::PeerCall &call, core::TimePoint now);
    void handleRequest(ports::BorrowRequest &request, ports::PeerCall &call, core::TimePoint now);
    void handleRequest(ports::AdoptRequest &request, ports::PeerCall &call, core::TimePoint now);

    HostState &m_host;
    DocumentSync &m_documents;
    QueryService &m_queries;
    RequestService &m_requests;
    PlanRateLimiter &m_planLimiter;
    policy::routing::NoteRotation m_leavingNotes;
    peers::Membership m_membership;
};

} // namespace goldcrestline::daemon::engine
