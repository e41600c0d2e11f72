#pragma once

#include <optional>
#include <string>
#include <string_view>

// Checks on the raw bytes of a request's head that the HTTP library does not make.
namespace goldcrestline::adapters::loop {

// Returns what is wrong with the head's bytes so far, or nothing: line feeds without a carriage
// return, NULs, and continuation lines let two parsers disagree on where a header ends.
// Thread-safe.
std::optional<std::string> faultInHead(std::string_view head);

} // namespace goldcrestline::adapters::loop
