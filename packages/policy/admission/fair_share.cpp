#include "policy/admission/fair_share.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace goldcrestline::policy::admission {

namespace {

// Half-life of the distance between a finish tag and the virtual time. Bounds how long a workspace
// is placed last for work that it sent to other, idle servers, which does not move the virtual time
// while requests wait.
constexpr double leadHalfLifeMs = 1000;
constexpr double negligibleLeadMs = 0.1;
// Idle workspaces are removed when the number of workspaces has doubled since the last time, and
// reached this one.
constexpr std::size_t minSweepSize = 64;

} // namespace

FairTicket FairShare::begin(int priority, const std::string &workspace, double cost,
                            core::TimePoint now)
{
    auto &level = m_levels[priority];
    if (level.flows.size() >= std::max(level.sweepAt, minSweepSize))
        removeIdle(level, now);
    auto &flow = level.flows[workspace];
    double tag = level.virtualTime + leadAt(level, flow, now);
    // Decay or a refund may have moved the finish tag before requests that wait already.
    if (!flow.waiting.empty())
        tag = std::max(tag, *flow.waiting.rbegin());
    flow.finishTag = tag + cost;
    flow.updatedAt = now;
    flow.waiting.insert(tag);
    level.waiting.insert(tag);
    return {priority, workspace, tag, cost, true};
}

void FairShare::onSent(FairTicket &ticket)
{
    if (ticket.waiting)
        stopWaiting(m_levels[ticket.priority], ticket);
}

void FairShare::onEnded(FairTicket &ticket, double unsentCost)
{
    auto &level = m_levels[ticket.priority];
    const auto flow = level.flows.find(ticket.workspace);
    if (flow != level.flows.end())
        flow->second.finishTag -= std::min(unsentCost, ticket.cost);
    if (!ticket.waiting)
        return;
    // A request of which nothing was sent does not advance the virtual time by its own tag.
    const double before = level.virtualTime;
    stopWaiting(level, ticket);
    if (unsentCost >= ticket.cost && level.waiting.empty())
        level.virtualTime = before;
}

void FairShare::stopWaiting(Level &level, FairTicket &ticket)
{
    ticket.waiting = false;
    level.waiting.erase(level.waiting.find(ticket.startTag));
    const auto flow = level.flows.find(ticket.workspace);
    if (flow != level.flows.end())
        flow->second.waiting.erase(flow->second.waiting.find(ticket.startTag));
    const double tag = level.waiting.empty() ? ticket.startTag : *level.waiting.begin();
    level.virtualTime = std::max(level.virtualTime, tag);
}

double FairShare::leadAt(const Level &level, const Flow &flow, core::TimePoint now)
{
    const double lead = std::max(0.0, flow.finishTag - level.virtualTime);
    const double ageMs = std::max(0.0, core::toMillis(now - flow.updatedAt));
    return lead * std::exp2(-ageMs / leadHalfLifeMs);
}

void FairShare::removeIdle(Level &level, core::TimePoint now)
{
    std::erase_if(level.flows, [&](const auto &it) {
        return it.second.waiting.empty() && leadAt(level, it.second, now) < negligibleLeadMs;
    });
    level.sweepAt = 2 * level.flows.size();
}

int FairShare::mostUrgent() const
{
    return m_levels.empty() ? std::numeric_limits<int>::max() : m_levels.begin()->first;
}

std::size_t FairShare::size() const
{
    std::size_t n = 0;
    for (const auto &it : m_levels)
        n += it.second.flows.size();
    return n;
}

} // namespace goldcrestline::policy::admission
