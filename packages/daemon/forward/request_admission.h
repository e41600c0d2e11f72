#pragma once

#include "daemon/forward/forward_service.h"
#include "daemon/forward/workspace_counters.h"
#include "policy/access/workspace.h"

#include <cstdint>
#include <functional>
#include <string>
#include <unordered_map>

namespace goldcrestline::daemon::forward {

// Decision on one request of a workspace with a quota.
struct QuotaDecision
{
    bool admitted = true;
    // If refused: time after which a token is due.
    core::Millis retryAfter{0};
};

struct AdmissionCounters
{
    std::uint64_t requests = 0;
    std::uint64_t noConfiguration = 0;
    std::uint64_t noRoute = 0;
    // Requests without a valid key.
    std::uint64_t unknownKey = 0;
    // Requests refused because the configuration may be outdated.
    std::uint64_t unproven = 0;
    std::uint64_t overQuota = 0;
    // Requests of a route or workspace whose entry in the configuration is malformed.
    std::uint64_t unusable = 0;
};

// Checks callers' requests before they are forwarded: route, key of the workspace, age of the
// configuration, and quota. Not thread-safe: use only on the event loop's thread.
class RequestAdmission
{
public:
    using QuotaHandler = std::function<void(QuotaDecision, core::TimePoint now)>;
    struct Hooks
    {
        // Returns a uniform number in [0, 1).
        std::function<double()> random;
        // Returns whether the configuration is recent enough for requests with a key.
        std::function<bool()> configurationProven;
        // Returns version, age and limit of that proof, for the log.
        std::function<std::string()> describeProof;
        // Decides whether a request is within its workspace's quota. Calls the handler once, maybe
        // before it returns.
        std::function<void(const policy::access::Workspace &, core::TimePoint now, QuotaHandler)>
            admitQuota;
        // Returns the token of an admitted request that was not executed.
        std::function<void(const std::string &workspace, core::TimePoint now)> returnQuota;
        // Receives the requests that passed.
        std::function<void(AdmittedRequest, core::TimePoint now)> forward;
    };

    explicit RequestAdmission(Hooks hooks) : m_hooks(std::move(hooks)) { }

    // Replaces the route table. Requests in progress keep the table that they started with.
    void setRoutes(policy::forward::RouteTablePtr table);
    const policy::forward::RouteTablePtr &routes() const { return m_table; }

    // Checks a request and passes it on, or responds to it.
    void handle(adapters::loop::HttpCall call, core::TimePoint now);

    // Drops the request whose caller closed its connection; returns whether it was held here.
    bool onCallerDisconnect(std::uint64_t httpCallId);

    // Returns whether requests with the key of this digest may still be sent to servers.
    bool accessAllowed(const std::string &keyDigest) const;

    // Records the outcome of a request that was passed on. `workspace` is empty without a key.
    void onCallEnded(const std::string &workspace, policy::forward::CallOutcome outcome,
                     core::TimePoint now);

    const AdmissionCounters &counters() const { return m_counters; }
    const WorkspaceCounters &workspaceCounters() const { return m_workspaces; }

private:
    // Returns the workspace of the request; null if it needs none. Responds to a request without a
    // valid key and returns false in `allowed`.
    const policy::access::Workspace *authenticate(AdmittedRequest &request, bool &allowed,
                                                  core::TimePoint now);
    void refuseUnusable(const AdmittedRequest &request, core::ResultCode code);
    void refuseUnproven(const AdmittedRequest &request, const std::string &workspace,
                        core::TimePoint now);
    void onQuota(std::uint64_t httpCallId, QuotaDecision decision, core::TimePoint now);

    Hooks m_hooks;
    policy::forward::RouteTablePtr m_table;
    // Digest of the key that was last found in the table: the parts of a fan-out ask for the same.
    mutable std::string m_foundDigest;
    // Requests that wait for the decision on their quota, by their id at the HTTP server.
    std::unordered_map<std::uint64_t, AdmittedRequest> m_held;
    AdmissionCounters m_counters;
    // Empty while requests need no keys.
    WorkspaceCounters m_workspaces;
};

} // namespace goldcrestline::daemon::forward
