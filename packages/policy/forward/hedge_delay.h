#pragma once

#include "core/clock.h"

#include <string>
#include <unordered_map>

// Tells when an attempt counts as late, so that it is hedged.
namespace goldcrestline::policy::forward {

// Tracks, for each route, the latency that few answers exceed. Requests of one route cost about the
// same on every shard, so all shards feed one estimate, which settles within a few requests even on
// a host with little traffic; requests of other routes on the same servers may take longer or less.
// Not thread-safe.
class HedgeDelayTracker
{
public:
    // Takes the latency of an answer, or the time after which an attempt was given up.
    void add(const std::string &route, core::Duration latency);

    // Returns the time after which an attempt counts as late.
    core::Duration hedgeDelay(const std::string &route) const;

private:
    // Latency that few answers exceed, in ms.
    std::unordered_map<std::string, double> m_lateMs;
};

} // namespace goldcrestline::policy::forward
