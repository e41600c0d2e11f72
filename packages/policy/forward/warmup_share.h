#pragma once

#include "core/clock.h"

#include <map>
#include <string>
#include <vector>

namespace goldcrestline::policy::forward {

// This host's share of the requests that a cold server gets, and their tolerances in any second.
struct WarmupShare
{
    // Above 0 and at most 1.
    double share = 1;
    // Requests per second that this host gets from callers.
    double requestsPerSecond = 0;
    // As a factor of the rate that a server stands, and in requests.
    double overshoot = 1.5;
    double slack = 5;
};

// Derives the share in the requests to cold servers from the share of the demand, so that the
// shares of all hosts add up to about 1 also while some of them do not reach each other, have just
// started, or do not know yet that the others' demand has risen, too. Not thread-safe.
class WarmupShareEstimator
{
public:
    // Recomputes the share. `demandShare`: this host's share of the requests of the live hosts,
    // `requestsPerSecond`: its requests. `live`: the names of all live hosts, this one included.
    // `evenShare`: the share to use while this host does not know the demands. Call once per
    // membership period.
    void update(double demandShare, double requestsPerSecond, const std::vector<std::string> &live,
                double evenShare, core::TimePoint now);

    // Returns the share, above 0 and at most 1; 0 before the first update().
    double share() const { return m_share; }
    // Returns this host's requests per second, averaged over some time.
    double requestsPerSecond() const { return m_requestsPerSecond; }

private:
    double m_share = 0;
    double m_requestsPerSecond = 0;
    core::TimePoint m_startedAt{};
    core::TimePoint m_updatedAt{};
    // When each host was last known as live.
    std::map<std::string, core::TimePoint> m_seenAt;
};

} // namespace goldcrestline::policy::forward
