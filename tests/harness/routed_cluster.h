#pragma once

#include "cluster.h"

#include <functional>

namespace harness {

// Hosts that forward requests by the routes of the platform's configuration, with stand-ins of the
// platform's store and of the backend servers, each in a process of its own. The const member
// functions are thread-safe.
class RoutedCluster
{
public:
    struct RoutedHost
    {
        std::string name;
        std::string zone;
        std::string callers;
        std::string control;
        std::string directory;
        std::string readiness;
        std::string metrics;
        std::string peers;
        std::string relay;
        std::string settingsPath;
        std::unique_ptr<Process> process;
    };

    // Starts all processes, with the hosts in up to three zones, and waits until every host is
    // ready and knows all others. Throws std::runtime_error if one does not.
    // `storeAddress` returns the address at which a host reaches the platform's store; by default
    // the store's own. `furtherSettings` is appended to the hosts' settings files.
    explicit RoutedCluster(
        int hosts = 3, int zoneCount = 3,
        std::function<std::string(std::size_t host, const std::string &store)> storeAddress = {},
        std::string furtherSettings = {});

    // Returns a configuration with this version and four routes: "/all/" fans out to three shards,
    // "/one/" is an idempotent and "/claim/" a non-idempotent route to one service, and "/split/"
    // splits the traffic of two services 3 to 1.
    static json configuration(std::uint64_t version);

    // Writes the configuration object to the platform's store, as an operator does.
    void applyConfiguration(const json &spec) const;

    // Starts the process of host `n`.
    void start(std::size_t n);
    // Kills all hosts, then starts them again.
    void restartAll();

    // Sends a request with request id `id` to host `n`. `callerTimeoutMs` is the time that the
    // caller waits, sent as X-Deadline-Ms.
    TransferResult sendRequest(std::size_t n, const std::string &path, const std::string &id,
                               const std::string &method = "GET", const std::string &body = {},
                               int callerTimeoutMs = 2000,
                               const std::vector<std::string> &headers = {}) const;

    // Returns the caller addresses that the directory of host `n` lists for its own zone.
    std::vector<std::string> resolve(std::size_t n) const;

    // Returns whether the readiness address of host `n` responds with 200.
    bool ready(std::size_t n) const;
    // Returns the value of a metric of host `n`, or -1 if it is absent.
    double metric(std::size_t n, const std::string &name) const;

    // Sets the injected faults of the platform.
    void setPlatform(const json &faults) const;
    // Writes the entries of all servers to the store again, as their heartbeats do.
    void publishBackends() const;
    // Changes "mode", "work_ms", "state" or "crash_on" of the servers selected by {"service": S} or
    // {"id": I}.
    void setBackends(const json &changes) const;
    // Returns whether the platform's store holds an object of this kind and name.
    bool isStored(const std::string &kind, const std::string &name) const;
    // Creates an object in the platform's store.
    void createStored(const std::string &kind, const std::string &name, const json &spec) const;
    // Creates objects of this kind, "note-0" on, each with a text of so many bytes, by several
    // connections at a time.
    void createLargeEntries(const std::string &kind, int count, std::size_t bytes) const;
    // Deletes an object from the platform's store.
    void removeStored(const std::string &kind, const std::string &name) const;
    // Returns the addresses of all servers, from their entries in the store at `store`.
    static std::vector<std::string> serverAddresses(const std::string &store);
    // Returns the calls that the platform stand-in received, by kind.
    json platformCounters() const;
    // Returns how often each server executed requests, in total and by request id.
    json runs() const;
    // Returns the headers, each as "Name: value", that a server saw of each request, by its id.
    json headersSeen() const;

    // Returns the address of the platform's store.
    const std::string &platformAddress() const { return m_platformAddress; }

    RoutedHost &host(std::size_t n) { return m_hosts[n]; }
    const RoutedHost &host(std::size_t n) const { return m_hosts[n]; }
    std::size_t size() const { return m_hosts.size(); }

private:
    std::string settingsFor(const RoutedHost &host, const std::string &storeAddress) const;

    std::unique_ptr<Process> m_platform;
    std::unique_ptr<Process> m_farm;
    std::string m_platformAddress;
    std::string m_farmAddress;
    std::string m_furtherSettings;
    std::vector<RoutedHost> m_hosts;
};

} // namespace harness
