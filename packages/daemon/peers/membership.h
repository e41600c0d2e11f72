#pragma once

#include "core/clock.h"
#include "policy/membership/member_table.h"
#include "ports/peer_link.h"

#include <functional>
#include <optional>
#include <string>

namespace goldcrestline::daemon::peers {

// Runs the membership protocol over a peer link: sends the probes and table exchanges that the
// member table orders and applies the gossip received. Not thread-safe: runs on the event loop.
class Membership
{
public:
    struct Hooks
    {
        // Sets the fields of gossip to send that describe this host's configuration and servers.
        std::function<void(ports::Gossip &, core::TimePoint now)> fillGossip;
        // Handles gossip received from `from`. `requestedAt`: time of this host's request; nothing
        // if the other host initiated the exchange.
        std::function<void(const ports::Gossip &, const policy::membership::Member &from,
                           std::optional<core::TimePoint> requestedAt, core::TimePoint now)>
            onGossip;
        // Handles the reply to a request of this host, which was sent after `requestedAt`, a time
        // on the boot clock.
        std::function<void(const ports::Gossip &, core::BootTimePoint requestedAt)> onReply =
            [](const ports::Gossip &, core::BootTimePoint) {};
    };

    // Precondition: the table and the link outlive this.
    Membership(policy::membership::MemberTable &table, core::Millis period, ports::PeerLink &link,
               Hooks hooks);

    // Runs one period of the protocol. Call once per period.
    void tick(core::TimePoint now);

    // Replies to another host. Precondition: the request is a Gossip or a ProbeRequest.
    void handle(ports::PeerCall call, core::TimePoint now);

    // Exchanges gossip with the live hosts at once, in a large fleet with all of the own zone and
    // some of each other one, so that a change of this host's state does not wait for the next
    // periods of the protocol.
    void exchangeWithAll(core::TimePoint now);

private:
    // Returns gossip with the updates for a host of the zone.
    ports::Gossip makeGossip(const std::string &receiverZone, core::TimePoint now);
    // Returns gossip with these records, for a table comparison.
    ports::Gossip makeComparison(std::vector<policy::membership::Member> members,
                                 core::TimePoint now);
    // Sends gossip to `address` and applies the reply. `name`: host that this exchange probes, or
    // empty if it is not a probe.
    void exchange(const std::string &name, const std::string &address, core::TimePoint now);
    using GossipHandler = std::function<void(const ports::Gossip &reply, core::TimePoint now)>;
    // Sends a request whose response is a Gossip, applies the response and passes it on. A call
    // without a response, or answered by this host itself, ends without `done`.
    void callForGossip(const std::string &address, ports::Gossip request, core::Millis timeout,
                       core::TimePoint now, GossipHandler done);
    // Exchanges digests of the member tables, and the differences if the digests differ.
    void compareDigests(const std::string &address, core::TimePoint now);
    // Exchanges the records that one of the hosts lacks.
    void compareTables(const std::string &address, core::TimePoint now);
    ports::Gossip replyTo(const ports::Gossip &gossip, core::TimePoint now);
    // Returns the zone of the host at a peer address; empty if it is unknown.
    std::string zoneOf(const std::string &address) const;
    void executeActions(const std::vector<policy::membership::Action> &actions,
                        core::TimePoint now);
    void probeIndirectly(const policy::membership::IndirectProbe &probe);
    void onGossip(const ports::Gossip &gossip, std::optional<core::TimePoint> requestedAt,
                  core::TimePoint now);

    policy::membership::MemberTable &m_table;
    core::Millis m_period;
    ports::PeerLink &m_link;
    Hooks m_hooks;
};

} // namespace goldcrestline::daemon::peers
