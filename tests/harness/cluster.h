#pragma once

#include "process.h"

#include "adapters/curl/http_client.h"

#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace harness {

using goldcrestline::adapters::curl::Transfer;
using goldcrestline::adapters::curl::TransferOutcome;
using goldcrestline::adapters::curl::TransferResult;
using nlohmann::json;

// Calls `check` until it returns true; returns false after `seconds`.
bool eventually(const std::function<bool()> &check, double seconds = 15);

// Sends one HTTP request and waits for its end. Thread-safe.
TransferResult call(Transfer transfer);
TransferResult get(const std::string &url);
TransferResult post(const std::string &url, const std::string &body,
                    std::vector<std::string> headers = {}, int timeoutMs = 5000);

// Parses a body; null if it is not JSON.
json parsed(const TransferResult &result);

// What a cluster is made of.
struct ClusterShape
{
    int hosts = 3;
    // JSON text of the services; see ServerFarm.
    std::string services;
    // Lists as operators write them.
    std::string lists;
    // More lines of settings, as "section.key" to value text.
    std::vector<std::pair<std::string, std::string>> settings;
};

// Returns the services of one user: a sharded and an unsharded one, small.
std::string smallServices();
// Returns lists that allow customer "app" everything in smallServices().
std::string smallLists(double ratePerSecond = 100000);

// A host of the cluster.
struct Host
{
    std::string name;
    std::string zone;
    std::string callers;
    std::string control;
    std::string peers;
    std::string settingsPath;
    std::unique_ptr<Process> process;
};

// The platform's and servers' stand-ins and entry hosts in separate processes.
class Cluster
{
public:
    // Starts everything, applies the lists, and waits until every host serves and knows all.
    explicit Cluster(ClusterShape shape);

    Host &host(std::size_t n) { return m_hosts[n]; }
    std::size_t size() const { return m_hosts.size(); }
    const std::string &platform() const { return m_platformAddress; }
    const std::string &farm() const { return m_farmAddress; }

    // Starts a host's process again with the same settings.
    void start(std::size_t n);

    // Switches the platform or servers.
    void setPlatform(const json &switches) const;
    void setServers(const json &match, const json &changes) const;
    void publishServers() const;
    void addSnapshot(const json &snapshot) const;

    json platformCounters() const;
    // Counters by service and server id.
    json serverCounters() const;
    // Sum of one counter over a service's servers.
    std::int64_t serverSum(const std::string &service, const std::string &counter) const;
    // Runs of each key over a service's servers.
    std::map<std::string, int> executions(const std::string &service) const;

    // Returns a host's status, null if it does not answer.
    json status(std::size_t n) const;

    // Waits until all given hosts serve and see `live` live hosts.
    bool waitServing(const std::vector<std::size_t> &hosts, std::size_t live,
                     double seconds = 15) const;

    // Sends a query or a request to a host.
    TransferResult query(std::size_t n, const std::string &service, const std::string &body = "{}",
                         int deadlineMs = 1000, const std::string &customer = "app") const;
    TransferResult request(std::size_t n, const std::string &service, const std::string &key,
                           const std::string &body = "{}", int deadlineMs = 1000,
                           const std::string &customer = "app") const;

    // Gets an idempotency key from a host.
    std::string key(std::size_t n, const std::string &customer = "app") const;

    // Applies lists by the command line; returns its result.
    CommandResult applyLists(const std::string &lists, const std::vector<std::string> &more) const;

private:
    std::string settingsFor(const Host &host) const;

    ClusterShape m_shape;
    std::unique_ptr<Process> m_platform;
    std::unique_ptr<Process> m_farm;
    std::string m_platformAddress;
    std::string m_farmAddress;
    std::vector<Host> m_hosts;
};

} // namespace harness
