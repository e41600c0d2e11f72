#pragma once

#include "store.h"

#include <sys/types.h>

namespace review {

// Bounds of the deployment, as in its sheet. Milliseconds and seconds as the names say.
struct Bounds
{
    double retryBudgetRatio = 0.2;
    int retryBudgetSlack = 58;
    int graceS = 6;
    int heartbeatMs = 1200;
    double cpuQuota = 0.25;
    // Further settings, each line as in the rendered template.
    std::string access;
    std::string quota;
};

// The project's hosts, each a process with a loopback IP number of its own, started with the
// command of deploy/system.toml and settings as deploy/settings.toml renders them.
class Deployment
{
public:
    struct Host
    {
        std::string name;
        std::string zone;
        std::string ip;
        pid_t pid = 0;
    };

    // Starts `count` hosts over the zones, all at once. Throws std::runtime_error on failure.
    Deployment(std::size_t count, std::vector<std::string> zones, std::string region, Bounds bounds,
               std::string storeAddress, std::string folder);
    // Kills the hosts that still run.
    ~Deployment();

    const std::vector<Host> &hosts() const { return m_hosts; }
    std::string callers(std::size_t n) const { return m_hosts[n].ip + ":" + port(0); }
    std::string readiness(std::size_t n) const { return m_hosts[n].ip + ":" + port(1); }
    std::string control(std::size_t n) const { return m_hosts[n].ip + ":" + port(2); }
    std::string directory(std::size_t n) const { return m_hosts[n].ip + ":" + port(3); }

    void start(std::size_t n, bool firstStart);
    // Sends a signal to a host's process.
    void signal(std::size_t n, int number) const;
    // Waits until the host's process has ended; returns its wait status, or nothing in time.
    std::optional<int> waitForEnd(std::size_t n, int timeoutMs);
    // Returns whether the host's process still runs.
    bool running(std::size_t n);
    bool ready(std::size_t n) const;
    // Waits until all hosts are ready; returns whether they are in time.
    bool waitUntilReady(int timeoutMs) const;

private:
    std::string port(int n) const { return std::to_string(m_firstPort + n); }
    std::string settings(std::size_t n, bool firstStart) const;
    void findPorts();

    std::string m_region;
    Bounds m_bounds;
    std::string m_storeAddress;
    std::string m_folder;
    int m_firstPort = 0;
    std::vector<Host> m_hosts;
};

// Returns a configuration with these routes; the services are those that they name.
json makeConfiguration(std::uint64_t version, const json &routes, int maxConnections);

// Returns a route to one service.
json makeRoute(const std::string &name, const std::string &prefix, const std::string &service,
               bool idempotent, int timeoutMs, int objectiveMs);

// Returns a new random request id.
std::string makeRequestId();

// Returns the temporary folder that run.sh has made. Throws std::runtime_error without one.
std::string temporaryFolder();

} // namespace review
