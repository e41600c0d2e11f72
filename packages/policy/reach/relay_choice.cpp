#include "policy/reach/relay_choice.h"

namespace goldcrestline::policy::reach {

namespace {

// Above 1, because traffic between zones is billed and takes longer; low, so that the rest of a
// zone is not overloaded when most of it is cut off.
constexpr double otherZoneFactor = 1.5;
constexpr double noRecentResponseFactor = 8;
constexpr core::Duration recentResponse = std::chrono::seconds(3);
// Relative spread that makes the choice between equal hosts random.
constexpr double spread = 0.1;

} // namespace

std::optional<std::size_t> chooseRelay(const std::vector<RelayCandidate> &candidates,
                                       const std::string &zone,
                                       const std::function<double()> &random)
{
    std::optional<std::size_t> best;
    double bestCost = 0;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const auto &it = candidates[i];
        double cost = static_cast<double>(it.inFlight + 1) * (1 + spread * random());
        if (it.zone != zone)
            cost *= otherZoneFactor;
        if (!it.responseAge || *it.responseAge > recentResponse)
            cost *= noRecentResponseFactor;
        if (!best || cost < bestCost) {
            best = i;
            bestCost = cost;
        }
    }
    return best;
}

} // namespace goldcrestline::policy::reach
