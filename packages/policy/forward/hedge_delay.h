#pragma once

#include "core/clock.h"

#include <string>
#include <unordered_map>

// Computes the time after which an attempt is hedged.
namespace goldcrestline::policy::forward {

// Tracks a high latency quantile of each route. Requests of one route cost about the same on every
// shard, so all shards share one estimate, which converges within a few requests even on a host
// with little traffic. Routes are tracked separately, since their requests may take different times
// on the same servers. Not thread-safe.
class HedgeDelayTracker
{
public:
    // Adds the latency of a response, or the time after which an attempt was aborted.
    void add(const std::string &route, core::Duration latency);

    // Returns the time after which an attempt of the route is hedged.
    core::Duration hedgeDelay(const std::string &route) const;

private:
    // Tracked latency quantile by route, in ms.
    std::unordered_map<std::string, double> m_tailLatencyMs;
};

} // namespace goldcrestline::policy::forward
