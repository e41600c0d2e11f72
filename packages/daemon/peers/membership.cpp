#include "daemon/peers/membership.h"

#include "adapters/logging/log.h"

namespace goldcrestline::daemon::peers {

using core::TimePoint;
using ports::PeerOutcome;

namespace {

constexpr adapters::logging::LogChannel log("members:");

} // namespace

Membership::Membership(policy::membership::MemberTable &table, core::Millis period,
                       ports::PeerLink &link, Hooks hooks)
    : m_table(table), m_period(period), m_link(link), m_hooks(std::move(hooks))
{ }

void Membership::tick(TimePoint now)
{
    executeActions(m_table.tick(now), now);
}

void Membership::exchangeWithAll(TimePoint now)
{
    for (const auto &it : m_table.live()) {
        if (it.name != m_table.self().name)
            exchange("", it.peersAddress, false, now);
    }
}

void Membership::executeActions(const std::vector<policy::membership::Action> &actions,
                                TimePoint now)
{
    for (const auto &action : actions) {
        if (const auto *probe = std::get_if<policy::membership::Probe>(&action)) {
            exchange(probe->name, probe->address, false, now);
        } else if (const auto *contact = std::get_if<policy::membership::TableSync>(&action)) {
            if (contact->wholeTable) {
                exchange("", contact->address, true, now);
            } else {
                compareDigests(contact->address, now);
            }
        } else {
            probeIndirectly(std::get<policy::membership::IndirectProbe>(action));
        }
    }
}

ports::Gossip Membership::makeGossip(bool wholeTable, TimePoint now)
{
    ports::Gossip gossip;
    gossip.from = m_table.self().name;
    gossip.members = m_table.selectUpdates(wholeTable);
    gossip.wholeTable = wholeTable;
    gossip.tableDigest = m_table.digest();
    m_hooks.fillGossip(gossip, now);
    return gossip;
}

void Membership::exchange(const std::string &name, const std::string &address, bool wholeTable,
                          TimePoint now)
{
    m_link.call(address, makeGossip(wholeTable, now), m_period,
                [this, name, requestedAt = now](const ports::PeerResult &result) {
                    const auto repliedAt = core::Clock::now();
                    if (result.outcome != PeerOutcome::Answered) {
                        if (!name.empty())
                            executeActions(m_table.onDirectProbeFailed(name, repliedAt), repliedAt);
                        return;
                    }
                    const auto &reply = std::get<ports::Gossip>(result.response);
                    if (reply.from == m_table.self().name)
                        return;
                    onGossip(reply, requestedAt, repliedAt);
                    if (!name.empty())
                        m_table.onProbeResult(name, true, repliedAt);
                });
}

void Membership::compareDigests(const std::string &address, TimePoint now)
{
    m_link.call(address, makeGossip(false, now), m_period,
                [this, address, requestedAt = now](const ports::PeerResult &result) {
                    if (result.outcome != PeerOutcome::Answered)
                        return;
                    const auto &reply = std::get<ports::Gossip>(result.response);
                    if (reply.from == m_table.self().name)
                        return;
                    const auto repliedAt = core::Clock::now();
                    onGossip(reply, requestedAt, repliedAt);
                    // The digests also differ if other updates were applied between request and
                    // reply; the whole tables are exchanged then, too.
                    if (reply.tableDigest != m_table.digest())
                        exchange("", address, true, repliedAt);
                });
}

void Membership::onGossip(const ports::Gossip &gossip, std::optional<TimePoint> requestedAt,
                          TimePoint now)
{
    const int changed = m_table.applyUpdates(gossip.members, now);
    if (changed > 0) {
        log.info("changed count=" + std::to_string(changed) + " from=" + gossip.from
                 + " live=" + std::to_string(m_table.live().size()));
    }
    if (const auto *sender = m_table.find(gossip.from))
        m_hooks.onGossip(gossip, *sender, requestedAt, now);
}

void Membership::probeIndirectly(const policy::membership::IndirectProbe &probe)
{
    m_link.call(probe.via, ports::ProbeRequest{probe.name, probe.address}, 2 * m_period,
                [this, name = probe.name](const ports::PeerResult &result) {
                    const bool reached = result.outcome == PeerOutcome::Answered
                        && std::get<ports::ProbeResponse>(result.response).reached;
                    m_table.onProbeResult(name, reached, core::Clock::now());
                });
}

void Membership::handle(ports::PeerCall call, TimePoint now)
{
    if (const auto *gossip = std::get_if<ports::Gossip>(&call.request)) {
        onGossip(*gossip, std::nullopt, now);
        return call.reply(makeGossip(gossip->wholeTable, now));
    }
    const auto *probe = std::get_if<ports::ProbeRequest>(&call.request);
    if (probe == nullptr)
        return;
    m_link.call(probe->address, makeGossip(false, now), m_period,
                [reply = call.reply, name = probe->name](const ports::PeerResult &result) {
                    const bool reached = result.outcome == PeerOutcome::Answered
                        && std::get<ports::Gossip>(result.response).from == name;
                    reply(ports::ProbeResponse{reached});
                });
}

} // namespace goldcrestline::daemon::peers
