#pragma once

#include "daemon/engine/published_status.h"
#include "policy/idempotency/key.h"
#include "ports/http_message.h"

#include <memory>

namespace goldcrestline::daemon::control {

// Handles requests to the control address from the published status: entry points, keys, health,
// status, metrics. Not thread-safe, as the status is not.
class Routes
{
public:
    // `entryPoints`: number of hosts that a caller is offered. `keyLifetime`: time for which an
    // issued key is valid. Precondition: `status` outlives this.
    Routes(const engine::PublishedStatus &status,
           std::shared_ptr<const policy::idempotency::KeyIssuer> keys, std::size_t entryPoints,
           core::Millis keyLifetime);

    // Returns the response to one request.
    ports::HttpResponse handle(const ports::HttpRequest &request) const;

private:
    ports::HttpResponse entryPoints(const std::string &query) const;
    ports::HttpResponse issueKeys(const std::string &query) const;
    ports::HttpResponse health() const;
    ports::HttpResponse status() const;
    ports::HttpResponse metrics() const;

    const engine::PublishedStatus &m_status;
    std::shared_ptr<const policy::idempotency::KeyIssuer> m_keys;
    std::size_t m_entryPoints;
    core::Millis m_keyLifetime;
};

} // namespace goldcrestline::daemon::control
