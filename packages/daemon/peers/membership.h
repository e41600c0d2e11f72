#pragma once

#include "core/clock.h"
#include "policy/membership/member_table.h"
#include "ports/peer_link.h"

#include <functional>
#include <optional>
#include <string>

namespace goldcrestline::daemon::peers {

// Keeps the table of hosts by exchanging gossip with them. Not thread-safe: lives on the loop.
class Membership
{
public:
    struct Hooks
    {
        // Fills in what this host tells of its own copies of configuration and servers.
        std::function<void(ports::Gossip &, core::TimePoint now)> fillGossip;
        // Takes what a host tells of its copies. `askedAt` is when this host asked for it; nothing
        // if the other host told it by itself.
        std::function<void(const ports::Gossip &, const policy::membership::Member &from,
                           std::optional<core::TimePoint> requestedAt, core::TimePoint now)>
            onGossip;
    };

    // Precondition: the table and the link outlive this.
    Membership(policy::membership::MemberTable &table, core::Millis period, ports::PeerLink &link,
               Hooks hooks);

    // Runs one period of the protocol.
    void tick(core::TimePoint now);

    // Answers another host. Precondition: the request is a Gossip or a ProbeRequest.
    void handle(ports::PeerCall call, core::TimePoint now);

    // Tells all living hosts the news at once, as when this one stops.
    void exchangeWithAll(core::TimePoint now);

private:
    ports::Gossip gossip(bool wholeTable, core::TimePoint now);
    void exchange(const std::string &name, const std::string &address, bool wholeTable,
                  core::TimePoint now);
    // Exchanges digests, and whole tables if they differ.
    void compare(const std::string &address, core::TimePoint now);
    void apply(const std::vector<policy::membership::Action> &actions, core::TimePoint now);
    void probeIndirectly(const policy::membership::IndirectProbe &probe);
    void onGossip(const ports::Gossip &news, std::optional<core::TimePoint> requestedAt,
                  core::TimePoint now);

    policy::membership::MemberTable &m_table;
    core::Millis m_period;
    ports::PeerLink &m_link;
    Hooks m_hooks;
};

} // namespace goldcrestline::daemon::peers
