#include "daemon/peers/membership.h"

#include "adapters/logging/log.h"

namespace goldcrestline::daemon::peers {

using core::TimePoint;
using ports::PeerOutcome;

namespace {

constexpr adapters::logging::LogChannel log("members:");

// Records in one response of a table comparison. The next comparison finds the others.
constexpr std::size_t maxComparedMembers = 1000;
constexpr core::Millis comparisonTimeout{1000};
// Up to this number of live hosts, and above it within the own zone, a host tells all others at
// once of a change of its state; above it, it tells a few hosts of each other zone.
constexpr std::size_t maxToldAtOnce = 16;
constexpr int toldInOtherZones = 3;

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
    const auto live = m_table.live();
    std::map<std::string, int> told;
    for (const auto &it : live) {
        if (it.name == m_table.self().name)
            continue;
        const bool remote = it.zone != m_table.self().zone;
        if (live.size() > maxToldAtOnce && remote && ++told[it.zone] > toldInOtherZones)
            continue;
        exchange("", it.peersAddress, now);
    }
}

void Membership::executeActions(const std::vector<policy::membership::Action> &actions,
                                TimePoint now)
{
    for (const auto &action : actions) {
        if (const auto *probe = std::get_if<policy::membership::Probe>(&action)) {
            exchange(probe->name, probe->address, now);
        } else if (const auto *contact = std::get_if<policy::membership::TableSync>(&action)) {
            if (contact->skipDigest) {
                compareTables(contact->address, now);
            } else {
                compareDigests(contact->address, now);
            }
        } else {
            probeIndirectly(std::get<policy::membership::IndirectProbe>(action));
        }
    }
}

ports::Gossip Membership::makeGossip(const std::string &receiverZone, TimePoint now)
{
    ports::Gossip gossip;
    gossip.from = m_table.self().name;
    gossip.members = m_table.selectUpdates(receiverZone);
    gossip.tableDigest = m_table.digest();
    m_hooks.fillGossip(gossip, now);
    return gossip;
}

ports::Gossip Membership::makeComparison(std::vector<policy::membership::Member> members,
                                         TimePoint now)
{
    ports::Gossip gossip;
    gossip.from = m_table.self().name;
    gossip.members = std::move(members);
    gossip.comparison = true;
    gossip.tableDigest = m_table.digest();
    m_hooks.fillGossip(gossip, now);
    return gossip;
}

std::string Membership::zoneOf(const std::string &address) const
{
    for (const auto &it : m_table.live()) {
        if (it.peersAddress == address)
            return it.zone;
    }
    return {};
}

void Membership::exchange(const std::string &name, const std::string &address, TimePoint now)
{
    const auto *member = m_table.find(name);
    const auto zone = member != nullptr ? member->zone : zoneOf(address);
    m_link.call(address, makeGossip(zone, now), m_period,
                [this, name, requestedAt = now,
                 bootRequestedAt = core::BootClock::now()](const ports::PeerResult &result) {
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
                    m_hooks.onReply(reply, bootRequestedAt);
                    if (!name.empty())
                        m_table.onProbeResult(name, true, repliedAt);
                });
}

void Membership::callForGossip(const std::string &address, ports::Gossip request,
                               core::Millis timeout, TimePoint now, GossipHandler done)
{
    m_link.call(address, std::move(request), timeout,
                [this, requestedAt = now, bootRequestedAt = core::BootClock::now(),
                 done = std::move(done)](const ports::PeerResult &result) {
                    if (result.outcome != PeerOutcome::Answered)
                        return;
                    const auto &reply = std::get<ports::Gossip>(result.response);
                    if (reply.from == m_table.self().name)
                        return;
                    const auto repliedAt = core::Clock::now();
                    onGossip(reply, requestedAt, repliedAt);
                    m_hooks.onReply(reply, bootRequestedAt);
                    done(reply, repliedAt);
                });
}

void Membership::compareDigests(const std::string &address, TimePoint now)
{
    callForGossip(address, makeGossip(zoneOf(address), now), m_period, now,
                  [this, address](const ports::Gossip &reply, TimePoint repliedAt) {
                      // The digests also differ if other updates were applied between request and
                      // reply; the tables are compared then, too.
                      if (reply.tableDigest != m_table.digest())
                          compareTables(address, repliedAt);
                  });
}

void Membership::compareTables(const std::string &address, TimePoint now)
{
    auto request = makeComparison({m_table.self()}, now);
    request.summary = m_table.summary();
    callForGossip(address, std::move(request), comparisonTimeout, now,
                  [this, address](const ports::Gossip &reply, TimePoint repliedAt) {
                      auto lacking = m_table.findByHash(reply.wanted);
                      m_table.onCompared(repliedAt);
                      const auto superseding = m_table.findSuperseding(reply.members);
                      lacking.insert(lacking.end(), superseding.begin(), superseding.end());
                      if (lacking.empty())
                          return;
                      m_link.call(address, makeComparison(std::move(lacking), repliedAt),
                                  comparisonTimeout, [](const ports::PeerResult &) {});
                  });
}

void Membership::onGossip(const ports::Gossip &gossip, std::optional<TimePoint> requestedAt,
                          TimePoint now)
{
    const int changed = m_table.applyUpdates(gossip.members, now, gossip.comparison);
    if (changed > 0) {
        log.info("changed count=" + std::to_string(changed) + " from=" + gossip.from
                 + " live=" + std::to_string(m_table.live().size()));
    }
    m_table.onContact(gossip.from, now);
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

ports::Gossip Membership::replyTo(const ports::Gossip &gossip, TimePoint now)
{
    if (!gossip.comparison) {
        const auto *sender = m_table.find(gossip.from);
        return makeGossip(sender != nullptr ? sender->zone : std::string(), now);
    }
    // A request without a summary completes a comparison.
    if (gossip.summary.empty())
        return makeComparison({}, now);
    auto reply = makeComparison(m_table.findMissing(gossip.summary, maxComparedMembers), now);
    reply.wanted = m_table.findUnknown(gossip.summary);
    return reply;
}

void Membership::handle(ports::PeerCall call, TimePoint now)
{
    if (const auto *gossip = std::get_if<ports::Gossip>(&call.request)) {
        onGossip(*gossip, std::nullopt, now);
        return call.reply(replyTo(*gossip, now));
    }
    const auto *probe = std::get_if<ports::ProbeRequest>(&call.request);
    if (probe == nullptr)
        return;
    m_link.call(probe->address, makeGossip(zoneOf(probe->address), now), m_period,
                [reply = call.reply, name = probe->name](const ports::PeerResult &result) {
                    const bool reached = result.outcome == PeerOutcome::Answered
                        && std::get<ports::Gossip>(result.response).from == name;
                    reply(ports::ProbeResponse{reached});
                });
}

} // namespace goldcrestline::daemon::peers
