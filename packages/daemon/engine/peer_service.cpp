#include "daemon/engine/peer_service.h"

#include "adapters/logging/log.h"

namespace goldcrestline::daemon::engine {

using core::TimePoint;

namespace {

constexpr adapters::logging::LogChannel log("peers:");

constexpr std::size_t maxLeavingNotesPerMessage = 32;

} // namespace

PeerService::PeerService(HostState &host, ports::PeerLink &link, DocumentSync &documents,
                         QueryService &queries, RequestService &requests,
                         PlanRateLimiter &planLimiter)
    : m_host(host), m_documents(documents), m_queries(queries), m_requests(requests),
      m_planLimiter(planLimiter),
      m_membership(host.members, host.settings->peers.periodMs.millis(), link, membershipHooks())
{ }

peers::Membership::Hooks PeerService::membershipHooks()
{
    return {[this](ports::Gossip &gossip, TimePoint now) { fillGossip(gossip, now); },
            [this](const ports::Gossip &gossip, const policy::membership::Member &from,
                   std::optional<TimePoint> requestedAt,
                   TimePoint) { onGossip(gossip, from, requestedAt); }};
}

void PeerService::tick(TimePoint now)
{
    m_host.members.setLoad(static_cast<std::uint32_t>(m_queries.running() + m_requests.running()));
    m_membership.tick(now);
}

void PeerService::exchangeWithAll(TimePoint now)
{
    m_membership.exchangeWithAll(now);
}

void PeerService::fillGossip(ports::Gossip &gossip, TimePoint now)
{
    gossip.leavingServers =
        m_leavingNotes.next(m_queries.leavingNotes(), maxLeavingNotesPerMessage);
    gossip.listsVersion = m_host.listsDocument.version();
    gossip.fleetRevision = m_host.fleetDocument.version().revision;
    gossip.storeEra = m_documents.storeEra();
    gossip.confirmationAge = std::chrono::ceil<core::Millis>(m_host.freshness.age(now));
}

void PeerService::onGossip(const ports::Gossip &gossip, const policy::membership::Member &from,
                           std::optional<TimePoint> requestedAt)
{
    for (const auto &it : gossip.leavingServers)
        m_queries.noteLeaving(it);
    // Without the time of a request, the transfer time is unknown and the age of the confirmation
    // could be understated.
    if (requestedAt)
        m_host.freshness.onPeerResponse(gossip.from, gossip.confirmationAge, *requestedAt);
    m_documents.onPeerRevisions(from.peersAddress, gossip);
}

void PeerService::handle(ports::PeerCall call, TimePoint now)
{
    const bool isMembershipRequest = std::holds_alternative<ports::Gossip>(call.request)
        || std::holds_alternative<ports::ProbeRequest>(call.request);
    if (isMembershipRequest)
        return m_membership.handle(std::move(call), now);
    auto request = std::move(call.request);
    std::visit([&](auto &it) { handleRequest(it, call, now); }, request);
}

void PeerService::handleRequest(ports::FetchRequest &request, ports::PeerCall &call, TimePoint)
{
    call.reply(m_documents.localCopy(request.kind));
}

void PeerService::handleRequest(ports::CopyRequest &, ports::PeerCall &call, TimePoint)
{
    // Hosts of plans keep no list of the platform's servers.
    call.reply(ports::CopyResponse{});
}

void PeerService::handleRequest(ports::ConfigurationRequest &, ports::PeerCall &call, TimePoint)
{
    // Hosts of plans have lists, which are fetched whole.
    call.reply(ports::ConfigurationResponse{});
}

void PeerService::handleRequest(ports::QuotaRequest &, ports::PeerCall &call, TimePoint)
{
    // Hosts of plans know no workspaces.
    call.reply(ports::QuotaResponse{ports::workspaceUnknownTokens, {}});
}

void PeerService::handleRequest(ports::RunRequest &request, ports::PeerCall &call, TimePoint now)
{
    m_requests.handleForwarded(std::move(request), now,
                               [reply = call.reply](policy::idempotency::Outcome outcome) {
                                   reply(ports::RunResponse{std::move(outcome)});
                               });
}

void PeerService::handleRequest(ports::BorrowRequest &request, ports::PeerCall &call, TimePoint now)
{
    call.reply(ports::BorrowResponse{m_planLimiter.lend(request.plan, request.wanted, now)});
}

void PeerService::handleRequest(ports::AdoptRequest &request, ports::PeerCall &call, TimePoint)
{
    log.info("ledger adopted host=" + request.host
             + " keys=" + std::to_string(request.entries.size()));
    call.reply(ports::AdoptResponse{m_requests.adopt(std::move(request))});
}

} // namespace goldcrestline::daemon::engine
