#pragma once

#include "core/clock.h"
#include "core/result.h"
#include "policy/access/key_table.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

// Routes of forwarded requests and the routing table of one configuration version.
namespace goldcrestline::policy::forward {

// Whether a request may be executed more than once.
enum class Idempotency { Idempotent, NonIdempotent };

// A service and its weight in a route's traffic split.
struct WeightedService
{
    std::string service;
    double weight = 1;
};

// Destination and limits of requests with one host name and path prefix.
struct Route
{
    std::string name;
    std::string host;
    std::string prefix;
    Idempotency idempotency = Idempotency::NonIdempotent;
    // Longest time until the caller receives a response.
    core::Millis timeout{1000};
    // Latency objective: largest latency of a response that counts as on time.
    core::Millis objective{1000};
    // 0 is the most urgent.
    int priority = 0;
    // Servers that may execute one request, for each shard.
    int maxAttempts = 1;
    // One entry for a plain route, several for a traffic split.
    std::vector<WeightedService> services;
    // Service of each shard; empty unless the route fans out.
    std::vector<std::string> shards;
    // Largest number of records in a merged response.
    std::size_t topRecords = 0;
    // Smallest share of the shards, 0 to 1, that makes a response a success.
    double minShardShare = 1;
    // Requests need no key, also where the configuration has workspaces.
    bool anonymous = false;
    // Regions whose servers may run the requests; empty for all.
    std::vector<std::string> allowedRegions;
    // False if the route's entry is malformed: only host and prefix are set, and its requests are
    // refused.
    bool usable = true;

    bool fansOut() const { return !shards.empty(); }
};

// Size limits and timeouts of callers' requests and connections.
struct CallerLimits
{
    std::uint64_t maxHeaderBytes = 16384;
    std::uint64_t maxBodyBytes = 262144;
    core::Millis headerTimeout{3000};
    core::Millis idleTimeout{15000};
};

// Properties that all servers of a service share.
struct ServiceTraits
{
    // Connections that one server accepts from all hosts in total.
    int connections = 1;
    // Time after its start for which a server is cold, and the requests per second that a cold
    // server stands from all hosts together; 0 for no limit.
    core::Millis warmup{0};
    double warmupPerSecond = 0;
};

// All routes of one configuration version. Immutable, so that a request keeps using the version
// with which it started.
class RouteTable
{
public:
    RouteTable(std::uint64_t version, std::vector<Route> routes,
               std::map<std::string, ServiceTraits> services, CallerLimits callerLimits,
               access::KeyTablePtr workspaces = nullptr, std::vector<core::Error> leftOut = {});

    // Returns the route of `host` with the longest prefix of `path`, or null. Host names are
    // compared without case. Thread-safe.
    const Route *find(std::string_view host, std::string_view path) const;

    std::uint64_t version() const { return m_version; }
    const std::vector<Route> &routes() const { return m_routes; }
    const std::map<std::string, ServiceTraits> &services() const { return m_services; }
    // Returns the requests per second that a cold server of each service stands; 0 for no limit.
    std::map<std::string, double> warmupRates() const;
    const CallerLimits &callerLimits() const { return m_callerLimits; }
    // Returns the workspaces and their keys; null if requests need no keys.
    const access::KeyTablePtr &workspaces() const { return m_workspaces; }
    // Returns an error for each part of the configuration that cannot be used.
    const std::vector<core::Error> &leftOut() const { return m_leftOut; }

private:
    std::uint64_t m_version;
    std::vector<Route> m_routes;
    std::map<std::string, ServiceTraits> m_services;
    CallerLimits m_callerLimits;
    access::KeyTablePtr m_workspaces;
    std::vector<core::Error> m_leftOut;
    // Routes by lower-case host name, longest prefix first.
    std::unordered_map<std::string, std::vector<const Route *>> m_byHost;
};

using RouteTablePtr = std::shared_ptr<const RouteTable>;

} // namespace goldcrestline::policy::forward
