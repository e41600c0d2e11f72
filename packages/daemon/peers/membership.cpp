#include "daemon/peers/membership.h"

#include "adapters/logging/log.h"

namespace goldcrestline::daemon::peers {

using core::TimePoint;
using ports::PeerEnd;

namespace {

constexpr adapters::logging::LogChannel log("members:");

} // namespace

Membership::Membership(policy::membership::MemberTable &table, core::Millis period,
                       ports::PeerLink &link, Hooks hooks)
    : m_table(table), m_period(period), m_link(link), m_hooks(std::move(hooks))
{ }

void Membership::tick(TimePoint now)
{
    apply(m_table.tick(now), now);
}

void Membership::exchangeWithAll(TimePoint now)
{
    for (const auto &it : m_table.live()) {
        if (it.name != m_table.self().name)
            exchange("", it.peersAddress, false, now);
    }
}

void Membership::apply(const std::vector<policy::membership::Action> &actions, TimePoint now)
{
    for (const auto &action : actions) {
        if (const auto *probe = std::get_if<policy::membership::Probe>(&action)) {
            exchange(probe->name, probe->address, false, now);
        } else if (const auto *contact = std::get_if<policy::membership::Contact>(&action)) {
            if (contact->wholeTable) {
                exchange("", contact->address, true, now);
            } else {
                compare(contact->address, now);
            }
        } else {
            probeIndirectly(std::get<policy::membership::IndirectProbe>(action));
        }
    }
}

ports::Gossip Membership::gossip(bool wholeTable, TimePoint now)
{
    ports::Gossip out;
    out.from = m_table.self().name;
    out.members = m_table.updates(wholeTable);
    out.wholeTable = wholeTable;
    out.tableDigest = m_table.digest();
    m_hooks.fillGossip(out, now);
    return out;
}

void Membership::exchange(const std::string &name, const std::string &address, bool wholeTable,
                          TimePoint now)
{
    m_link.call(address, gossip(wholeTable, now), m_period,
                [this, name, requestedAt = now](const ports::PeerResult &result) {
                    const auto at = core::Clock::now();
                    if (result.end != PeerEnd::Answered) {
                        if (!name.empty())
                            apply(m_table.onDirectProbeFailed(name, at), at);
                        return;
                    }
                    const auto &news = std::get<ports::Gossip>(result.answer);
                    if (news.from == m_table.self().name)
                        return;
                    onGossip(news, requestedAt, at);
                    if (!name.empty())
                        m_table.onProbeEnd(name, true, at);
                });
}

void Membership::compare(const std::string &address, TimePoint now)
{
    m_link.call(address, gossip(false, now), m_period,
                [this, address, requestedAt = now](const ports::PeerResult &result) {
                    if (result.end != PeerEnd::Answered)
                        return;
                    const auto &news = std::get<ports::Gossip>(result.answer);
                    if (news.from == m_table.self().name)
                        return;
                    const auto at = core::Clock::now();
                    onGossip(news, requestedAt, at);
                    // A reply that arrives after further news looks different once more.
                    if (news.tableDigest != m_table.digest())
                        exchange("", address, true, at);
                });
}

void Membership::onGossip(const ports::Gossip &news, std::optional<TimePoint> requestedAt,
                          TimePoint now)
{
    const int changed = m_table.onUpdates(news.members, now);
    if (changed > 0) {
        log.info("changed count=" + std::to_string(changed) + " from=" + news.from
                 + " live=" + std::to_string(m_table.live().size()));
    }
    if (const auto *sender = m_table.find(news.from))
        m_hooks.onGossip(news, *sender, requestedAt, now);
}

void Membership::probeIndirectly(const policy::membership::IndirectProbe &probe)
{
    m_link.call(probe.via, ports::ProbeRequest{probe.name, probe.address}, 2 * m_period,
                [this, name = probe.name](const ports::PeerResult &result) {
                    const bool reached = result.end == PeerEnd::Answered
                        && std::get<ports::ProbeAnswer>(result.answer).reached;
                    m_table.onProbeEnd(name, reached, core::Clock::now());
                });
}

void Membership::handle(ports::PeerCall call, TimePoint now)
{
    if (const auto *news = std::get_if<ports::Gossip>(&call.request)) {
        onGossip(*news, std::nullopt, now);
        return call.reply(gossip(news->wholeTable, now));
    }
    const auto *probe = std::get_if<ports::ProbeRequest>(&call.request);
    if (probe == nullptr)
        return;
    m_link.call(probe->address, gossip(false, now), m_period,
                [reply = call.reply, name = probe->name](const ports::PeerResult &result) {
                    const bool reached = result.end == PeerEnd::Answered
                        && std::get<ports::Gossip>(result.answer).from == name;
                    reply(ports::ProbeAnswer{reached});
                });
}

} // namespace goldcrestline::daemon::peers
