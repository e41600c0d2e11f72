#pragma once

#include "core/clock.h"

#include <map>
#include <string>
#include <unordered_map>
#include <utility>

// Recent work of each workspace at the servers of each service.
namespace goldcrestline::policy::forward {

// Weighs the queues at servers, which are first in, first out and shared by all hosts, as if they
// were served in the fair order. Not thread-safe.
class ServiceUse
{
public:
    // Lower bound of the fraction of a queue that counts. Queueing of a quarter of the remaining
    // time is acceptable, so that the whole queue still fits into it.
    static constexpr double minFraction = 0.25;
    // Half-life of recorded work. Long enough for several requests of most workspaces at one host.
    static constexpr core::Duration halfLife = std::chrono::seconds(3);

    // Weight of the queueing at a service's servers for one request.
    struct Weight
    {
        // Fraction, above 0 and at most 1, of the queue that is ahead in the fair order.
        double fraction = 1;
        // At least 1; higher if requests that are as urgent or more tolerate less queueing.
        double urgency = 1;
        // At least 1; higher for a workspace whose recent work exceeds the mean of the service's.
        double excess = 1;
        // The workspace's recent work exceeds the mean of the service's workspaces.
        bool aboveMean = false;
    };

    // Records that a request arrived which has `remainingMs` left for its objective.
    void onRequest(const std::string &service, int priority, double remainingMs,
                   core::TimePoint now);

    // Records work, in ms, that was sent to a server of the service.
    void onSent(const std::string &service, int priority, const std::string &workspace,
                double workMs, core::TimePoint now);

    // Returns the weight for a request of `workMs` that is not sent yet.
    Weight weightFor(const std::string &service, int priority, const std::string &workspace,
                     double workMs, double remainingMs, core::TimePoint now) const;

private:
    struct Work
    {
        double ms = 0;
        core::TimePoint updatedAt{};

        double at(core::TimePoint now) const;
    };
    // Least time left for the objective among recent requests.
    struct Tightest
    {
        double ms = 0;
        core::TimePoint seenAt{};
    };
    struct Service
    {
        std::map<std::pair<int, std::string>, Work> work;
        std::map<int, Tightest> tightest;
        // Number of entries at which idle ones are removed.
        std::size_t sweepAt = 0;
    };

    std::unordered_map<std::string, Service> m_services;
};

} // namespace goldcrestline::policy::forward
