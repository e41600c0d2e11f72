#include "daemon/engine/service_state.h"

#include <algorithm>

namespace goldcrestline::daemon::engine {

using core::TimePoint;

namespace {

constexpr core::Duration latencyWindow = std::chrono::seconds(5);
constexpr double defaultHedgeDelayMs = 30;
constexpr double minHedgeDelayMs = 2;
constexpr double budgetBurst = 10;
// A server that sheds a request has not executed it, so a retry costs one message and no search.
constexpr double shedRetryShare = 0.5;
constexpr double shedRetryBurst = 100;
constexpr double initialConcurrencyLimit = 16;

policy::fanout::AttemptId nextAttempt()
{
    static policy::fanout::AttemptId last = 0;
    return ++last;
}

} // namespace

ServiceState::ServiceState(std::string name, HostState &host)
    : servers(host.settings->host.zone.value, routingLimits(),
              [&host](unsigned n) { return host.randomBelow(n); }),
      limiter(std::min(initialConcurrencyLimit,
                       static_cast<double>(host.settings->queries.concurrent.value)),
              static_cast<double>(host.settings->queries.concurrent.value)),
      hedgeBudget(host.settings->queries.hedgeShare.value, budgetBurst),
      retryBudget(host.settings->queries.retryShare.value, budgetBurst),
      shedBudget(shedRetryShare, shedRetryBurst),
      latency(host.settings->queries.hedgeQuantile.value, latencyWindow), m_name(std::move(name)),
      m_host(host), m_hooks(makeHooks())
{ }

void ServiceState::update(const policy::routing::ServiceRecord &record, TimePoint now)
{
    m_sharded = record.sharded;
    m_snapshots = record.snapshots;
    servers.update(record, now);
}

const policy::routing::Snapshot *ServiceState::selectSnapshot(TimePoint now) const
{
    return servers.newestUsable(m_snapshots, {}, now);
}

int ServiceState::connectionLimit(const policy::routing::ServerRecord &record) const
{
    const auto maxHosts = m_host.settings->peers.hostsAtMost.value;
    const auto knownHosts = static_cast<std::int64_t>(m_host.members.knownCount());
    return static_cast<int>(record.connections / std::max(maxHosts, knownHosts));
}

std::optional<std::uint64_t> ServiceState::oldestWaitingQuery(int group) const
{
    const auto it = m_waitingQueries.find(group);
    if (it == m_waitingQueries.end() || it->second.empty())
        return std::nullopt;
    return *it->second.begin();
}

policy::routing::RoutingParameters ServiceState::routingLimits() const
{
    policy::routing::RoutingParameters limits;
    limits.connectionLimit = [this](const policy::routing::ServerRecord &record) {
        return connectionLimit(record);
    };
    return limits;
}

policy::fanout::Hooks ServiceState::makeHooks()
{
    policy::fanout::Hooks hooks;
    hooks.pick = [this](std::uint64_t order, int group, const auto &exclude,
                        core::SnapshotId snapshot, TimePoint now) -> std::optional<std::string> {
        const auto oldest = oldestWaitingQuery(group);
        if (oldest && *oldest < order)
            return std::nullopt;
        return servers.pick(group, exclude, snapshot, now);
    };
    hooks.setWaiting = [this](std::uint64_t order, int group, bool waits) {
        if (waits) {
            m_waitingQueries[group].insert(order);
        } else {
            m_waitingQueries[group].erase(order);
        }
    };
    hooks.mayHedge = [this](int, TimePoint) {
        if (!hedgeBudget.tryWithdraw())
            return false;
        ++counters.hedges;
        return true;
    };
    hooks.mayRetry = [this](int group, policy::fanout::Failure why, TimePoint now) {
        if (servers.allShed(group, now))
            return false;
        auto &budget = why == policy::fanout::Failure::Shed ? shedBudget : retryBudget;
        if (!budget.tryWithdraw())
            return false;
        ++counters.retries;
        return true;
    };
    hooks.hedgeDelay = [this](TimePoint now) {
        const double ms = std::max(minHedgeDelayMs, latency.value(defaultHedgeDelayMs, now));
        return std::chrono::duration_cast<core::Duration>(
            std::chrono::duration<double, std::milli>(ms));
    };
    hooks.fallbackSnapshot = [this](const std::set<core::SnapshotId> &tried, TimePoint now) {
        return servers.newestUsable(m_snapshots, tried, now);
    };
    hooks.nextAttempt = nextAttempt;
    return hooks;
}

} // namespace goldcrestline::daemon::engine
