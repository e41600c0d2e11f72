#pragma once

#include "core/clock.h"
#include "core/result_code.h"
#include "ports/exchange.h"

#include <optional>
#include <string>

namespace goldcrestline::daemon::forward {

// Returns the response to a caller for a result code. Thread-safe.
ports::OutgoingResponse errorResponseFor(core::ResultCode code, const std::string &detail = {},
                                         std::optional<core::Millis> retryAfter = std::nullopt);

} // namespace goldcrestline::daemon::forward
