#pragma once

#include "cluster.h"

namespace harness {

// Hosts that forward the platform's routes, with stand-ins of the store and of the servers.
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
        std::string settingsPath;
        std::unique_ptr<Process> process;
    };

    // Starts everything and waits until all hosts serve and know each other.
    explicit RoutedCluster(int hosts = 3);

    // Returns the configuration of `version`: a fan-out "/all/" over three shards, "/one/" to a
    // service, "/claim/" that must not be repeated, and "/split/" over two services, 3 to 1.
    static json configuration(std::uint64_t version);

    // Writes a configuration as the operator does.
    void applyConfiguration(const json &spec) const;

    // Starts the process of host `n`.
    void start(std::size_t n);

    // Sends a request to host `n`.
    TransferResult ask(std::size_t n, const std::string &path, const std::string &id,
                       const std::string &method = "GET", const std::string &body = {},
                       int patienceMs = 2000) const;

    // Returns the addresses that host `n` tells a caller of its own zone.
    std::vector<std::string> resolve(std::size_t n) const;

    bool ready(std::size_t n) const;
    // Returns a metric of host `n`, or -1.
    double metric(std::size_t n, const std::string &name) const;

    void setPlatform(const json &switches) const;
    // Changes servers: {"service": S} or {"id": I} with "mode", "work_ms", "state".
    void setBackends(const json &changes) const;
    // Returns runs of each server and request id.
    json runs() const;

    RoutedHost &host(std::size_t n) { return m_hosts[n]; }
    std::size_t size() const { return m_hosts.size(); }

private:
    std::string settingsFor(const RoutedHost &host) const;

    std::unique_ptr<Process> m_platform;
    std::unique_ptr<Process> m_farm;
    std::string m_platformAddress;
    std::string m_farmAddress;
    std::vector<RoutedHost> m_hosts;
};

} // namespace harness
