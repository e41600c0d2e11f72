#pragma once

#include <optional>
#include <string>
#include <vector>

namespace goldcrestline::policy::access {

// A customer with API keys and a rate limit of its own.
struct Workspace
{
    std::string name;
    // Takes precedence over the route's priority; 0 is the most urgent.
    std::optional<int> priority;
    // Limit over all hosts together: requests per second, and requests in a burst. 0: no limit.
    double requestsPerSecond = 0;
    double burst = 0;
    // Regions whose servers may run the workspace's requests; empty for all.
    std::vector<std::string> allowedRegions;

    bool limited() const { return requestsPerSecond > 0; }
};

} // namespace goldcrestline::policy::access
