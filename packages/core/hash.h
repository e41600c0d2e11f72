#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace goldcrestline::core {

// Returns a 64-bit hash that is equal on every host and build (xxHash). Thread-safe.
std::uint64_t stableHash(std::string_view text);

// Returns the weight of `node` for `key` in rendezvous hashing; the node with the highest weight is
// chosen. Thread-safe.
std::uint64_t rendezvousWeight(std::string_view node, std::string_view key);

// Returns the SHA-256 of `text` as hexadecimal. Thread-safe.
std::string sha256Hex(std::string_view text);

// Returns the first 16 bytes of the HMAC-SHA256 of `text` as hexadecimal. Thread-safe.
std::string hmacHex(std::string_view secret, std::string_view text);

// Returns `bytes` bytes from OpenSSL's cryptographically secure random generator as hexadecimal.
// Thread-safe.
std::string randomHex(int bytes);

} // namespace goldcrestline::core
