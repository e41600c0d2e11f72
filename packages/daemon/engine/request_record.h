#pragma once

#include "core/clock.h"
#include "policy/idempotency/ledger.h"

#include <optional>
#include <string>

namespace goldcrestline::daemon::engine {

// The platform's record of a request whose key the caller made.
struct RequestRecord
{
    std::string host;
    std::uint64_t incarnation = 0;
    std::string bodyDigest;
    core::WallMillis expiresAt = 0;
    // Set when the request ended.
    std::optional<policy::idempotency::Outcome> outcome;
};

// Prints a record as JSON. Thread-safe.
std::string printRecord(const RequestRecord &record);

// Parses a record; empty if the text is none. Thread-safe.
std::optional<RequestRecord> parseRecord(const std::string &text);

} // namespace goldcrestline::daemon::engine
