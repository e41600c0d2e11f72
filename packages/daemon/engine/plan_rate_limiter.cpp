#include "daemon/engine/plan_limits.h"

#include "core/hash.h"

#include <algorithm>

namespace goldcrestline::daemon::engine {

using core::TimePoint;
using policy::limits::Admission;

namespace {

constexpr core::Millis defaultRetryAfter{250};

} // namespace

PlanLimits::PlanLimits(HostState &host, ports::PeerLink &peers)
    : m_host(host), m_peers(peers), m_lender(m_times)
{ }

PlanLimits::PlanState &PlanLimits::stateOf(const std::string &plan, TimePoint now)
{
    const auto it = m_plans.find(plan);
    if (it != m_plans.end())
        return it->second;
    return m_plans.emplace(plan, PlanState{policy::limits::Borrower(m_times, now), {}, 0})
        .first->second;
}

void PlanLimits::admit(const std::string &plan, double ratePerSecond, TimePoint now,
                       Decision decision)
{
    auto &state = stateOf(plan, now);
    state.ratePerSecond = ratePerSecond;
    switch (state.borrower.admit(now)) {
    case Admission::Admitted:
        return decision(true, now);
    case Admission::Refused:
        return decision(false, now);
    case Admission::AskLender:
        state.held.push_back(std::move(decision));
        return askLender(plan, state, now);
    }
}

policy::membership::Member PlanLimits::lenderOf(const std::string &plan) const
{
    auto hosts = m_host.members.live();
    const auto weight = [&](const policy::membership::Member &it) {
        // A stopping host keeps lending until it left, so that it hands over only once.
        return core::rendezvousWeight(it.name, plan);
    };
    return *std::max_element(hosts.begin(), hosts.end(),
                             [&](const auto &a, const auto &b) { return weight(a) < weight(b); });
}

void PlanLimits::askLender(const std::string &plan, PlanState &state, TimePoint now)
{
    const int wanted = state.borrower.ask(state.held.size());
    if (wanted == 0)
        return;
    const auto lender = lenderOf(plan);
    if (lender.name == m_host.members.self().name) {
        state.borrower.onLoan(m_lender.lend(plan, state.ratePerSecond, wanted, now), wanted, now);
        return release(plan, state, now);
    }
    const auto timeout = std::chrono::duration_cast<core::Millis>(m_times.lenderTimeout);
    m_peers.call(lender.peersAddress, ports::BorrowRequest{plan, wanted}, timeout,
                 [this, plan, wanted](const ports::PeerResult &result) {
                     const auto answeredAt = core::Clock::now();
                     auto &state = stateOf(plan, answeredAt);
                     const auto *answer = std::get_if<ports::BorrowAnswer>(&result.answer);
                     const bool lent = result.end == ports::PeerEnd::Answered && answer != nullptr
                         && answer->tokens != ports::cannotLend;
                     if (lent) {
                         state.borrower.onLoan(answer->tokens, wanted, answeredAt);
                     } else {
                         state.borrower.onLenderSilent();
                     }
                     release(plan, state, answeredAt);
                 });
}

void PlanLimits::release(const std::string &plan, PlanState &state, TimePoint now)
{
    auto held = std::exchange(state.held, {});
    for (auto &decision : held) {
        const auto hosts = m_host.members.live().size();
        const auto admission = state.borrower.retry(state.ratePerSecond, hosts, now);
        if (admission == Admission::AskLender) {
            state.held.push_back(std::move(decision));
        } else {
            decision(admission == Admission::Admitted, now);
        }
    }
    if (!state.held.empty())
        askLender(plan, state, now);
}

int PlanLimits::lend(const std::string &plan, int wanted, TimePoint now)
{
    // A host that has just started does not know the plans yet.
    if (!m_host.lists)
        return ports::cannotLend;
    const auto it = m_host.lists->plans.find(plan);
    if (it == m_host.lists->plans.end())
        return ports::cannotLend;
    return m_lender.lend(plan, it->second.ratePerSecond, std::max(0, wanted), now);
}

core::Millis PlanLimits::retryAfter(const std::string &plan) const
{
    const auto it = m_plans.find(plan);
    return it == m_plans.end() ? defaultRetryAfter : it->second.borrower.retryAfter();
}

} // namespace goldcrestline::daemon::engine
