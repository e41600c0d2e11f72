#pragma once

#include <optional>
#include <string>
#include <string_view>

// Checks of the raw bytes of a request head that the HTTP library does not perform.
namespace goldcrestline::adapters::loop {

// Checks a request head, which may be incomplete. Returns the error, or nothing if it is valid so
// far. Rejects line feeds without a carriage return and the reverse, NULs and continuation lines:
// two parsers may disagree on where a header with them ends, which allows request smuggling.
// Thread-safe.
std::optional<std::string> findHeadError(std::string_view head);

} // namespace goldcrestline::adapters::loop
