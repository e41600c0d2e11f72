#pragma once

#include "core/clock.h"

#include <array>
#include <cstdint>
#include <vector>

// Counts by which the burn of an error budget is reported.
namespace goldcrestline::policy::burn {

// Answers of some time: all, those too late or refused for overload, and those too thin.
struct Counts
{
    std::uint64_t total = 0;
    std::uint64_t late = 0;
    std::uint64_t thin = 0;

    void add(const Counts &other)
    {
        total += other.total;
        late += other.late;
        thin += other.thin;
    }
};

// Returns how many times faster than allowed the budget burns: 1 uses it up exactly.
// Precondition: 0 <= target < 1.
double burnRate(std::uint64_t bad, std::uint64_t total, double target);

// Counts in buckets of ten seconds over one hour. Not thread-safe.
class BurnWindow
{
public:
    static constexpr core::Duration bucketLength = std::chrono::seconds(10);
    static constexpr std::size_t buckets = 360;

    // Adds one answer.
    void add(bool late, bool thin, core::TimePoint now);

    // Returns the sum over the last `length`.
    Counts sum(core::Duration length, core::TimePoint now) const;

    // Returns the last `n` buckets, oldest first.
    std::vector<Counts> series(std::size_t n, core::TimePoint now) const;

private:
    struct Bucket
    {
        std::int64_t number = -1;
        Counts counts;
    };

    static std::int64_t numberAt(core::TimePoint now);

    std::array<Bucket, buckets> m_buckets{};
};

} // namespace goldcrestline::policy::burn
