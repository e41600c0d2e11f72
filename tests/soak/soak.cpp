#include "checks.h"
#include "fault_proxy.h"

#include <algorithm>
#include <csignal>
#include <cxxopts.hpp>
#include <functional>
#include <iostream>
#include <random>

// Fault soak: runs the real daemon with stand-ins of the store and of the servers, injects faults
// from outside, in overlapping series, and checks the promises that callers and servers can see.
// Prints each violation with the seed that plays the run again, and exits with 1 if there is any.

using namespace harness;
using namespace soak;

namespace {

using Clock = std::chrono::steady_clock;

constexpr int hostCount = 5;
constexpr int callersPerHost = 2;
// Time after the last fault within which everything must be served again.
constexpr double recoverySeconds = 12;
// Time within which a draining server gets no new requests.
constexpr auto drainTime = std::chrono::seconds(3);
constexpr double gracefulStopSeconds = 6;
// Shorter than three times the time for which callers keep addresses, after which a stopping host
// ends when no request is open.
constexpr auto addressKeepTime = std::chrono::milliseconds(2800);

const std::vector<std::string> services{"shard0", "shard1", "shard2", "single", "left", "right"};

class Soak
{
public:
    // `callersLeave`: callers stop sending to a stopping host once they would no longer keep its
    // address. Otherwise they go on until it is gone.
    Soak(unsigned seed, bool callersLeave)
        : m_random(seed), m_callersLeave(callersLeave), m_disturbances(hostCount),
          m_cluster(hostCount, 2, [this](std::size_t, const std::string &store) {
              m_storeProxies.push_back(std::make_unique<FaultProxy>(0, store));
              return m_storeProxies.back()->address();
          })
    {
        ++m_version;
        writeConfiguration();
        if (!eventually([this] {
                for (std::size_t n = 0; n < m_cluster.size(); ++n) {
                    if (!hasVersion(n))
                        return false;
                }
                return true;
            }))
            throw std::runtime_error("the hosts did not get the workspaces");
        for (std::size_t n = 0; n < m_cluster.size(); ++n) {
            m_callerProxies.push_back(std::make_unique<FaultProxy>(0, m_cluster.host(n).callers));
            for (int i = 0; i < callersPerHost; ++i) {
                const auto name = "h" + std::to_string(n) + "c" + std::to_string(i);
                m_loads.push_back(std::make_unique<CallerLoad>(
                    m_callerProxies[n]->address(), name,
                    seed + static_cast<unsigned>(m_loads.size()), m_disturbances[n], m_violations));
            }
        }
    }

    // Injects faults for the time and checks everything. Returns the violations.
    std::vector<std::string> run(std::chrono::seconds length)
    {
        {
            VersionMonitor monitor(m_cluster, m_disturbances, m_violations);
            const auto end = Clock::now() + length;
            while (Clock::now() < end) {
                injectFault();
                pause(50, 600);
                endFaults(Clock::now());
            }
            endFaults(Clock::time_point::max());
            recover();
        }
        for (const auto &it : m_loads)
            it->finish();
        checkDraining();
        const auto runs = m_cluster.runs();
        int answered = 0;
        for (const auto &it : m_loads) {
            checkClaims(it->claims(), runs, m_violations);
            answered += it->answered();
        }
        checkWorkspace(m_cluster.headersSeen(), m_violations);
        if (answered == 0)
            m_violations.add("nothing was answered");
        if (!m_violations.all().empty())
            printHosts();
        std::cout << "answered " << answered << ", faults " << m_faults << '\n';
        return m_violations.all();
    }

private:
    struct RunningFault
    {
        Clock::time_point endAt;
        std::function<void()> end;
    };

    int below(int n) { return std::uniform_int_distribution<int>(0, n - 1)(m_random); }

    void pause(int minMs, int maxMs)
    {
        std::this_thread::sleep_for(std::chrono::milliseconds(minMs + below(maxMs - minMs)));
    }

