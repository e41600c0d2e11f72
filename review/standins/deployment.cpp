#include "deployment.h"

#include "record.h"

#include <csignal>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <random>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

// The command of deploy/system.toml; the platform's path of the settings is replaced by one in the
// temporary folder.
const char *const program = "target/packages/daemon/goldcrestlined";
constexpr int portsPerHost = 8;
constexpr int readinessTimeoutMs = 500;

std::mt19937_64 &randomSource()
{
    static std::mt19937_64 it{std::random_device{}()};
    return it;
}

} // namespace

Deployment::Deployment(std::size_t count, std::vector<std::string> zones, std::string region,
                       Bounds bounds, std::string storeAddress, std::string folder)
    : m_region(std::move(region)), m_bounds(std::move(bounds)),
      m_storeAddress(std::move(storeAddress)), m_folder(std::move(folder))
{
    // Each run has IP numbers of its own.
    const auto third = std::to_string(10 + randomSource()() % 200);
    for (std::size_t i = 0; i < count; ++i) {
        const auto &zone = zones[i % zones.size()];
        m_hosts.push_back({"front-" + zone + "-" + std::to_string(i / zones.size() + 1), zone,
                           "127.1." + third + "." + std::to_string(i + 1)});
    }
    findPorts();
    for (std::size_t i = 0; i < count; ++i)
        start(i, true);
}

Deployment::~Deployment()
{
    for (std::size_t i = 0; i < m_hosts.size(); ++i) {
        if (m_hosts[i].pid == 0)
            continue;
        signal(i, SIGCONT);
        signal(i, SIGKILL);
        ::waitpid(m_hosts[i].pid, nullptr, 0);
    }
}

void Deployment::findPorts()
{
    for (int tries = 0; tries < 50; ++tries) {
        m_firstPort = 20000 + static_cast<int>(randomSource()() % 10000);
        bool free = true;
        for (const auto &host : m_hosts) {
            for (int i = 0; i < portsPerHost; ++i)
                free = free && isFree(host.ip + ":" + port(i));
        }
        if (free)
            return;
    }
    throw std::runtime_error("no free ports");
}

std::string Deployment::settings(std::size_t n, bool firstStart) const
{
    const auto &host = m_hosts[n];
    const auto at = [&](int i) { return "\"" + host.ip + ":" + port(i) + "\"\n"; };
    std::string seeds;
    for (std::size_t i = 0; i < std::min<std::size_t>(3, m_hosts.size()); ++i)
        seeds += (i == 0 ? "\"" : ",\"") + control(i) + "\"";
    return "[host]\nname = \"" + host.name + "\"\nzone = \"" + host.zone + "\"\nregion = \""
        + m_region + "\"\nserves = \"routes\"\n" + (firstStart ? "first_start = 1\n" : "")
        + "core_share = " + std::to_string(m_bounds.cpuQuota)
        + "\ncores = 1\n\n[listen]\ncallers = " + at(0) + "control = " + at(2) + "directory = "
        + at(3) + "readiness = " + at(1) + "metrics = " + at(4) + "peers = " + at(5)
        + "relay = " + at(6) + "\n[platform]\naddress = \"" + m_storeAddress + "\"\nheartbeat_ms = "
        + std::to_string(m_bounds.heartbeatMs) + "\n\n[peers]\nseed_controls = [" + seeds
        + "]\n\n[forward]\nextra_share = " + std::to_string(m_bounds.retryBudgetRatio)
        + "\nextra_slack = " + std::to_string(m_bounds.retryBudgetSlack)
        + "\ngrace_s = " + std::to_string(m_bounds.graceS) + "\n\n[access]\n" + m_bounds.access
        + "\n[quota]\n" + m_bounds.quota;
}

void Deployment::start(std::size_t n, bool firstStart)
{
    auto &host = m_hosts[n];
    const auto path = m_folder + "/" + host.name + ".toml";
    std::ofstream(path) << settings(n, firstStart);
    const auto log = m_folder + "/" + host.name + ".log";
    const auto pid = ::fork();
    if (pid < 0)
        throw std::runtime_error("cannot fork");
    if (pid == 0) {
        // No host outlives this program.
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int fd = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(fd, STDOUT_FILENO);
        ::dup2(fd, STDERR_FILENO);
        ::execl(program, program, "--config", path.c_str(), static_cast<char *>(nullptr));
        ::_exit(127);
    }
    host.pid = pid;
    record("start " + host.name);
}

void Deployment::signal(std::size_t n, int number) const
{
    if (m_hosts[n].pid != 0)
        ::kill(m_hosts[n].pid, number);
}

std::optional<int> Deployment::waitForEnd(std::size_t n, int timeoutMs)
{
    constexpr int stepMs = 10;
    for (int waited = 0; waited <= timeoutMs; waited += stepMs) {
        int status = 0;
        if (::waitpid(m_hosts[n].pid, &status, WNOHANG) == m_hosts[n].pid) {
            m_hosts[n].pid = 0;
            return status;
        }
        sleepMs(stepMs);
    }
    return std::nullopt;
}

bool Deployment::running(std::size_t n)
{
    return m_hosts[n].pid != 0 && !waitForEnd(n, 0);
}

bool Deployment::ready(std::size_t n) const
{
    const auto response =
        call(readiness(n), {"GET", "/readiness", {{"Host", "ready"}}, ""}, readinessTimeoutMs);
    return response && response->status == 200;
}

bool Deployment::waitUntilReady(int timeoutMs) const
{
    const auto until = nowMs() + timeoutMs;
    for (std::size_t i = 0; i < m_hosts.size();) {
        if (ready(i)) {
            ++i;
        } else if (nowMs() > until) {
            return false;
        } else {
            sleepMs(50);
        }
    }
    return true;
}

json makeRoute(const std::string &name, const std::string &prefix, const std::string &service,
               bool idempotent, int timeoutMs, int objectiveMs)
{
    return {{"name", name},
            {"host", "soglia.example"},
            {"path_prefix", prefix},
            {"service", service},
            {"route_type", idempotent ? "idempotent" : "non_idempotent"},
            {"timeout_ms", timeoutMs},
            {"target_latency_ms", objectiveMs},
            {"max_attempts", 2},
            {"priority", 1}};
}

json makeConfiguration(std::uint64_t version, const json &routes, int maxConnections)
{
    std::map<std::string, json> services;
    for (const auto &it : routes) {
        const auto name = it.at("service").get<std::string>();
        services[name] = {
            {"name", name}, {"health_path", "/health"}, {"max_connections", maxConnections}};
    }
    json list = json::array();
    for (const auto &it : services)
        list.push_back(it.second);
    return {{"version", version},
            {"routes", routes},
            {"services", list},
            {"limits",
             {{"max_header_bytes", 16384},
              {"max_body_bytes", 262144},
              {"header_timeout_ms", 3000},
              {"idle_timeout_ms", 15000}}}};
}

std::string makeRequestId()
{
    static std::mutex mutex;
    const std::scoped_lock lock(mutex);
    char text[17] = {};
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(randomSource()()));
    return text;
}

std::string temporaryFolder()
{
    const char *path = std::getenv("REVIEW_FOLDER");
    if (path == nullptr)
        throw std::runtime_error("REVIEW_FOLDER is not set");
    return path;
}

} // namespace review
