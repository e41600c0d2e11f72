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

// Polls `check` until it returns true. Returns false if it has not done so within `seconds`.
bool eventually(const std::function<bool()> &check, double seconds = 15);

// Send one HTTP request, wait until it completes or times out, and return the result. The URLs of
// get() and post() are without "http://". Thread-safe.
TransferResult call(Transfer transfer);
TransferResult get(const std::string &url);
TransferResult post(const std::string &url, const std::string &body,
                    std::vector<std::string> headers = {}, int timeoutMs = 5000);

// Returns the response body parsed as JSON, or null if it is not valid JSON.
json parsed(const TransferResult &result);

// Options of a test cluster. Empty texts select the defaults.
struct ClusterOptions
{
    int hosts = 3;
    // JSON specification of the services, as read by the stand-in ServerFarm.
    std::string services;
    // JSON document of customers and plans, as passed to "goldcrestline config apply".
    std::string lists;
    // Further settings of each host: "section.key" and the TOML text of the value.
    std::vector<std::pair<std::string, std::string>> settings;
};

// Returns the JSON specification of a small sharded and a small unsharded service.
std::string defaultServices();
// Returns lists with customer "app", whose plan covers all services of defaultServices().
std::string defaultLists(double ratePerSecond = 100000);

// A host of the cluster: its addresses as "IP:port" and its process.
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

// A running system: the stand-ins of the platform and of the backend servers, and the hosts, each
// in a process of its own. The member functions that only send HTTP requests are thread-safe.
class Cluster
{
public:
    // Starts all processes, applies the lists and waits until every host serves and sees all others
    // as alive. Throws std::runtime_error if a process does not start.
    explicit Cluster(ClusterOptions options);

    Host &host(std::size_t n) { return m_hosts[n]; }
    std::size_t size() const { return m_hosts.size(); }
    const std::string &platformAddress() const { return m_platformAddress; }
    const std::string &farmAddress() const { return m_farmAddress; }

    // Starts the process of host `n` with the settings file written by the constructor.
    void start(std::size_t n);

    // Set the injected faults of the platform, or of the servers that `match` selects.
    void setPlatform(const json &faults) const;
    void setServers(const json &match, const json &changes) const;
    // Writes the list of servers to the platform's store.
    void publishServers() const;
    // Adds a snapshot to the list; publishServers() makes it visible to the hosts.
    void addSnapshot(const json &snapshot) const;

    // Calls that the platform stand-in received, by kind.
    json platformCounters() const;
    // Counters by service and server id.
    json serverCounters() const;
    // Returns the sum of a counter over all servers of a service.
    std::int64_t sumServerCounter(const std::string &service, const std::string &counter) const;
    // Returns how often each idempotency key was executed by the servers of a service.
    std::map<std::string, int> executions(const std::string &service) const;

    // Returns the JSON status of host `n`, or null if it does not respond.
    json status(std::size_t n) const;

    // Waits until each of `hosts` serves and sees `liveHosts` hosts as alive. Returns false on
    // timeout.
    bool waitServing(const std::vector<std::size_t> &hosts, std::size_t liveHosts,
                     double seconds = 15) const;

    // Send a query, or a request with an idempotency key, to host `n`.
    TransferResult query(std::size_t n, const std::string &service, const std::string &body = "{}",
                         int deadlineMs = 1000, const std::string &customer = "app") const;
    TransferResult request(std::size_t n, const std::string &service, const std::string &key,
                           const std::string &body = "{}", int deadlineMs = 1000,
                           const std::string &customer = "app") const;

    // Returns an idempotency key issued by host `n`, or an empty string if it issues none.
    std::string issueKey(std::size_t n, const std::string &customer = "app") const;

    // Runs "goldcrestline config apply" on `lists` and returns its result.
    CommandResult applyLists(const std::string &lists,
                             const std::vector<std::string> &extraArguments) const;

private:
    std::string settingsFor(const Host &host) const;

    ClusterOptions m_options;
    std::unique_ptr<Process> m_platform;
    std::unique_ptr<Process> m_farm;
    std::string m_platformAddress;
    std::string m_farmAddress;
    std::vector<Host> m_hosts;
};

} // namespace harness
