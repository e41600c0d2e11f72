#pragma once

#include <optional>
#include <string>
#include <string_view>

// Compression of messages in the zlib format (RFC 1950).
namespace goldcrestline::adapters::compression {

// Returns the compressed bytes, at the fastest level. Thread-safe.
std::string compress(std::string_view bytes);

// Returns the bytes that were compressed; nothing if `compressed` is malformed or unfinished, or
// holds more than `maxBytes`. Thread-safe.
std::optional<std::string> decompress(std::string_view compressed, std::size_t maxBytes);

} // namespace goldcrestline::adapters::compression
