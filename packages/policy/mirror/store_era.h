#pragma once

#include <cstdint>
#include <optional>

namespace goldcrestline::policy::mirror {

// Order of a store response relative to the newest era of the store that this host knows.
enum class EraOrder {
    Current,
    // The store was restored from an older copy since the last response.
    Risen,
    // The response is from before a restore that this host already knows of.
    Outdated,
};

// Tracks the era of the store. The store starts a new era when it is restored from an older copy:
// it has lost the latest writes and returns revisions to lower values, so that revisions of
// different eras cannot be compared. Not thread-safe.
class StoreEra
{
public:
    // Compares the era of a response with the newest one known, and adopts a higher one. A response
    // without an era counts as current.
    EraOrder observe(std::optional<std::uint64_t> era);

    // Returns the newest era; 0 if none is known.
    std::uint64_t newest() const { return m_newest.value_or(0); }
    // Returns how often the era has risen since the first response.
    std::uint64_t rises() const { return m_rises; }

private:
    std::optional<std::uint64_t> m_newest;
    std::uint64_t m_rises = 0;
};

} // namespace goldcrestline::policy::mirror
