#pragma once

#include <string>
#include <string_view>

namespace goldcrestline::core {

// Returns the text as the value of a metric's label, without the quotes: characters that would end
// the value or the line are escaped or replaced. Thread-safe.
std::string escapeLabel(std::string_view text);

} // namespace goldcrestline::core
