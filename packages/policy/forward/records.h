#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

// Merges the shards' parts of a fan-out response.
namespace goldcrestline::policy::forward {

// Size of one record in bytes.
inline constexpr std::size_t recordBytes = 16;

// Returns the `top` greatest records of all parts in descending byte order. Duplicates are kept; an
// incomplete record at the end of a part is ignored. Thread-safe.
std::string mergeTop(const std::vector<std::string_view> &parts, std::size_t top);

} // namespace goldcrestline::policy::forward
