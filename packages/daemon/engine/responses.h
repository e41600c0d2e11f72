#pragma once

#include "core/clock.h"
#include "core/result.h"
#include "policy/fanout/fanout.h"
#include "policy/idempotency/ledger.h"
#include "ports/http_message.h"

#include <optional>
#include <string>

// HTTP responses of the caller interface with JSON bodies. Thread-safe: functions without state.
namespace goldcrestline::daemon::engine {

// Returns a response without data, such as a rejection. `retryAfter`: delay after which the caller
// may retry.
ports::HttpResponse responseFor(core::ResultCode code, const std::string &detail,
                                std::optional<core::Millis> retryAfter = std::nullopt);

// Returns the response to a query, with its snapshot, coverage and parts.
ports::HttpResponse responseFor(const std::string &queryId, const policy::fanout::Answer &answer);

// Returns the response to a request that must run at most once.
ports::HttpResponse responseFor(const policy::idempotency::Outcome &outcome);

} // namespace goldcrestline::daemon::engine
