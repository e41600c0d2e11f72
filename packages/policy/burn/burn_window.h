#pragma once

#include "core/clock.h"

#include <array>
#include <cstdint>
#include <vector>

// Counters from which the burn rate of an error budget is reported.
namespace goldcrestline::policy::burn {

// Number of answers in a period.
struct Counts
{
    std::uint64_t total = 0;
    // Answers after the deadline, and requests refused because of overload.
    std::uint64_t late = 0;
    // Answers without full coverage.
    std::uint64_t thin = 0;

    void add(const Counts &other)
    {
        total += other.total;
        late += other.late;
        thin += other.thin;
    }
};

// Returns the burn rate: the share of bad answers divided by the share that `target` allows. At a
// rate of 1 the error budget is used up exactly; without answers the rate is 0.
// Precondition: 0 <= target < 1. Thread-safe.
double burnRate(std::uint64_t bad, std::uint64_t total, double target);

// Counters of the last hour in buckets of ten seconds. Not thread-safe.
class BurnWindow
{
public:
    static constexpr core::Duration bucketLength = std::chrono::seconds(10);
    static constexpr std::size_t bucketCount = 360;

    // Adds one answer.
    void add(bool late, bool thin, core::TimePoint now);

    // Returns the sum over the last `length`, which is rounded down to whole buckets.
    Counts sum(core::Duration length, core::TimePoint now) const;

    // Returns the last `n` buckets, oldest first.
    std::vector<Counts> series(std::size_t n, core::TimePoint now) const;

private:
    struct Bucket
    {
        // Number of the ten-second interval that the counts belong to.
        std::int64_t number = -1;
        Counts counts;
    };

    static std::int64_t bucketNumberAt(core::TimePoint now);

    // Ring buffer, indexed by the interval number modulo its size.
    std::array<Bucket, bucketCount> m_buckets{};
};

} // namespace goldcrestline::policy::burn
