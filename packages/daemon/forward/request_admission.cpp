#include "daemon/forward/request_admission.h"

#include "adapters/logging/log.h"
#include "daemon/forward/error_response.h"
#include "policy/forward/retry_delay.h"

namespace goldcrestline::daemon::forward {

using core::ResultCode;
using core::TimePoint;
using policy::access::Workspace;

namespace {

constexpr adapters::logging::LogChannel log("admission:");

} // namespace

void RequestAdmission::setRoutes(policy::forward::RouteTablePtr table)
{
    m_table = std::move(table);
    m_foundDigest.clear();
}

void RequestAdmission::handle(adapters::loop::HttpCall call, TimePoint now)
{
    ++m_counters.requests;
    if (!m_table) {
        ++m_counters.noConfiguration;
        return call.respond(
            errorResponseFor(ResultCode::NoConfiguration, {},
                             policy::forward::retryDelay(core::Duration{0}, m_hooks.random())));
    }
    AdmittedRequest request;
    request.metadata = platform::readRequestMetadata(call.request);
    request.call = std::move(call);
    request.table = m_table;
    request.receivedAt = now;
    const auto &metadata = request.metadata;
    request.route = m_table->find(metadata.host, metadata.path);
    if (request.route == nullptr) {
        ++m_counters.noRoute;
        log.info("no route id=" + metadata.requestId + " host=" + metadata.host
                 + " path=" + metadata.path + " version=" + std::to_string(m_table->version()));
        return request.call.respond(errorResponseFor(ResultCode::NoRoute));
    }
    if (!request.route->usable)
        return refuseUnusable(request, ResultCode::RouteUnusable);
    request.priority = request.route->priority;
    if (!m_table->workspaces())
        return m_hooks.forward(std::move(request), now);
    bool allowed = true;
    const auto *workspace = authenticate(request, allowed, now);
    if (!allowed)
        return;
    if (workspace == nullptr)
        return m_hooks.forward(std::move(request), now);
    request.workspace = workspace->name;
    request.priority = workspace->priority.value_or(request.route->priority);
    if (!workspace->limited())
        return m_hooks.forward(std::move(request), now);
    const auto id = request.call.id;
    m_held.insert_or_assign(id, std::move(request));
    m_hooks.admitQuota(*workspace, now,
                       [this, id, name = workspace->name](QuotaDecision decision, TimePoint at) {
                           // The caller may have disconnected meanwhile.
                           if (m_held.count(id) == 0) {
                               if (decision.admitted)
                                   m_hooks.returnQuota(name, at);
                               return;
                           }
                           onQuota(id, decision, at);
                       });
}

const Workspace *RequestAdmission::authenticate(AdmittedRequest &request, bool &allowed,
                                                TimePoint now)
{
    auto &httpRequest = request.call.request;
    const auto key = platform::readKey(httpRequest);
    const auto &keys = *request.table->workspaces();
    const Workspace *workspace = nullptr;
    if (!key.empty() && key.size() <= policy::access::maxKeyBytes) {
        request.keyDigest = policy::access::digestOf(key);
        workspace = keys.findByDigest(request.keyDigest);
    }
    const bool unusable = keys.isUnusable(request.keyDigest);
    const auto name = workspace != nullptr ? workspace->name : std::string();
    platform::setWorkspace(httpRequest, name);
    m_workspaces.add(name, WorkspaceEvent::Request, now);
    if (workspace == nullptr && request.route->anonymous && !unusable)
        return nullptr;
    allowed = false;
    // An outdated configuration may also lack a key that was added.
    if (!key.empty() && !m_hooks.configurationProven()) {
        refuseUnproven(request, name, now);
        return nullptr;
    }
    if (unusable) {
        refuseUnusable(request, ResultCode::WorkspaceUnusable);
        return nullptr;
    }
    if (workspace == nullptr) {
        ++m_counters.unknownKey;
        m_workspaces.add(name, WorkspaceEvent::UnknownKey, now);
        log.info("unknown key id=" + request.metadata.requestId + " route=" + request.route->name
                 + " version=" + std::to_string(request.table->version()));
        request.call.respond(errorResponseFor(ResultCode::UnknownKey));
        return nullptr;
    }
    allowed = true;
    return workspace;
}

void RequestAdmission::refuseUnusable(const AdmittedRequest &request, ResultCode code)
{
    ++m_counters.unusable;
    log.info("refused id=" + request.metadata.requestId + " host=" + request.metadata.host
             + " path=" + request.metadata.path + " why=" + std::string(core::infoOf(code).name)
             + " version=" + std::to_string(request.table->version()));
    request.call.respond(errorResponseFor(
        code, {}, policy::forward::retryDelay(core::Duration{0}, m_hooks.random())));
}

void RequestAdmission::refuseUnproven(const AdmittedRequest &request, const std::string &workspace,
                                      TimePoint now)
{
    ++m_counters.unproven;
    m_workspaces.add(workspace, WorkspaceEvent::Unproven, now);
    log.info("configuration may be outdated id=" + request.metadata.requestId
             + " workspace=" + workspace + m_hooks.describeProof());
    request.call.respond(
        errorResponseFor(ResultCode::HostBehind, {},
                         policy::forward::retryDelay(core::Duration{0}, m_hooks.random())));
}

void RequestAdmission::onQuota(std::uint64_t httpCallId, QuotaDecision decision, TimePoint now)
{
    auto request = std::move(m_held.extract(httpCallId).mapped());
    if (decision.admitted)
        return m_hooks.forward(std::move(request), now);
    ++m_counters.overQuota;
    m_workspaces.add(request.workspace, WorkspaceEvent::OverQuota, now);
    log.info("over quota id=" + request.metadata.requestId + " workspace=" + request.workspace
             + " retry_after_ms=" + std::to_string(decision.retryAfter.count()));
    request.call.respond(errorResponseFor(ResultCode::QuotaExceeded, {}, decision.retryAfter));
}

void RequestAdmission::onCallEnded(const std::string &workspace,
                                   policy::forward::CallOutcome outcome, TimePoint now)
{
    using policy::forward::CallOutcome;
    if (!m_table || !m_table->workspaces())
        return;
    if (outcome == CallOutcome::Passed || outcome == CallOutcome::Merged)
        m_workspaces.add(workspace, WorkspaceEvent::Answered, now);
    if (outcome == CallOutcome::Refused)
        m_workspaces.add(workspace, WorkspaceEvent::NoCapacity, now);
}

bool RequestAdmission::onCallerDisconnect(std::uint64_t httpCallId)
{
    return m_held.erase(httpCallId) != 0;
}

bool RequestAdmission::accessAllowed(const std::string &keyDigest) const
{
    if (!m_table || !m_table->workspaces())
        return true;
    if (keyDigest.empty() || keyDigest != m_foundDigest) {
        if (m_table->workspaces()->findByDigest(keyDigest) == nullptr)
            return false;
        m_foundDigest = keyDigest;
    }
    return m_hooks.configurationProven();
}

} // namespace goldcrestline::daemon::forward