    void endLater(int minMs, int maxMs, std::function<void()> end)
    {
        const auto at = Clock::now() + std::chrono::milliseconds(minMs + below(maxMs - minMs));
        m_running.push_back({at, std::move(end)});
    }

    void endFaults(Clock::time_point until)
    {
        auto running = std::exchange(m_running, {});
        for (auto &it : running) {
            if (it.endAt > until)
                m_running.push_back(std::move(it));
            else
                it.end();
        }
    }

    // Marks host `n` as disturbed until the returned function is called.
    std::function<void()> disturb(std::size_t n)
    {
        ++m_disturbances[n].active;
        ++m_disturbances[n].count;
        return [this, n] { --m_disturbances[n].active; };
    }

    void injectFault()
    {
        ++m_faults;
        const auto n = static_cast<std::size_t>(below(hostCount));
        switch (below(11)) {
        case 0:
            return kill(n);
        case 1:
            return freeze(n);
        case 2:
            return stopGracefully(n);
        case 3:
            return m_cluster.host(n).process->signal(SIGHUP);
        case 4:
            return disturbLink(*m_callerProxies[n], disturb(n));
        case 5:
        case 6:
            return disturbLink(*m_storeProxies[n], [] {});
        case 7:
            return disturbStore();
        case 8:
            return changeConfiguration();
        default:
            return disturbServers();
        }
    }

    void restart(std::size_t n)
    {
        m_cluster.host(n).process->wait();
        ++m_disturbances[n].lifetime;
        m_cluster.start(n);
    }

    void kill(std::size_t n)
    {
        const auto done = disturb(n);
        m_cluster.host(n).process->signal(SIGKILL);
        restart(n);
        pause(1, 50);
        done();
    }

    void freeze(std::size_t n)
    {
        const auto done = disturb(n);
        m_cluster.host(n).process->signal(SIGSTOP);
        endLater(300, 4000, [this, n, done] {
            m_cluster.host(n).process->signal(SIGCONT);
            // Callers that gave up during the pause have closed their connections.
            pause(50, 100);
            done();
        });
    }

    // A planned stop cuts no request, so that the host does not count as disturbed before its exit.
    void stopGracefully(std::size_t n)
    {
        m_cluster.host(n).process->signal(SIGCONT);
        m_cluster.host(n).process->signal(SIGTERM);
        std::this_thread::sleep_for(addressKeepTime);
        m_disturbances[n].unlisted = m_callersLeave;
        const int exitCode = m_cluster.host(n).process->wait(gracefulStopSeconds);
        const auto done = disturb(n);
        m_stopLogs.push_back(lastLines(m_cluster.host(n).process->output()));
        if (exitCode != 0)
            m_violations.add("planned stop ended with " + std::to_string(exitCode));
        restart(n);
        m_disturbances[n].unlisted = false;
        done();
    }

    void disturbLink(FaultProxy &proxy, std::function<void()> done)
    {
        const int kind = below(5);
        if (kind == 0) {
            proxy.setDelay(20 + below(200));
        } else if (kind == 1) {
            proxy.resetAll();
        } else {
            proxy.setMode(kind == 2       ? ProxyMode::Silent
                              : kind == 3 ? ProxyMode::DropRequests
                                          : ProxyMode::DropResponses);
        }
        endLater(300, 3000, [this, &proxy, done = std::move(done)] {
            proxy.setDelay(0);
            proxy.setMode(ProxyMode::Pass);
            proxy.resetLost();
            pause(10, 20);
            done();
        });
    }

    void disturbStore()
    {
        m_storeAway = true;
        switch (below(6)) {
        case 0:
            m_cluster.setPlatform({{"mode", "refuse"}});
            break;
        case 1:
            m_cluster.setPlatform({{"mode", "hang"}});
            break;
        case 2:
            m_cluster.setPlatform({{"slow_ms", 50 + below(300)}});
            break;
        case 3:
            m_cluster.setPlatform({{"lose_share", 0.3}});
            break;
        case 4:
            m_cluster.setPlatform({{"forget", true}});
            break;
        default:
            return restoreStore();
        }
        endLater(300, 3000, [this] { healStore(); });
    }

