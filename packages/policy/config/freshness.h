#pragma once

#include "core/clock.h"

#include <map>
#include <string>

// Decides whether a host may serve although its configuration could be stale.
namespace goldcrestline::policy::config {

// Tracks the age of the platform's newest confirmation of the configuration, received by this host
// directly or through a peer. Not thread-safe.
class Freshness
{
public:
    // `maxAge`: age beyond which a confirmation, or a response of a peer, is disregarded.
    explicit Freshness(core::Duration maxAge) : m_maxAge(maxAge) { }

    // Records a response of the platform to this host.
    void onPlatformResponse(core::TimePoint now);

    // Records a response of a peer; `age` is the age of the newest confirmation known to the peer.
    // Precondition: `sentAt` is the time at which this host sent its request, so that the age is
    // never underestimated.
    void onPeerResponse(const std::string &name, core::Duration age, core::TimePoint sentAt);

    // Returns the age of the newest confirmation known to this host, as sent to peers.
    core::Duration age(core::TimePoint now) const;

    // Returns whether this host may serve: the newest confirmation is recent enough, or this host
    // and the peers that responded recently are a majority of the `knownHosts` hosts, which include
    // this one. If a majority has no confirmation, the platform is down and cannot accept a change
    // meanwhile; a host in a minority may be cut off by a network partition while the others
    // receive changes.
    bool mayServe(std::size_t knownHosts, core::TimePoint now) const;

private:
    std::size_t reachablePeers(core::TimePoint now) const;

    core::Duration m_maxAge;
    core::TimePoint m_confirmedAt{};
    // Time of the newest answered request to each peer.
    std::map<std::string, core::TimePoint> m_respondedAt;
};

} // namespace goldcrestline::policy::config
