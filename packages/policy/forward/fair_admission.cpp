#include "policy/forward/fair_admission.h"

#include <algorithm>
#include <cmath>

namespace goldcrestline::policy::forward {

using core::TimePoint;

namespace {

// Start of the names under which starved calls are placed in the fair order, each as the first one
// of a workspace. No workspace's name contains it.
constexpr const char *starvedPrefix = "\n";
constexpr double percentPerUnit = 100;

} // namespace

CallRank FairAdmission::begin(std::uint64_t sequence, const ShareRequest &request, TimePoint now)
{
    CallShare call;
    const auto estimate = m_backends.estimateLatency(request.services.front(), 0, now);
    call.partMs = estimate ? estimate->processingMs : 0;
    call.parts = request.services.size();
    call.priority = request.priority;
    call.workspace = request.workspace;
    call.route = request.route;
    call.service = request.services.front();
    call.objectiveAt = request.objectiveAt;
    call.starved = m_servedByWorkspace.isStarved(request.workspace, now)
        || m_servedByRoute.isStarved(request.route, now);
    // A starved call competes with the most urgent ones, and does not wait for its workspace's
    // others.
    const int priority =
        call.starved ? std::min(request.priority, m_share.mostUrgent()) : request.priority;
    call.ticket = m_share.begin(
        priority, call.starved ? starvedPrefix + std::to_string(sequence) : request.workspace,
        call.partMs * static_cast<double>(call.parts), now);
    const double remainingMs = core::toMillis(request.objectiveAt - now);
    for (const auto &it : request.services)
        m_use.onRequest(it, request.priority, remainingMs, now);
    const CallRank rank{priority, call.ticket.startTag, sequence};
    m_calls.emplace(sequence, std::move(call));
    return rank;
}

void FairAdmission::onSent(std::uint64_t sequence, const std::string &service, TimePoint now)
{
    const auto it = m_calls.find(sequence);
    if (it == m_calls.end())
        return;
    auto &call = it->second;
    m_use.onSent(service, call.priority, call.workspace, call.partMs, now);
    if (++call.sent >= call.parts)
        m_share.onSent(call.ticket);
}

void FairAdmission::onEnded(std::uint64_t sequence, std::optional<CallOutcome> outcome,
                            TimePoint now)
{
    const auto it = m_calls.find(sequence);
    if (it == m_calls.end())
        return;
    auto &call = it->second;
    const auto unsent = call.parts - std::min(call.parts, call.sent);
    m_share.onEnded(call.ticket,
                    call.ticket.cost * static_cast<double>(unsent)
                        / static_cast<double>(call.parts));
    if (outcome) {
        const bool served = *outcome == CallOutcome::Passed || *outcome == CallOutcome::Merged;
        m_servedByWorkspace.onEnded(call.workspace, served, now);
        m_servedByRoute.onEnded(call.route, served, now);
    }
    m_calls.erase(it);
}

std::optional<LatencyEstimate> FairAdmission::estimateLatency(const std::string &service,
                                                              CallRank rank, TimePoint now) const
{
    const auto waiting = m_queue.countAhead(service, rank);
    auto out = m_backends.estimateLatency(service, waiting, now);
    const auto it = m_calls.find(rank.sequence);
    // The queueing of starved calls has no weight, so that they are admitted unless it is too long.
    if (it == m_calls.end() || !out || it->second.starved)
        return out;
    const auto &call = it->second;
    const auto atServers = waiting > 0 ? m_backends.estimateLatency(service, 0, now) : out;
    const double queueingMs = atServers->responseMs - atServers->processingMs;
    // Spares the sum over all workspaces while servers are idle.
    if (queueingMs <= 0 && waiting == 0)
        return out;
    const auto weight = m_use.weightFor(service, call.priority, call.workspace, call.partMs,
                                        core::toMillis(call.objectiveAt - now), now);
    const double factor = weight.fraction * weight.urgency * weight.excess;
    out->responseMs += queueingMs * (factor - 1);
    out->queueWeight = factor;
    if (weight.aboveMean)
        out->shareHalfLifeMs = core::toMillis(ServiceUse::halfLife);
    return out;
}

std::string FairAdmission::describe(std::uint64_t sequence, TimePoint now) const
{
    const auto it = m_calls.find(sequence);
    if (it == m_calls.end())
        return {};
    const auto &call = it->second;
    const auto weight = m_use.weightFor(call.service, call.priority, call.workspace, call.partMs,
                                        core::toMillis(call.objectiveAt - now), now);
    const auto percent = [](double value) {
        return std::to_string(std::lround(percentPerUnit * value));
    };
    return " workspace=" + call.workspace + " rule=share priority=" + std::to_string(call.priority)
        + " starved=" + (call.starved ? "1" : "0") + " ahead_percent=" + percent(weight.fraction)
        + " urgency_percent=" + percent(weight.urgency)
        + " excess_percent=" + percent(weight.excess);
}

std::vector<WaitQueue::Entry> FairAdmission::dispatchOrder(const std::string &service,
                                                           TimePoint now)
{
    return m_calls.empty() ? m_queue.entries(service) : m_queue.dispatchOrder(service, now);
}

} // namespace goldcrestline::policy::forward
