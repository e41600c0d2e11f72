#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace goldcrestline::core {

// Identifies a snapshot of a service's index by its version and the version of its shard map.
struct SnapshotId
{
    std::uint64_t indexVersion = 0;
    std::uint32_t shardMap = 0;

    auto operator<=>(const SnapshotId &) const = default; // NOLINT(modernize-use-nullptr)

    // Returns "indexVersion.shardMap". Thread-safe.
    std::string text() const
    {
        return std::to_string(indexVersion) + "." + std::to_string(shardMap);
    }
};

} // namespace goldcrestline::core
