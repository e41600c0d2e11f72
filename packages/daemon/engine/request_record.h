#pragma once

#include "core/clock.h"
#include "policy/idempotency/ledger.h"

#include <optional>
#include <string>

namespace goldcrestline::daemon::engine {

// Record on the platform of a request whose idempotency key was chosen by the caller.
struct RequestRecord
{
    // Host and incarnation that may dispatch the request.
    std::string host;
    std::uint64_t incarnation = 0;
    std::string bodyDigest;
    // Time after which the key may no longer run.
    core::WallMillis expiresAt = 0;
    // Set when the request has completed.
    std::optional<policy::idempotency::Outcome> outcome;
};

// Serializes a record as JSON. Thread-safe.
std::string serializeRecord(const RequestRecord &record);

// Parses a record; returns nothing if the text is not a valid record. Thread-safe.
std::optional<RequestRecord> parseRecord(const std::string &text);

} // namespace goldcrestline::daemon::engine
