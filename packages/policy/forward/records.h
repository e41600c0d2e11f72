#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

// Merges parts of a fanned-out answer.
namespace goldcrestline::policy::forward {

// Bytes of one record.
inline constexpr std::size_t recordBytes = 16;

// Returns the greatest `top` records of all parts, greatest first, compared byte by byte. Equal
// records all count; a remainder of a part that is shorter than a record is left out. Thread-safe.
std::string mergeTop(const std::vector<std::string_view> &parts, std::size_t top);

} // namespace goldcrestline::policy::forward
