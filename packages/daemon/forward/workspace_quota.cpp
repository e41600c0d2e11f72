#include "daemon/forward/workspace_quota.h"

#include "adapters/logging/log.h"
#include "core/metric_label.h"
#include "policy/forward/retry_delay.h"

#include <algorithm>
#include <utility>

namespace goldcrestline::daemon::forward {

using core::TimePoint;
using policy::access::Workspace;
using policy::limits::Admission;
using policy::limits::LenderAddress;
using policy::limits::QuotaLoan;

namespace {

constexpr adapters::logging::LogChannel log("quota:");

// The lender and its deputies.
constexpr std::size_t maxLenders = 2;
// Interval between repetitions of a request to the lender, a multiple of the longest round trip
// (9 ms), since datagrams may be lost.
constexpr core::Duration repeatDelay = std::chrono::milliseconds(30);
// Time after which a host that did not respond is given up.
constexpr core::Duration lenderTimeout = std::chrono::milliseconds(100);
// The same for a deputy, which asks the lender before it lends itself.
constexpr core::Duration deputyTimeout = std::chrono::milliseconds(160);
constexpr core::Duration passOnTimeout = std::chrono::milliseconds(70);
constexpr core::Duration passOnRepeatDelay = std::chrono::milliseconds(20);
// Time for which a host that did not respond is not asked again.
constexpr core::Duration silentPeriod = std::chrono::milliseconds(200);
// A host that responded to another request within this time is not taken to be silent.
constexpr core::Duration heardPeriod = std::chrono::milliseconds(300);
// Longest time for which a request waits for a token.
constexpr core::Duration maxHoldTime = std::chrono::milliseconds(250);
// Time for which the link waits for a late response, whose tokens are used or returned.
constexpr core::Millis lateResponsePeriod{500};
// Time for which a token given back is kept for the next request before it is returned.
constexpr core::Duration givenBackLifetime = std::chrono::milliseconds(100);
constexpr core::Duration tickPeriod = std::chrono::milliseconds(20);
// Gap between ticks after which the other hosts may have found another lender.
constexpr core::Duration pauseThreshold = std::chrono::milliseconds(600);
// Copies of a datagram arrive within this time.
constexpr core::Duration duplicatePeriod = std::chrono::seconds(5);
// The initial tokens of a new lender, as a part of the requests by which a quota may be exceeded.
// Within one window the lender may change twice, and the deputy may lend too.
constexpr double initialPart = 0.35;
// Part of its share of the rate that a host uses while neither the lender nor the deputy responds:
// they may still lend to others.
constexpr double ownShareFraction = 0.25;
// Length of the time for which an unused own share adds up. Thus a host's share begins empty.
constexpr core::Duration ownShareFillTime = std::chrono::seconds(5);
// Time without a use of an own share after which the host has returned to its lenders.
constexpr core::Duration returnPeriod = std::chrono::seconds(2);
constexpr std::size_t workspacesWithMetrics = 20;

double seconds(core::Duration d)
{
    return std::chrono::duration<double>(d).count();
}

} // namespace

WorkspaceQuota::Parameters
WorkspaceQuota::parametersOf(const adapters::settings::Settings &settings)
{
    return {settings.host.name.value, static_cast<std::size_t>(settings.peers.hostsAtMost.value),
            settings.quota.windowS.value, settings.quota.overshoot.value,
            settings.quota.slack.value};
}

WorkspaceQuota::WorkspaceQuota(Parameters parameters, ports::PeerLink &link, Hooks hooks)
    : m_parameters(std::move(parameters)), m_link(link), m_hooks(std::move(hooks)),
      m_view(m_parameters.self, m_parameters.expectedHosts),
      m_lender(policy::limits::quotaTimings())
{ }

void WorkspaceQuota::setWorkspaces(policy::access::KeyTablePtr workspaces, TimePoint now)
{
    m_workspaces = std::move(workspaces);
    const auto known = [&](const std::string &name) {
        const auto *it = m_workspaces ? m_workspaces->find(name) : nullptr;
        return it != nullptr && it->limited();
    };
    m_lender.forgetUnknown(known);
    std::vector<State> gone;
    for (auto it = m_states.begin(); it != m_states.end();) {
        if (known(it->first)) {
            ++it;
            continue;
        }
        m_asks.erase(it->second.ask);
        m_borrowing.erase(it->first);
        gone.push_back(std::move(it->second));
        it = m_states.erase(it);
    }
    for (auto &it : gone) {
        for (const auto &held : std::exchange(it.held, {}))
            refuse(it, held.decide, now);
    }
    if (!m_workspaces)
        return;
    for (auto &it : m_states) {
        const auto *workspace = m_workspaces->find(it.first);
        if (workspace->requestsPerSecond < it.second.ratePerSecond
            || workspace->burst < it.second.burst)
            it.second.borrower.dropTokens();
        it.second.ratePerSecond = workspace->requestsPerSecond;
        it.second.burst = workspace->burst;
    }
}

void WorkspaceQuota::setMembers(const std::vector<policy::membership::Member> &members,
                                TimePoint now)
{
    noteActive(now);
    m_view.update(members, now);
}

void WorkspaceQuota::noteActive(TimePoint now)
{
    const auto before = std::exchange(m_activeAt, std::max(now, m_activeAt));
    // A start counts as a pause: other hosts may have lent before it.
    if (now - before > pauseThreshold)
        m_lender.restart(now);
}

WorkspaceQuota::State &WorkspaceQuota::stateOf(const Workspace &workspace, TimePoint now)
{
    auto it = m_states.find(workspace.name);
    if (it == m_states.end()) {
        it = m_states.emplace(workspace.name, State(now)).first;
        it->second.ratePerSecond = workspace.requestsPerSecond;
        it->second.burst = workspace.burst;
    }
    return it->second;
}

const std::vector<LenderAddress> &WorkspaceQuota::lendersOf(const std::string &name, State &state)
{
    if (state.lendersRevision != m_view.revision()) {
        state.lenders = m_view.lendersOf(name, maxLenders);
        state.lendersRevision = m_view.revision();
    }
    return state.lenders;
}

QuotaLoan WorkspaceQuota::lendHere(const std::string &name, const State &state, std::size_t rank,
                                   int wanted, int returned, TimePoint now)
{
    const double quota = state.ratePerSecond * m_parameters.windowSeconds + state.burst;
    const double permittedExcess = m_parameters.slack + m_parameters.overshoot * quota;
    const policy::limits::QuotaTerms terms{state.ratePerSecond, state.burst,
                                           initialPart * permittedExcess, m_view.visibleShare(),
                                           rank};
    return m_lender.lendQuota(name, terms, wanted, returned, now);
}

void WorkspaceQuota::admit(const Workspace &workspace, TimePoint now, Decision decide)
{
    noteActive(now);
    // A request may carry a workspace of an earlier configuration.
    if (!m_workspaces || m_workspaces->find(workspace.name) == nullptr) {
        const auto delay = policy::forward::retryDelay(core::Duration{0}, m_hooks.random());
        return decide({false, delay}, now);
    }
    auto &state = stateOf(workspace, now);
    switch (state.borrower.admit(now)) {
    case Admission::Admitted:
        ++state.counters.admitted;
        decide({}, now);
        return requestTokens(workspace.name, state, now);
    case Admission::Refused:
        return refuse(state, decide, now);
    case Admission::AskLender:
        state.held.push_back({std::move(decide), now});
        return requestTokens(workspace.name, state, now);
    }
}

void WorkspaceQuota::giveBack(const std::string &workspace, TimePoint now)
{
    const auto it = m_states.find(workspace);
    if (it == m_states.end())
        return;
    it->second.borrower.addTokens(1, now + givenBackLifetime);
    m_borrowing.insert(workspace);
}

void WorkspaceQuota::requestTokens(const std::string &name, State &state, TimePoint now)
{
    if (state.ask != 0)
        return;
    const int wanted = state.borrower.tokensToBorrow(state.held.size(), state.burst, now);
    if (wanted == 0)
        return;
    const auto &lenders = lendersOf(name, state);
    for (std::size_t rank = 0; rank < lenders.size(); ++rank) {
        const auto &lender = lenders[rank];
        if (lender.name == m_view.self()) {
            // Nothing is gained by lending tokens to itself ahead of requests.
            const int held = static_cast<int>(state.held.size());
            if (held == 0)
                return;
            const int returned = state.borrower.takeUnused(now);
            state.borrower.onQuotaLoan(lendHere(name, state, rank, held, returned, now), held,
                                       now + policy::limits::quotaTimings().loanLifetime, now);
            return settle(name, state, now);
        }
        if (isSilent(lender.peersAddress, name, now))
            continue;
        Ask ask;
        ask.workspace = name;
        ask.address = lender.peersAddress;
        ask.wanted = wanted;
        ask.returned = state.borrower.takeUnused(now);
        ask.repeatAt = rank == 0 ? now + repeatDelay : now + lenderTimeout;
        ask.giveUpAt = now + (rank == 0 ? lenderTimeout : deputyTimeout);
        state.ask = m_lastAsk + 1;
        return startAsk(std::move(ask), now);
    }
    decideOnOwnShare(name, state, now);
}

void WorkspaceQuota::startAsk(Ask ask, TimePoint now)
{
    ask.sentAt = now;
    const auto id = ++m_lastAsk;
    const auto &stored = m_asks.emplace(id, std::move(ask)).first->second;
    sendAsk(id, stored);
}

void WorkspaceQuota::sendAsk(std::uint64_t id, const Ask &ask)
{
    ports::QuotaRequest request{ask.workspace, ask.wanted, ask.returned, ask.reply != nullptr};
    m_link.call(ask.address, std::move(request), lateResponsePeriod,
                [this, id, workspace = ask.workspace, address = ask.address,
                 sentAt = ask.sentAt](const ports::PeerResult &result) {
                    onResponse(id, workspace, address, sentAt, result);
                });
}

void WorkspaceQuota::onResponse(std::uint64_t id, const std::string &workspace,
                                const std::string &address, TimePoint sentAt,
                                const ports::PeerResult &result)
{
    const auto now = m_hooks.now();
    const auto *response = std::get_if<ports::QuotaResponse>(&result.response);
    // A missing response is noticed by tick(), earlier than by the link.
    if (result.outcome != ports::PeerOutcome::Answered || response == nullptr)
        return;
    const auto it = m_asks.find(id);
    if (response->tokens == ports::workspaceUnknownTokens) {
        m_silentUntil[address + "/" + workspace] = now + silentPeriod;
        if (it != m_asks.end())
            giveUp(id, now);
        return;
    }
    m_silentUntil.erase(address);
    m_heardAt[address] = now;
    const int tokens = std::max(0, response->tokens);
    const auto expiresAt = sentAt + policy::limits::quotaTimings().loanLifetime;
    if (it != m_asks.end() && it->second.reply) {
        const auto reply = std::move(it->second.reply);
        m_asks.erase(it);
        return reply(ports::QuotaResponse{tokens, response->wait});
    }
    const auto state = m_states.find(workspace);
    if (state == m_states.end())
        return;
    m_borrowing.insert(workspace);
    if (it == m_asks.end())
        return state->second.borrower.addTokens(tokens, expiresAt);
    const int wanted = it->second.wanted;
    m_asks.erase(it);
    state->second.ask = 0;
    state->second.borrower.onQuotaLoan({tokens, response->wait}, wanted, expiresAt, now);
    settle(workspace, state->second, now);
}

void WorkspaceQuota::settle(const std::string &name, State &state, TimePoint now)
{
    auto held = std::exchange(state.held, {});
    for (auto &it : held) {
        if (state.borrower.admitBorrowed(now)) {
            ++state.counters.admitted;
            it.decide({}, now);
        } else if (state.borrower.lenderExhausted()) {
            refuse(state, it.decide, now);
        } else {
            state.held.push_back(std::move(it));
        }
    }
    if (!state.held.empty())
        requestTokens(name, state, now);
}

void WorkspaceQuota::refuse(State &state, const Decision &decide, TimePoint now)
{
    ++state.counters.refused;
    decide({false, state.borrower.quotaRetryAfter(state.ratePerSecond, m_hooks.random(), now)},
           now);
}

void WorkspaceQuota::decideOnOwnShare(const std::string &name, State &state, TimePoint now)
{
    if (state.held.empty())
        return;
    if (!m_fallenBack) {
        log.warning("no lender responds, own share used workspace=" + name);
        m_fallenBack = true;
    }
    m_ownShareUsedAt = now;
    const double rate = state.ratePerSecond * m_view.ownShare() * ownShareFraction;
    const double burst = rate * seconds(ownShareFillTime);
    if (!state.ownShare || now - state.ownShareUsedAt > returnPeriod)
        state.ownShare.emplace(rate, burst, 0, now);
    state.ownShareUsedAt = now;
    state.ownShare->setRate(rate, burst, now);
    for (const auto &it : std::exchange(state.held, {})) {
        if (state.ownShare->takeByChance(m_hooks.random(), now)) {
            ++state.counters.admitted;
            it.decide({}, now);
        } else {
            refuse(state, it.decide, now);
        }
    }
}

void WorkspaceQuota::noteSilent(const std::string &address, TimePoint now)
{
    const auto heard = m_heardAt.find(address);
    if (heard == m_heardAt.end() || now - heard->second >= heardPeriod)
        m_silentUntil[address] = now + silentPeriod;
}

bool WorkspaceQuota::isSilent(const std::string &address, const std::string &workspace,
                              TimePoint now) const
{
    if (m_silentUntil.empty())
        return false;
    const auto until = [&](const std::string &key) {
        const auto it = m_silentUntil.find(key);
        return it == m_silentUntil.end() ? TimePoint{} : it->second;
    };
    return now < until(address) || now < until(address + "/" + workspace);
}

bool WorkspaceQuota::isDuplicate(const std::string &messageId, TimePoint now)
{
    if (messageId.empty())
        return false;
    if (now - m_receivedSince > duplicatePeriod) {
        m_receivedBefore = std::exchange(m_received, {});
        m_receivedSince = now;
    }
    return m_receivedBefore.count(messageId) != 0 || !m_received.insert(messageId).second;
}

void WorkspaceQuota::handle(const ports::PeerCall &call, TimePoint now)
{
    noteActive(now);
    // The first copy was answered. Lending twice would lose tokens, and counting the returned
    // tokens twice would exceed the quota.
    if (isDuplicate(call.messageId, now))
        return;
    const auto &request = std::get<ports::QuotaRequest>(call.request);
    const auto *workspace = m_workspaces ? m_workspaces->find(request.workspace) : nullptr;
    if (workspace == nullptr || !workspace->limited())
        return call.reply(ports::QuotaResponse{ports::workspaceUnknownTokens, {}});
    auto &state = stateOf(*workspace, now);
    const auto &lenders = lendersOf(workspace->name, state);
    const bool isLender = lenders.empty() || lenders.front().name == m_view.self();
    if (!isLender && !request.passedOn
        && !isSilent(lenders.front().peersAddress, workspace->name, now)) {
        // The sender did not reach the lender, or does not know it yet.
        Ask ask;
        ask.workspace = workspace->name;
        ask.address = lenders.front().peersAddress;
        ask.wanted = request.wanted;
        ask.returned = request.returned;
        ask.repeatAt = now + passOnRepeatDelay;
        ask.giveUpAt = now + passOnTimeout;
        ask.reply = call.reply;
        return startAsk(std::move(ask), now);
    }
    const auto rank = isLender ? 0 : m_view.rankOfSelf(workspace->name);
    const auto loan = lendHere(workspace->name, state, rank, request.wanted, request.returned, now);
    state.counters.lent += static_cast<std::uint64_t>(loan.tokens);
    call.reply(ports::QuotaResponse{loan.tokens, std::chrono::ceil<core::Millis>(loan.wait)});
}

void WorkspaceQuota::giveUp(std::uint64_t id, TimePoint now)
{
    auto node = m_asks.extract(id);
    auto &ask = node.mapped();
    const auto found = m_states.find(ask.workspace);
    if (found == m_states.end()) {
        if (ask.reply)
            ask.reply(ports::QuotaResponse{ports::workspaceUnknownTokens, {}});
        return;
    }
    auto &state = found->second;
    if (!ask.reply) {
        state.ask = 0;
        auto held = std::exchange(state.held, {});
        for (auto &it : held) {
            if (now - it.since > maxHoldTime) {
                refuse(state, it.decide, now);
            } else {
                state.held.push_back(std::move(it));
            }
        }
        return requestTokens(found->first, state, now);
    }
    if (!isSilent(ask.address, ask.workspace, now))
        return;
    // As a deputy of the lender. The returned tokens may have arrived there.
    const auto rank = m_view.rankOfSelf(ask.workspace);
    const auto loan = lendHere(ask.workspace, state, rank, ask.wanted, 0, now);
    state.counters.lent += static_cast<std::uint64_t>(loan.tokens);
    ask.reply(ports::QuotaResponse{loan.tokens, std::chrono::ceil<core::Millis>(loan.wait)});
}

void WorkspaceQuota::returnUnused(TimePoint now)
{
    for (auto it = m_borrowing.begin(); it != m_borrowing.end();) {
        const auto name = *it;
        auto &state = m_states.at(name);
        const int unused = state.borrower.takeUnused(now);
        it = state.borrower.holdsTokens() ? std::next(it) : m_borrowing.erase(it);
        const auto &lenders = lendersOf(name, state);
        if (unused == 0 || lenders.empty())
            continue;
        if (lenders.front().name == m_view.self()) {
            lendHere(name, state, 0, 0, unused, now);
        } else {
            // Lost tokens are not returned again, so that none is returned twice.
            m_link.call(lenders.front().peersAddress, ports::QuotaRequest{name, 0, unused, false},
                        lateResponsePeriod, [](const ports::PeerResult &) {});
        }
    }
}

void WorkspaceQuota::tick(TimePoint now)
{
    noteActive(now);
    m_tickedAt = now;
    std::vector<std::uint64_t> expired;
    for (auto &it : m_asks) {
        auto &ask = it.second;
        if (now >= ask.giveUpAt) {
            expired.push_back(it.first);
        } else if (now >= ask.repeatAt) {
            ask.repeatAt = now + (ask.reply ? passOnRepeatDelay : repeatDelay);
            // The first message may have arrived, with the returned tokens.
            ask.returned = 0;
            sendAsk(it.first, ask);
        }
    }
    for (const auto id : expired) {
        const auto it = m_asks.find(id);
        if (it == m_asks.end())
            continue;
        noteSilent(it->second.address, now);
        giveUp(id, now);
    }
    std::erase_if(m_silentUntil, [&](const auto &it) { return now >= it.second; });
    std::erase_if(m_heardAt, [&](const auto &it) { return now - it.second >= heardPeriod; });
    returnUnused(now);
    if (m_fallenBack && now - m_ownShareUsedAt > returnPeriod) {
        m_fallenBack = false;
        log.info("lenders respond, own share no longer used");
    }
}

TimePoint WorkspaceQuota::nextTickAt() const
{
    return m_asks.empty() && m_borrowing.empty() ? TimePoint::max() : m_tickedAt + tickPeriod;
}

std::string WorkspaceQuota::metrics() const
{
    std::vector<std::pair<const std::string *, const Counters *>> all;
    for (const auto &it : m_states)
        all.emplace_back(&it.first, &it.second.counters);
    const auto requests = [](const auto &it) { return it.second->admitted + it.second->refused; };
    const auto shown = std::min(workspacesWithMetrics, all.size());
    std::partial_sort(all.begin(), all.begin() + static_cast<std::ptrdiff_t>(shown), all.end(),
                      [&](const auto &a, const auto &b) { return requests(a) > requests(b); });
    Counters others;
    std::string out;
    const auto append = [&](const std::string &label, const Counters &counters) {
        const auto line = [&](const std::string &name, std::uint64_t value) {
            out += "goldcrestline_quota_" + name + label + " " + std::to_string(value) + "\n";
        };
        line("admitted_total", counters.admitted);
        line("refused_total", counters.refused);
        line("lent_total", counters.lent);
    };
    for (std::size_t i = 0; i < all.size(); ++i) {
        if (i < shown) {
            append("{workspace=\"" + core::escapeLabel(*all[i].first) + "\"}", *all[i].second);
            continue;
        }
        others.admitted += all[i].second->admitted;
        others.refused += all[i].second->refused;
        others.lent += all[i].second->lent;
    }
    append("{workspace=\"other\"}", others);
    out += "goldcrestline_quota_own_share " + std::string(m_fallenBack ? "1" : "0") + "\n";
    return out;
}

} // namespace goldcrestline::daemon::forward
