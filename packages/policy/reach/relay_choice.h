#pragma once

#include "core/clock.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace goldcrestline::policy::reach {

// A host to which a request can be relayed.
struct RelayCandidate
{
    std::string name;
    std::string zone;
    // Requests that this host has relayed to it and that are in progress.
    std::size_t inFlight = 0;
    // Age of its newest response of a server, if it told of one.
    std::optional<core::Duration> responseAge;
};

// Returns the index of the host to relay a request to: the one with the fewest requests in
// progress, where hosts of another zone than `zone` and those without a recent response of a server
// count as busier. Equal ones are chosen at random; nothing if there is no candidate. `random`
// returns a uniform number in [0, 1). Thread-safe.
std::optional<std::size_t> chooseRelay(const std::vector<RelayCandidate> &candidates,
                                       const std::string &zone,
                                       const std::function<double()> &random);

} // namespace goldcrestline::policy::reach
