#include "policy/forward/weighted_round_robin.h"

namespace goldcrestline::policy::forward {

const std::string &WeightedRoundRobin::next(const Route &route)
{
    if (route.services.size() == 1)
        return route.services.front().service;
    auto &currentWeights = m_currentWeights[route.name];
    double total = 0;
    const WeightedService *best = nullptr;
    double bestWeight = 0;
    for (const auto &it : route.services) {
        total += it.weight;
        auto &current = currentWeights[it.service];
        current += it.weight;
        if (best == nullptr || current > bestWeight) {
            best = &it;
            bestWeight = current;
        }
    }
    currentWeights[best->service] -= total;
    return best->service;
}

} // namespace goldcrestline::policy::forward
