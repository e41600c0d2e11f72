#pragma once

#include "policy/forward/route.h"

#include <string>
#include <unordered_map>
#include <vector>

// Distributes a route's requests over its services in proportion to their weights.
namespace goldcrestline::policy::forward {

// Smooth weighted round robin for each route: the shares hold over every short sequence of
// requests, whether or not the selected services accept them. Not thread-safe.
class WeightedRoundRobin
{
public:
    // Returns the service of the next request. Precondition: the route has services.
    const std::string &next(const Route &route);

private:
    // Current weight of each service by route; services that a new version adds start at zero.
    std::unordered_map<std::string, std::unordered_map<std::string, double>> m_currentWeights;
};

} // namespace goldcrestline::policy::forward
