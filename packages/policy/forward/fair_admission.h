#pragma once

#include "policy/admission/fair_share.h"
#include "policy/admission/served_fraction.h"
#include "policy/forward/backend_table.h"
#include "policy/forward/call.h"
#include "policy/forward/service_use.h"
#include "policy/forward/wait_queue.h"

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

// Fair shares of the servers among workspaces: order of the wait queue and latency estimates.
namespace goldcrestline::policy::forward {

// A request that competes with those of other workspaces.
struct ShareRequest
{
    // 0 is the most urgent.
    int priority = 0;
    // Empty for a request without a key.
    std::string workspace;
    std::string route;
    const std::vector<std::string> &services;
    core::TimePoint objectiveAt{};
};

// Places of all calls of a host in the fair order. Calls that are not added have the order and the
// estimates of a host without workspaces. Not thread-safe.
class FairAdmission
{
public:
    // Precondition: both outlive this object.
    FairAdmission(const BackendTable &backends, WaitQueue &queue)
        : m_backends(backends), m_queue(queue)
    { }

    // Adds a call and returns its rank. `sequence` increases with each call.
    CallRank begin(std::uint64_t sequence, const ShareRequest &request, core::TimePoint now);

    // Records that an attempt of the call was sent to a server of the service.
    void onSent(std::uint64_t sequence, const std::string &service, core::TimePoint now);

    // Removes a call that ended, with the outcome, or without one because its caller left. Work
    // that was not sent is not charged to the workspace.
    void onEnded(std::uint64_t sequence, std::optional<CallOutcome> outcome, core::TimePoint now);

    // Returns the estimate for a request to the service in the fair order. Its queueing is lower
    // than the servers' for a workspace within its share, and higher for requests that would delay
    // more urgent ones.
    std::optional<LatencyEstimate> estimateLatency(const std::string &service, CallRank rank,
                                                   core::TimePoint now) const;

    // Returns the order in which free capacity is offered to the calls that wait for the service.
    std::vector<WaitQueue::Entry> dispatchOrder(const std::string &service, core::TimePoint now);

    // Returns a log text of what decided on the call: workspace, priority and weights; empty if the
    // call is not added.
    std::string describe(std::uint64_t sequence, core::TimePoint now) const;

    std::size_t size() const { return m_calls.size(); }

private:
    struct CallShare
    {
        admission::FairTicket ticket;
        int priority = 0;
        std::string workspace;
        std::string route;
        // Service of the first part.
        std::string service;
        std::size_t parts = 0;
        std::size_t sent = 0;
        // Expected processing time of one part.
        double partMs = 0;
        core::TimePoint objectiveAt{};
        // Its workspace or route is served so rarely that it is admitted ahead of its share.
        bool starved = false;
    };

    const BackendTable &m_backends;
    WaitQueue &m_queue;
    admission::FairShare m_share;
    admission::ServedFraction m_servedByWorkspace;
    admission::ServedFraction m_servedByRoute;
    ServiceUse m_use;
    std::unordered_map<std::uint64_t, CallShare> m_calls;
};

} // namespace goldcrestline::policy::forward
