#include "policy/burn/burn_window.h"

namespace goldcrestline::policy::burn {

double burnRate(std::uint64_t bad, std::uint64_t total, double target)
{
    if (total == 0)
        return 0;
    return static_cast<double>(bad) / static_cast<double>(total) / (1 - target);
}

std::int64_t BurnWindow::bucketNumberAt(core::TimePoint now)
{
    return now.time_since_epoch() / bucketLength;
}

void BurnWindow::add(bool late, bool thin, core::TimePoint now)
{
    const auto number = bucketNumberAt(now);
    auto &bucket = m_buckets[static_cast<std::size_t>(number) % bucketCount];
    if (bucket.number != number)
        bucket = {number, {}};
    ++bucket.counts.total;
    bucket.counts.late += late ? 1 : 0;
    bucket.counts.thin += thin ? 1 : 0;
}

Counts BurnWindow::sum(core::Duration length, core::TimePoint now) const
{
    Counts out;
    for (const auto &it : series(static_cast<std::size_t>(length / bucketLength), now))
        out.add(it);
    return out;
}

std::vector<Counts> BurnWindow::series(std::size_t n, core::TimePoint now) const
{
    std::vector<Counts> out;
    const auto last = bucketNumberAt(now);
    for (auto number = last - static_cast<std::int64_t>(n) + 1; number <= last; ++number) {
        const auto &bucket = m_buckets[static_cast<std::size_t>(number) % bucketCount];
        out.push_back(bucket.number == number ? bucket.counts : Counts{});
    }
    return out;
}

} // namespace goldcrestline::policy::burn
