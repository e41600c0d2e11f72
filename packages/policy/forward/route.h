#pragma once

#include "core/clock.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

// Routes of forwarded requests, and the table of all routes of one version.
namespace goldcrestline::policy::forward {

// Whether a request may run more than once.
enum class Idempotency { Idempotent, NonIdempotent };

// A service and its share of a route's requests.
struct WeightedService
{
    std::string service;
    double weight = 1;
};

// Where requests of one host and path prefix go, and what they may cost.
struct Route
{
    std::string name;
    std::string host;
    std::string prefix;
    Idempotency idempotency = Idempotency::NonIdempotent;
    // Longest time that a caller is kept waiting.
    core::Millis timeout{1000};
    // Latency at which an answer is still on time.
    core::Millis objective{1000};
    // 0 is the most urgent.
    int priority = 0;
    // Servers that may run one request; holds for each shard.
    int maxAttempts = 1;
    // One entry for a plain route, several for a split.
    std::vector<WeightedService> services;
    // Services of which each answers a part; empty unless the route fans out.
    std::vector<std::string> shards;
    // Records of a merged answer.
    std::size_t topRecords = 0;
    // Smallest share of the shards that makes a success.
    double minShardShare = 1;

    bool fansOut() const { return !shards.empty(); }
};

// What callers may send, and for how long.
struct CallerLimits
{
    std::uint64_t maxHeaderBytes = 16384;
    std::uint64_t maxBodyBytes = 262144;
    core::Millis headerTimeout{3000};
    core::Millis idleTimeout{15000};
};

// Properties of a service that hold for all of its servers.
struct ServiceTraits
{
    // Connections that one server accepts from all hosts together.
    int connections = 1;
};

// All routes of one version. Immutable, so that a request can keep the version it began with.
class RouteTable
{
public:
    RouteTable(std::uint64_t version, std::vector<Route> routes,
               std::map<std::string, ServiceTraits> services, CallerLimits callerLimits);

    // Returns the route of the longest prefix that begins `path`, or null. Thread-safe.
    const Route *find(std::string_view host, std::string_view path) const;

    std::uint64_t version() const { return m_version; }
    const std::vector<Route> &routes() const { return m_routes; }
    const std::map<std::string, ServiceTraits> &services() const { return m_services; }
    const CallerLimits &callerLimits() const { return m_callerLimits; }

private:
    std::uint64_t m_version;
    std::vector<Route> m_routes;
    std::map<std::string, ServiceTraits> m_services;
    CallerLimits m_callerLimits;
    // Routes by lower-case host, longest prefix first.
    std::unordered_map<std::string, std::vector<const Route *>> m_byHost;
};

using RouteTablePtr = std::shared_ptr<const RouteTable>;

} // namespace goldcrestline::policy::forward
