#pragma once

#include "daemon/engine/document_sync.h"
#include "daemon/engine/host_state.h"
#include "daemon/engine/plan_rate_limiter.h"
#include "daemon/engine/query_service.h"
#include "daemon/engine/request_service.h"
#include "daemon/peers/membership.h"
#include "ports/peer_link.h"

namespace goldcrestline::daemon::engine {

// Runs the membership protocol and answers calls from other hosts. Owned by the engine's task.
class PeerService
{
public:
    // Precondition: all arguments outlive this.
    PeerService(HostState &host, ports::PeerLink &link, DocumentSync &documents,
                QueryService &queries, RequestService &requests, PlanLimits &limits);

    // Runs one period of the protocol.
    void tick(core::TimePoint now);

    // Exchanges news with every live host now, as before this host stops.
    void exchangeWithAll(core::TimePoint now);

    // Answers a call from another host.
    void handle(ports::PeerCall call, core::TimePoint now);

private:
    peers::Membership::Hooks membershipHooks();
    void describe(ports::Gossip &gossip, core::TimePoint now) const;
    void takeNews(const ports::Gossip &news, const policy::membership::Member &from,
                  std::optional<core::TimePoint> askedAt);

    // Taken by the membership before.
    void answer(ports::Gossip &, ports::PeerCall &, core::TimePoint) { }
    void answer(ports::ProbeRequest &, ports::PeerCall &, core::TimePoint) { }
    void answer(ports::FetchRequest &request, ports::PeerCall &call, core::TimePoint now);
    void answer(ports::RunRequest &request, ports::PeerCall &call, core::TimePoint now);
    void answer(ports::BorrowRequest &request, ports::PeerCall &call, core::TimePoint now);
    void answer(ports::AdoptRequest &request, ports::PeerCall &call, core::TimePoint now);

    HostState &m_host;
    DocumentSync &m_documents;
    QueryService &m_queries;
    RequestService &m_requests;
    PlanLimits &m_limits;
    peers::Membership m_membership;
};

} // namespace goldcrestline::daemon::engine