    void healStore()
    {
        m_cluster.setPlatform({{"mode", "up"}, {"slow_ms", 0}, {"lose_share", 0}});
        if (std::exchange(m_storeAway, false))
            m_cluster.publishBackends();
    }

    // The store comes back from a copy that lacks the changes of the following moments.
    void restoreStore()
    {
        healStore();
        m_cluster.setPlatform({{"copy", true}});
        changeConfiguration();
        pause(100, 800);
        healStore();
        m_cluster.setPlatform({{"restore", true}, {"further_revisions", below(100)}});
        m_cluster.publishBackends();
        writeConfiguration();
    }

    void changeConfiguration()
    {
        m_version += 1 + static_cast<std::uint64_t>(below(5));
        m_service = below(2) == 0 ? "single" : "left";
        writeConfiguration();
    }

    void writeConfiguration()
    {
        auto next = RoutedCluster::configuration(m_version);
        next["routes"][1]["service"] = m_service;
        next["tenants"] = json::array({{{"name", workspaceName}, {"api_keys", {workspaceKey}}}});
        try {
            m_cluster.applyConfiguration(next);
        } catch (const std::runtime_error &) {
            // The store is away; it is written again at the end.
        }
    }

    void disturbServers()
    {
        const auto service =
            services[static_cast<std::size_t>(below(static_cast<int>(services.size())))];
        const auto id = "i-" + service + "-" + std::to_string(below(3));
        const int kind = below(9);
        static const std::vector<std::string> modes{"hang", "lose", "garble",
                                                    "fail", "shed", "late-shed"};
        if (kind < 6) {
            m_cluster.setBackends({{"id", id}, {"mode", modes[static_cast<std::size_t>(kind)]}});
        } else if (kind == 6) {
            m_cluster.setBackends({{"id", id}, {"rest_s", 0.5 + below(10) / 10.0}});
        } else if (kind == 7) {
            m_cluster.setBackends({{"id", id}, {"says_leaving", true}});
        } else {
            m_cluster.setBackends({{"id", id},
                                   {"state", below(2) == 0 ? "draining" : "gone"},
                                   {"publish", !m_storeAway}});
        }
        endLater(300, 3000, [this, id] { restartServer(id); });
    }

    void restartServer(const std::string &id)
    {
        m_cluster.setBackends({{"id", id},
                               {"mode", "up"},
                               {"rest_s", 0},
                               {"restart", true},
                               {"publish", !m_storeAway}});
    }

    TransferResult sendWithKey(std::size_t n, const std::string &path, const std::string &id) const
    {
        constexpr int timeoutMs = 2000;
        return m_cluster.sendRequest(n, path, id, "GET", {}, timeoutMs,
                                     {std::string("Authorization: Token ") + workspaceKey});
    }

    bool serves(std::size_t n)
    {
        const auto id = "end-" + std::to_string(n) + "-" + std::to_string(m_probes++);
        const auto merged = sendWithKey(n, "/all/" + id, id);
        const auto one = sendWithKey(n, "/one/" + id, id + "o");
        return merged.status == 200 && merged.headers.at("x-missing-parts") == "0"
            && one.status == 200 && one.body.ends_with("by " + m_service);
    }

    // Returns whether host `n` has the newest configuration.
    bool hasVersion(std::size_t n) const
    {
        return m_cluster.metric(n, "configuration_version") == static_cast<double>(m_version);
    }

