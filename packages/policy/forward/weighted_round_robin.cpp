#include "policy/forward/split.h"

namespace goldcrestline::policy::forward {

const std::string &WeightedRoundRobin::next(const Route &route)
{
    if (route.services.size() == 1)
        return route.services.front().service;
    auto &credit = m_credit[route.name];
    double total = 0;
    const WeightedService *best = nullptr;
    double bestCredit = 0;
    for (const auto &it : route.services) {
        total += it.weight;
        auto &own = credit[it.service];
        own += it.weight;
        if (best == nullptr || own > bestCredit) {
            best = &it;
            bestCredit = own;
        }
    }
    credit[best->service] -= total;
    return best->service;
}

} // namespace goldcrestline::policy::forward
