#pragma once

#include <compare>
#include <cstdint>
#include <tuple>

namespace goldcrestline::core {

// Version of a stored object or document. Revisions are ordered within an era of the store: a store
// that was restored from an older copy starts a new era and returns revisions to lower values.
struct Version
{
    std::uint64_t era = 0;
    // 0 stands for an object that does not exist.
    std::uint64_t revision = 0;

    bool operator==(const Version &) const = default;
    std::strong_ordering operator<=>(const Version &other) const
    {
        return std::tie(era, revision) <=> std::tie(other.era, other.revision);
    }
};

} // namespace goldcrestline::core