    void recover()
    {
        for (std::size_t n = 0; n < m_cluster.size(); ++n)
            m_cluster.host(n).process->signal(SIGCONT);
        m_storeAway = true;
        healStore();
        ++m_version;
        writeConfiguration();
        const bool recovered = eventually(
            [this] {
                for (std::size_t n = 0; n < m_cluster.size(); ++n) {
                    if (!m_cluster.ready(n) || !serves(n)
                        || m_cluster.metric(n, "members") != hostCount || !hasVersion(n))
                        return false;
                }
                return true;
            },
            recoverySeconds);
        if (!recovered) {
            m_violations.add("not served again in time");
        }
    }

    static std::string lastLines(const std::string &output)
    {
        constexpr std::size_t shown = 3000;
        return output.substr(output.size() - std::min(output.size(), shown));
    }

    // Prints the end of the log of each host, and of those that were stopped.
    void printHosts()
    {
        for (std::size_t n = 0; n < m_cluster.size(); ++n) {
            std::cout << "host " << n << ":\n"
                      << lastLines(m_cluster.host(n).process->output()) << '\n';
        }
        for (const auto &it : m_stopLogs)
            std::cout << "stopped host:\n" << it << '\n';
    }

    void checkDraining()
    {
        const std::string id = "i-" + m_service + "-1";
        m_cluster.setBackends({{"id", id}, {"state", "draining"}});
        std::this_thread::sleep_for(drainTime);
        const auto before = m_cluster.runs().at(id).at("arrivals");
        for (std::size_t n = 0; n < m_cluster.size(); ++n) {
            for (int i = 0; i < 10; ++i)
                sendWithKey(n, "/one/x", "drain" + std::to_string(i));
        }
        if (m_cluster.runs().at(id).at("arrivals") != before) {
            m_violations.add("a draining server got requests after its time: " + id);
        }
    }

    std::mt19937 m_random;
    bool m_callersLeave;
    Violations m_violations;
    std::vector<HostDisturbance> m_disturbances;
    std::vector<std::unique_ptr<FaultProxy>> m_storeProxies;
    RoutedCluster m_cluster;
    std::vector<std::unique_ptr<FaultProxy>> m_callerProxies;
    std::vector<std::unique_ptr<CallerLoad>> m_loads;
    std::vector<RunningFault> m_running;
    std::uint64_t m_version = 1;
    std::string m_service = "single";
    // The store is disturbed. Servers publish their entries when it is back.
    bool m_storeAway = false;
    // Ends of the logs of hosts that were stopped.
    std::vector<std::string> m_stopLogs;
    int m_faults = 0;
    int m_probes = 0;
};

} // namespace

int main(int argc, char **argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    cxxopts::Options options("soak",
                             "Injects faults into running hosts and checks their promises.");
    options.add_options()("seed", "seed of the first run; 0 takes a fresh one",
                          cxxopts::value<unsigned>()->default_value("0"))(
        "callers-leave", "callers leave a stopping host when its address has expired")(
        "runs", "number of runs", cxxopts::value<int>()->default_value("1"))(
        "seconds", "length of the faults of a run", cxxopts::value<int>()->default_value("20"));
    int failed = 0;
    try {
        const auto parsed = options.parse(argc, argv);
        auto seed = parsed["seed"].as<unsigned>();
        if (seed == 0)
            seed = std::random_device{}() % 1000000 + 1;
        for (int run = 0; run < parsed["runs"].as<int>(); ++run, ++seed) {
            std::cout << "seed " << seed << ": " << std::flush;
            const auto violations = Soak(seed, parsed.count("callers-leave") != 0)
                                        .run(std::chrono::seconds(parsed["seconds"].as<int>()));
            for (const auto &it : violations)
                std::cout << "VIOLATION seed=" << seed << ": " << it << '\n';
            failed += violations.empty() ? 0 : 1;
        }
    } catch (const std::exception &e) {
        std::cerr << "soak: " << e.what() << '\n';
        return 1;
    }
    std::cout << failed << " runs with violations\n";
    return failed == 0 ? 0 : 1;
}
