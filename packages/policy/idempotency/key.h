#pragma once

#include "core/clock.h"
#include "core/result.h"

#include <cstdint>
#include <optional>

#include <string>
#include <string_view>

// Idempotency keys that name the one process which may dispatch the request.
namespace goldcrestline::policy::idempotency {

// The parts of an owned key.
struct IssuedKey
{
    std::string host;
    std::uint64_t incarnation = 0;
    core::WallMillis expiresAt = 0;
    std::string random;
    std::string mac;
};

// Parses an owned key; empty if `text` is a key of the caller's own making. Thread-safe.
std::optional<IssuedKey> parseIssuedKey(std::string_view text);

// Issues and checks the keys of one process. Immutable after construction, so thread-safe.
class KeyIssuer
{
public:
    // Precondition: `host` has no dot.
    KeyIssuer(std::string host, std::uint64_t incarnation, std::string secret)
        : m_host(std::move(host)), m_incarnation(incarnation), m_secret(std::move(secret))
    { }

    // Returns a new key for `customer` that expires at `expiresAt`.
    std::string issue(const std::string &customer, core::WallMillis expiresAt) const;

    // Checks that this issuer made `key` for `customer`. Errors: 2031.
    core::Result<bool> check(const IssuedKey &key, const std::string &customer) const;

    const std::string &host() const { return m_host; }
    std::uint64_t incarnation() const { return m_incarnation; }
    const std::string &secret() const { return m_secret; }

private:
    std::string macOf(const std::string &stem, const std::string &customer) const;

    std::string m_host;
    std::uint64_t m_incarnation;
    std::string m_secret;
};

} // namespace goldcrestline::policy::idempotency
