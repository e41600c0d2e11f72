#include "policy/forward/service_use.h"

#include <algorithm>
#include <cmath>

namespace goldcrestline::policy::forward {

using core::TimePoint;

namespace {

// Time for which a request's objective limits the queueing that less urgent requests may cause.
constexpr core::Duration objectiveMemory = std::chrono::seconds(2);
// Less urgent requests are refused at this fraction of the queueing at which more urgent ones would
// be, so that the latter never are on their account.
constexpr double lessUrgentFraction = 0.5;
// Largest weight of queueing for a workspace above the mean. It keeps the queues at servers short
// enough for the requests of the others, although hosts know these queues with a delay.
constexpr double maxExcess = 12;
constexpr double negligibleMs = 0.1;
constexpr std::size_t minSweepSize = 64;

} // namespace

double ServiceUse::Work::at(TimePoint now) const
{
    return ms
        * std::exp2(-std::max(0.0, core::toMillis(now - updatedAt)) / core::toMillis(halfLife));
}

void ServiceUse::onRequest(const std::string &service, int priority, double remainingMs,
                           TimePoint now)
{
    if (remainingMs <= 0)
        return;
    auto &tightest = m_services[service].tightest[priority];
    if (remainingMs <= tightest.ms || now - tightest.seenAt > objectiveMemory)
        tightest = {remainingMs, now};
}

void ServiceUse::onSent(const std::string &service, int priority, const std::string &workspace,
                        double workMs, TimePoint now)
{
    auto &entry = m_services[service];
    auto &work = entry.work[{priority, workspace}];
    work = {work.at(now) + workMs, now};
    if (entry.work.size() < std::max(entry.sweepAt, minSweepSize))
        return;
    std::erase_if(entry.work, [&](const auto &it) { return it.second.at(now) < negligibleMs; });
    entry.sweepAt = 2 * entry.work.size();
}

ServiceUse::Weight ServiceUse::weightFor(const std::string &service, int priority,
                                         const std::string &workspace, double workMs,
                                         double remainingMs, TimePoint now) const
{
    Weight out;
    const auto found = m_services.find(service);
    if (found == m_services.end())
        return out;
    const auto &entry = found->second;
    double own = workMs;
    if (const auto it = entry.work.find({priority, workspace}); it != entry.work.end())
        own += it->second.at(now);
    double ahead = own;
    double total = own;
    std::size_t others = 0;
    for (const auto &[flow, work] : entry.work) {
        if (flow.first == priority && flow.second == workspace)
            continue;
        const double ms = work.at(now);
        total += ms;
        ++others;
        if (flow.first < priority) {
            ahead += ms;
        } else if (flow.first == priority) {
            ahead += std::min(ms, own);
        }
    }
    if (total > 0) {
        out.fraction = std::max(minFraction, ahead / total);
        // Relative to the mean of the service's workspaces.
        const double relative = own * static_cast<double>(others + 1) / total;
        out.aboveMean = relative > 1;
        out.excess = std::clamp(relative, 1.0, maxExcess);
    }
    for (const auto &[level, tightest] : entry.tightest) {
        if (level > priority || now - tightest.seenAt > objectiveMemory)
            continue;
        const double limit = tightest.ms * (level < priority ? lessUrgentFraction : 1);
        out.urgency = std::max(out.urgency, remainingMs / limit);
    }
    return out;
}

} // namespace goldcrestline::policy::forward
