#pragma once

#include "core/clock.h"
#include "core/result.h"
#include "policy/fanout/fanout.h"
#include "policy/once/ledger.h"
#include "ports/http_message.h"

#include <optional>
#include <string>

// Answers of the caller interface as HTTP with JSON. Pure and thread-safe.
namespace goldcrestline::daemon::engine {

// Returns a refusal, or another answer without data. `retryAfter` tells when to come back.
ports::HttpResponse answerFor(core::ResultCode code, const std::string &detail,
                              std::optional<core::Millis> retryAfter = std::nullopt);

// Returns a query's answer with its snapshot, coverage and parts.
ports::HttpResponse answerFor(const std::string &queryId, const policy::fanout::Answer &answer);

// Returns the answer to a request that must not run twice.
ports::HttpResponse answerFor(const policy::once::Outcome &outcome);

} // namespace goldcrestline::daemon::engine
