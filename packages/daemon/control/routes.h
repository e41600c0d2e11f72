#pragma once

#include "daemon/engine/published_status.h"
#include "policy/idempotency/key.h"
#include "ports/http_message.h"

#include <memory>

namespace goldcrestline::daemon::control {

// Answers the control address from the status board: entry points, keys, health, status, metrics.
// Thread-safe.
class Routes
{
public:
    // Precondition: `board` outlives this.
    Routes(const engine::StatusBoard &board,
           std::shared_ptr<const policy::idempotency::KeyIssuer> keys, std::size_t entryPoints,
           core::Millis keyLife);

    // Answers one request.
    ports::HttpResponse answer(const ports::HttpRequest &request) const;

private:
    ports::HttpResponse entryPoints(const std::string &query) const;
    ports::HttpResponse keysFor(const std::string &query) const;
    ports::HttpResponse health() const;
    ports::HttpResponse status() const;
    ports::HttpResponse metrics() const;

    const engine::StatusBoard &m_board;
    std::shared_ptr<const policy::idempotency::KeyIssuer> m_keys;
    std::size_t m_entryPoints;
    core::Millis m_keyLife;
};

} // namespace goldcrestline::daemon::control
