#pragma once

#include "policy/forward/route.h"

#include <string>
#include <unordered_map>
#include <vector>

// Divides a route's requests among its services in proportion to their weights.
namespace goldcrestline::policy::forward {

// Smooth weighted round robin for each route: shares are kept over every short run of requests,
// also when one service turns requests away. Not thread-safe.
class WeightedRoundRobin
{
public:
    // Returns the service of the next request. Precondition: the route has services.
    const std::string &next(const Route &route);

private:
    // Credit of each service of a route; services that a new version adds start at zero.
    std::unordered_map<std::string, std::unordered_map<std::string, double>> m_credit;
};

} // namespace goldcrestline::policy::forward
