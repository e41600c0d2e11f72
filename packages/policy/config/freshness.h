#pragma once

#include "core/clock.h"

#include <map>
#include <string>

// Tells whether this host may hold an old configuration.
namespace goldcrestline::policy::config {

// Tracks how long ago the platform confirmed the configuration, to this host or to a peer.
// Not thread-safe.
class Freshness
{
public:
    // `horizon`: a confirmation older than this counts for nothing.
    explicit Freshness(core::Duration horizon) : m_horizon(horizon) { }

    // The platform answered this host.
    void onPlatformResponse(core::TimePoint now);

    // A peer answered; `age` is the age of the newest confirmation that it knows of.
    // Precondition: `sentAt` is when this host asked, so that the age is never understated.
    void onPeer(const std::string &name, core::Duration age, core::TimePoint sentAt);

    // Returns the age of the newest confirmation known here, as told to peers.
    core::Duration age(core::TimePoint now) const;

    // Tells whether this host may serve. `knownHosts` counts all hosts, this one included: a host
    // that hears half or more of them while none hears the platform is in an outage, in which no
    // change can be accepted; a host that hears fewer may be cut off.
    bool mayServe(std::size_t knownHosts, core::TimePoint now) const;

private:
    std::size_t peersHeard(core::TimePoint now) const;

    core::Duration m_horizon;
    core::TimePoint m_confirmedAt{};
    std::map<std::string, core::TimePoint> m_heardAt;
};

} // namespace goldcrestline::policy::config
