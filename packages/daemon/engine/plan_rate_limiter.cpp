#include "daemon/engine/plan_rate_limiter.h"

#include "core/hash.h"

#include <algorithm>

namespace goldcrestline::daemon::engine {

using core::TimePoint;
using policy::limits::Admission;

namespace {

constexpr core::Millis defaultRetryAfter{250};

} // namespace

PlanRateLimiter::PlanRateLimiter(HostState &host, ports::PeerLink &peers)
    : m_host(host), m_peers(peers), m_lender(m_times)
{ }

PlanRateLimiter::PlanState &PlanRateLimiter::findOrCreateState(const std::string &plan,
                                                               TimePoint now)
{
    const auto it = m_plans.find(plan);
    if (it != m_plans.end())
        return it->second;
    return m_plans.emplace(plan, PlanState{policy::limits::Borrower(m_times, now), {}, 0})
        .first->second;
}

void PlanRateLimiter::admit(const std::string &plan, double ratePerSecond, TimePoint now,
                            Decision decision)
{
    auto &state = findOrCreateState(plan, now);
    state.ratePerSecond = ratePerSecond;
    switch (state.borrower.admit(now)) {
    case Admission::Admitted:
        return decision(true, now);
    case Admission::Refused:
        return decision(false, now);
    case Admission::AskLender:
        state.pending.push_back(std::move(decision));
        return requestTokens(plan, state, now);
    }
}

policy::membership::Member PlanRateLimiter::lenderFor(const std::string &plan) const
{
    auto hosts = m_host.members.live();
    const auto weight = [&](const policy::membership::Member &it) {
        // A leaving host keeps lending until it has left, so that the lender changes only once
        // during its shutdown.
        return core::rendezvousWeight(it.name, plan);
    };
    return *std::max_element(hosts.begin(), hosts.end(),
                             [&](const auto &a, const auto &b) { return weight(a) < weight(b); });
}

void PlanRateLimiter::requestTokens(const std::string &plan, PlanState &state, TimePoint now)
{
    const int wanted = state.borrower.tokensToRequest(state.pending.size());
    if (wanted == 0)
        return;
    const auto lender = lenderFor(plan);
    if (lender.name == m_host.members.self().name) {
        state.borrower.onLoan(m_lender.lend(plan, state.ratePerSecond, wanted, now), wanted, now);
        return retryPending(plan, state, now);
    }
    const auto timeout = std::chrono::duration_cast<core::Millis>(m_times.lenderTimeout);
    m_peers.call(lender.peersAddress, ports::BorrowRequest{plan, wanted}, timeout,
                 [this, plan, wanted](const ports::PeerResult &result) {
                     const auto receivedAt = core::Clock::now();
                     auto &state = findOrCreateState(plan, receivedAt);
                     const auto *response = std::get_if<ports::BorrowResponse>(&result.response);
                     const bool granted = result.outcome == ports::PeerOutcome::Answered
                         && response != nullptr && response->tokens != ports::planUnknownTokens;
                     if (granted) {
                         state.borrower.onLoan(response->tokens, wanted, receivedAt);
                     } else {
                         state.borrower.onLenderTimeout();
                     }
                     retryPending(plan, state, receivedAt);
                 });
}

void PlanRateLimiter::retryPending(const std::string &plan, PlanState &state, TimePoint now)
{
    auto pending = std::exchange(state.pending, {});
    for (auto &decision : pending) {
        const auto hosts = m_host.members.live().size();
        const auto admission = state.borrower.admitHeld(state.ratePerSecond, hosts, now);
        if (admission == Admission::AskLender) {
            state.pending.push_back(std::move(decision));
        } else {
            decision(admission == Admission::Admitted, now);
        }
    }
    if (!state.pending.empty())
        requestTokens(plan, state, now);
}

int PlanRateLimiter::lend(const std::string &plan, int wanted, TimePoint now)
{
    // A host that has just started has no lists yet.
    if (!m_host.lists)
        return ports::planUnknownTokens;
    const auto it = m_host.lists->plans.find(plan);
    if (it == m_host.lists->plans.end())
        return ports::planUnknownTokens;
    return m_lender.lend(plan, it->second.ratePerSecond, std::max(0, wanted), now);
}

core::Millis PlanRateLimiter::retryAfter(const std::string &plan) const
{
    const auto it = m_plans.find(plan);
    return it == m_plans.end() ? defaultRetryAfter : it->second.borrower.retryAfter();
}

} // namespace goldcrestline::daemon::engine
