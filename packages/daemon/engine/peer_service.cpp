#include "daemon/engine/peer_service.h"

#include "adapters/logging/log.h"

namespace goldcrestline::daemon::engine {

using core::TimePoint;
using ports::PeerEnd;

namespace {

constexpr adapters::logging::LogChannel log("peers:");

constexpr std::size_t leavingNotesPerMessage = 32;

} // namespace

PeerService::PeerService(HostState &host, ports::PeerLink &link, DocumentSync &documents,
                         QueryService &queries, RequestService &requests, PlanLimits &limits)
    : m_host(host), m_link(link), m_documents(documents), m_queries(queries), m_requests(requests),
      m_limits(limits)
{ }

void PeerService::tick(TimePoint now)
{
    m_host.members.setLoad(static_cast<std::uint32_t>(m_queries.running() + m_requests.running()));
    apply(m_host.members.tick(now), now);
}

void PeerService::exchangeWithAll(TimePoint now)
{
    for (const auto &it : m_host.members.live()) {
        if (it.name != m_host.members.self().name)
            exchange("", it.peersAddress, false, now);
    }
}

void PeerService::apply(const std::vector<policy::membership::Action> &actions, TimePoint now)
{
    for (const auto &action : actions) {
        if (const auto *probe = std::get_if<policy::membership::Probe>(&action)) {
            exchange(probe->name, probe->address, false, now);
        } else if (const auto *contact = std::get_if<policy::membership::Contact>(&action)) {
            exchange("", contact->address, true, now);
        } else {
            probeIndirectly(std::get<policy::membership::IndirectProbe>(action));
        }
    }
}

ports::Gossip PeerService::gossip(bool wholeTable, TimePoint now)
{
    ports::Gossip out;
    out.from = m_host.members.self().name;
    out.members = m_host.members.updates(wholeTable);
    out.wholeTable = wholeTable;
    out.leavingServers = m_queries.leavingNotes();
    if (out.leavingServers.size() > leavingNotesPerMessage)
        out.leavingServers.resize(leavingNotesPerMessage);
    out.listsRevision = m_host.listsDocument.revision();
    out.fleetRevision = m_host.fleetDocument.revision();
    out.confirmationAge = std::chrono::ceil<core::Millis>(m_host.freshness.age(now));
    return out;
}

void PeerService::exchange(const std::string &name, const std::string &address, bool wholeTable,
                           TimePoint now)
{
    const auto timeout = m_host.settings->peers.periodMs.millis();
    m_link.call(address, gossip(wholeTable, now), timeout,
                [this, name, address, now](const ports::PeerResult &result) {
                    onExchanged(name, address, now, result);
                });
}

void PeerService::onExchanged(const std::string &name, const std::string &address, TimePoint sentAt,
                              const ports::PeerResult &result)
{
    const auto now = core::Clock::now();
    if (result.end != PeerEnd::Answered) {
        if (!name.empty())
            apply(m_host.members.onDirectProbeFailed(name, now), now);
        return;
    }
    const auto &news = std::get<ports::Gossip>(result.answer);
    if (news.from == m_host.members.self().name)
        return;
    takeNews(news, now);
    if (!name.empty())
        m_host.members.onProbeEnd(name, true, now);
    m_host.freshness.onPeer(news.from, news.confirmationAge, sentAt);
    m_documents.onPeerRevisions(address, news);
}

void PeerService::takeNews(const ports::Gossip &news, TimePoint now)
{
    const int changed = m_host.members.onUpdates(news.members, now);
    if (changed > 0)
        log.debug("members changed count=" + std::to_string(changed) + " from=" + news.from);
    for (const auto &it : news.leavingServers)
        m_queries.noteLeaving(it);
}

void PeerService::probeIndirectly(const policy::membership::IndirectProbe &probe)
{
    const auto timeout = 2 * m_host.settings->peers.periodMs.millis();
    m_link.call(probe.via, ports::ProbeRequest{probe.name, probe.address}, timeout,
                [this, name = probe.name](const ports::PeerResult &result) {
                    const bool reached = result.end == PeerEnd::Answered
                        && std::get<ports::ProbeAnswer>(result.answer).reached;
                    m_host.members.onProbeEnd(name, reached, core::Clock::now());
                });
}

void PeerService::handle(ports::PeerCall call, TimePoint now)
{
    auto request = std::move(call.request);
    std::visit([&](auto &it) { answer(it, call, now); }, request);
}

void PeerService::answer(ports::Gossip &request, ports::PeerCall &call, TimePoint now)
{
    takeNews(request, now);
    if (const auto *sender = m_host.members.find(request.from))
        m_documents.onPeerRevisions(sender->peersAddress, request);
    call.reply(gossip(request.wholeTable, now));
}

void PeerService::answer(ports::ProbeRequest &request, ports::PeerCall &call, TimePoint now)
{
    const auto timeout = m_host.settings->peers.periodMs.millis();
    m_link.call(request.address, gossip(false, now), timeout,
                [reply = call.reply, name = request.name](const ports::PeerResult &result) {
                    const bool reached = result.end == PeerEnd::Answered
                        && std::get<ports::Gossip>(result.answer).from == name;
                    reply(ports::ProbeAnswer{reached});
                });
}

void PeerService::answer(ports::FetchRequest &request, ports::PeerCall &call, TimePoint)
{
    call.reply(m_documents.answer(request.kind));
}

void PeerService::answer(ports::RunRequest &request, ports::PeerCall &call, TimePoint now)
{
    m_requests.handleForwarded(std::move(request), now,
                               [reply = call.reply](policy::once::Outcome outcome) {
                                   reply(ports::RunAnswer{std::move(outcome)});
                               });
}

void PeerService::answer(ports::BorrowRequest &request, ports::PeerCall &call, TimePoint now)
{
    call.reply(ports::BorrowAnswer{m_limits.lend(request.plan, request.wanted, now)});
}

void PeerService::answer(ports::AdoptRequest &request, ports::PeerCall &call, TimePoint)
{
    log.info("ledger adopted host=" + request.host
             + " keys=" + std::to_string(request.entries.size()));
    call.reply(ports::AdoptAnswer{m_requests.adopt(std::move(request))});
}

} // namespace goldcrestline::daemon::engine
