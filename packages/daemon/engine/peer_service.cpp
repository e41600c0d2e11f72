#include "daemon/engine/peer_service.h"

#include "adapters/logging/log.h"

namespace goldcrestline::daemon::engine {

using core::TimePoint;

namespace {

constexpr adapters::logging::LogChannel log("peers:");

constexpr std::size_t leavingNotesPerMessage = 32;

} // namespace

PeerService::PeerService(HostState &host, ports::PeerLink &link, DocumentSync &documents,
                         QueryService &queries, RequestService &requests, PlanLimits &limits)
    : m_host(host), m_documents(documents), m_queries(queries), m_requests(requests),
      m_limits(limits),
      m_membership(host.members, host.settings->peers.periodMs.millis(), link, membershipHooks())
{ }

peers::Membership::Hooks PeerService::membershipHooks()
{
    return {[this](ports::Gossip &gossip, TimePoint now) { describe(gossip, now); },
            [this](const ports::Gossip &news, const policy::membership::Member &from,
                   std::optional<TimePoint> askedAt, TimePoint) { takeNews(news, from, askedAt); }};
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

void PeerService::describe(ports::Gossip &gossip, TimePoint now) const
{
    gossip.leavingServers = m_queries.leavingNotes();
    if (gossip.leavingServers.size() > leavingNotesPerMessage)
        gossip.leavingServers.resize(leavingNotesPerMessage);
    gossip.listsRevision = m_host.listsDocument.revision();
    gossip.fleetRevision = m_host.fleetDocument.revision();
    gossip.confirmationAge = std::chrono::ceil<core::Millis>(m_host.freshness.age(now));
}

void PeerService::takeNews(const ports::Gossip &news, const policy::membership::Member &from,
                           std::optional<TimePoint> askedAt)
{
    for (const auto &it : news.leavingServers)
        m_queries.noteLeaving(it);
    // A confirmation that was not asked for may be old by the time it arrives.
    if (askedAt)
        m_host.freshness.onPeerResponse(news.from, news.confirmationAge, *askedAt);
    m_documents.onPeerRevisions(from.peersAddress, news);
}

void PeerService::handle(ports::PeerCall call, TimePoint now)
{
    const bool ofMembership = std::holds_alternative<ports::Gossip>(call.request)
        || std::holds_alternative<ports::ProbeRequest>(call.request);
    if (ofMembership)
        return m_membership.handle(std::move(call), now);
    auto request = std::move(call.request);
    std::visit([&](auto &it) { answer(it, call, now); }, request);
}

void PeerService::answer(ports::FetchRequest &request, ports::PeerCall &call, TimePoint)
{
    call.reply(m_documents.answer(request.kind));
}

void PeerService::answer(ports::RunRequest &request, ports::PeerCall &call, TimePoint now)
{
    m_requests.handleForwarded(std::move(request), now,
                               [reply = call.reply](policy::idempotency::Outcome outcome) {
                                   reply(ports::RunResponse{std::move(outcome)});
                               });
}

void PeerService::answer(ports::BorrowRequest &request, ports::PeerCall &call, TimePoint now)
{
    call.reply(ports::BorrowResponse{m_limits.lend(request.plan, request.wanted, now)});
}

void PeerService::answer(ports::AdoptRequest &request, ports::PeerCall &call, TimePoint)
{
    log.info("ledger adopted host=" + request.host
             + " keys=" + std::to_string(request.entries.size()));
    call.reply(ports::AdoptResponse{m_requests.adopt(std::move(request))});
}

} // namespace goldcrestline::daemon::engine
