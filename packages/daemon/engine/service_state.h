#pragma once

#include "core/quantile_window.h"
#include "daemon/engine/host_state.h"
#include "policy/admission/concurrency_limiter.h"
#include "policy/fanout/fanout.h"
#include "policy/retry/budget.h"
#include "policy/routing/server_table.h"

#include <string>
#include <vector>

namespace goldcrestline::daemon::engine {

// Counters of one service since the host started.
struct ServiceCounters
{
    std::uint64_t queries = 0;
    std::uint64_t full = 0;
    std::uint64_t partial = 0;
    std::uint64_t refused = 0;
    std::uint64_t inTime = 0;
    std::uint64_t late = 0;
    std::uint64_t attempts = 0;
    std::uint64_t hedges = 0;
    std::uint64_t retries = 0;
    std::uint64_t sheds = 0;
    std::uint64_t cancels = 0;
    std::uint64_t joined = 0;
    double coverageSum = 0;
};

// This host's state for one service. Not thread-safe: runs on the engine's event loop.
class ServiceState
{
public:
    ServiceState(std::string name, HostState &host);
    ServiceState(const ServiceState &) = delete;
    ServiceState &operator=(const ServiceState &) = delete;

    // Applies the service's record from a newer fleet.
    void update(const policy::routing::ServiceRecord &record, core::TimePoint now);

    // Returns the newest snapshot that a query can use, or null.
    const policy::routing::Snapshot *selectSnapshot(core::TimePoint now) const;

    // Returns the number of connections that this host may open to the server.
    int connectionLimit(const policy::routing::ServerRecord &record) const;

    // Returns the oldest query that waits for a server of the group with free capacity, or nothing.
    std::optional<std::uint64_t> oldestWaitingQuery(int group) const;

    const policy::fanout::Hooks &hooks() const { return m_hooks; }
    const std::string &name() const { return m_name; }
    bool sharded() const { return m_sharded; }

    policy::routing::ServerTable servers;
    policy::admission::ConcurrencyLimiter limiter;
    policy::retry::Budget hedgeBudget;
    policy::retry::Budget retryBudget;
    policy::retry::Budget shedBudget;
    core::QuantileWindow latency;
    ServiceCounters counters;

private:
    policy::routing::RoutingParameters routingLimits() const;
    policy::fanout::Hooks makeHooks();

    std::string m_name;
    HostState &m_host;
    bool m_sharded = true;
    std::vector<policy::routing::Snapshot> m_snapshots;
    // Ids of the queries that wait for a server with free capacity, by group, oldest first.
    std::map<int, std::set<std::uint64_t>> m_waitingQueries;
    policy::fanout::Hooks m_hooks;
};

} // namespace goldcrestline::daemon::engine
