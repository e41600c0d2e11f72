#pragma once

#include "core/clock.h"
#include "core/result.h"

#include <cstdint>
#include <optional>

#include <string>
#include <string_view>

// Idempotency keys issued by hosts. Such a key names the one process that may dispatch the request.
namespace goldcrestline::policy::idempotency {

// The parts of an issued key.
struct IssuedKey
{
    std::string host;
    std::uint64_t incarnation = 0;
    core::WallMillis expiresAt = 0;
    // Random part, hexadecimal.
    std::string random;
    // Message authentication code over the other parts and the customer, hexadecimal.
    std::string mac;
};

// Parses an issued key without checking its MAC; empty if `text` is a key chosen by the caller.
// Thread-safe.
std::optional<IssuedKey> parseIssuedKey(std::string_view text);

// Issues and checks the keys of one process. Immutable after construction, so thread-safe.
class KeyIssuer
{
public:
    // `secret` is the key of the MACs. Precondition: `host` contains no dot.
    KeyIssuer(std::string host, std::uint64_t incarnation, std::string secret)
        : m_host(std::move(host)), m_incarnation(incarnation), m_secret(std::move(secret))
    { }

    // Returns a new key for `customer` that expires at `expiresAt`.
    std::string issue(const std::string &customer, core::WallMillis expiresAt) const;

    // Checks that this issuer issued `key` to `customer`. Errors: 2031.
    core::Result<bool> check(const IssuedKey &key, const std::string &customer) const;

    const std::string &host() const { return m_host; }
    std::uint64_t incarnation() const { return m_incarnation; }
    const std::string &secret() const { return m_secret; }

private:
    std::string macOf(const std::string &unsignedKey, const std::string &customer) const;

    std::string m_host;
    std::uint64_t m_incarnation;
    std::string m_secret;
};

} // namespace goldcrestline::policy::idempotency
