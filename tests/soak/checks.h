#pragma once

#include "routed_cluster.h"

#include <atomic>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace soak {

// Violations of promises, with a description of each. Thread-safe.
class Violations
{
public:
    void add(const std::string &text);
    std::vector<std::string> all() const;

private:
    mutable std::mutex m_mutex;
    std::vector<std::string> m_texts;
};

// What is being done to a host, for the judgement of interrupted requests. Thread-safe.
struct HostDisturbance
{
    // Raised with each fault of the host or of its links, and while one lasts.
    std::atomic<int> active{0};
    std::atomic<std::uint64_t> count{0};
    // The host has left the directory for longer than callers keep its address: they send it
    // nothing more.
    std::atomic<bool> unlisted{false};
    // Raised with each start of the process.
    std::atomic<std::uint64_t> lifetime{0};
};

// Sends requests of all kinds to one host from a thread, on kept and on new connections, and checks
// each response: it belongs to its request, is complete and states its missing parts truly.
class CallerLoad
{
public:
    // `address` is the host's address for callers. Precondition: all arguments outlive this.
    CallerLoad(std::string address, std::string name, unsigned seed,
               const HostDisturbance &disturbance, Violations &violations);
    ~CallerLoad() { finish(); }

    void finish();
    int answered() const { return m_answered; }

    // After finish(): ids of the requests that must run at most once, with the statuses returned;
    // 0 stands for none.
    const std::map<std::string, int> &claims() const { return m_claims; }

private:
    void run(unsigned seed);
    void send(goldcrestline::adapters::curl::HttpClient &client, const std::string &path,
              const std::string &id, bool claim);
    void check(const harness::TransferResult &result, const std::string &path,
               const std::string &id);
    void checkMerged(const harness::TransferResult &result, const std::string &id);

    std::string m_address;
    std::string m_name;
    const HostDisturbance &m_disturbance;
    Violations &m_violations;
    std::atomic<bool> m_stop{false};
    std::atomic<int> m_answered{0};
    std::map<std::string, int> m_claims;
    std::thread m_thread;
};

// Workspace of the callers, and its key.
inline constexpr const char *workspaceName = "soak-workspace";
inline constexpr const char *workspaceKey = "soak-key";

// Checks the headers that servers saw, by request id: the name of the callers' workspace and no
// other, and no key.
void checkWorkspace(const harness::json &headersById, Violations &violations);

// Checks that requests which must run at most once did, and that those refused as not run did not.
void checkClaims(const std::map<std::string, int> &claims, const harness::json &runs,
                 Violations &violations);

// Polls the configuration version of each host and reports each decrease within the lifetime of
// its process.
class VersionMonitor
{
public:
    VersionMonitor(const harness::RoutedCluster &cluster,
                   const std::vector<HostDisturbance> &disturbances, Violations &violations);
    ~VersionMonitor();

private:
    std::atomic<bool> m_stop{false};
    std::thread m_thread;
};

} // namespace soak
