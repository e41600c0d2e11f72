#include "policy/admission/served_fraction.h"

#include <algorithm>
#include <cmath>

namespace goldcrestline::policy::admission {

using core::TimePoint;

namespace {

constexpr core::Duration halfLife = std::chrono::seconds(10);
// The guarantee is a quarter of the fraction of all requests; the rest is a margin for the time in
// which a change is noticed.
constexpr double guaranteedPart = 0.26;
// Names with fewer recent requests are not judged.
constexpr double minRequests = 2;
constexpr double negligibleRequests = 0.05;
constexpr std::size_t minSweepSize = 256;

double decayFactor(TimePoint from, TimePoint to)
{
    return std::exp2(-std::max(0.0, core::toMillis(to - from)) / core::toMillis(halfLife));
}

} // namespace

void ServedFraction::Counts::add(bool wasServed, TimePoint now)
{
    const double factor = decayFactor(updatedAt, now);
    requests = requests * factor + 1;
    served = served * factor + (wasServed ? 1 : 0);
    updatedAt = std::max(updatedAt, now);
}

double ServedFraction::Counts::requestsAt(TimePoint now) const
{
    return requests * decayFactor(updatedAt, now);
}

void ServedFraction::onEnded(const std::string &name, bool served, TimePoint now)
{
    m_all.add(served, now);
    m_names[name].add(served, now);
    if (m_names.size() < std::max(m_sweepAt, minSweepSize))
        return;
    std::erase_if(m_names,
                  [&](const auto &it) { return it.second.requestsAt(now) < negligibleRequests; });
    m_sweepAt = 2 * m_names.size();
}

bool ServedFraction::isStarved(const std::string &name, TimePoint now) const
{
    const auto it = m_names.find(name);
    if (it == m_names.end() || it->second.requestsAt(now) < minRequests)
        return false;
    return it->second.served * m_all.requests < guaranteedPart * m_all.served * it->second.requests;
}

} // namespace goldcrestline::policy::admission
