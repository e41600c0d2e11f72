#include "cluster.h"

#include "adapters/curl/blocking.h"

#include <chrono>
#include <stdexcept>
#include <thread>

namespace harness {

namespace {

const std::string loopback = "127.0.0.1:";
const std::vector<std::string> zones{"a", "b", "c"};

} // namespace

bool eventually(const std::function<bool()> &check, double seconds)
{
    constexpr std::chrono::milliseconds pollInterval{20};
    const auto deadline = std::chrono::steady_clock::now() + std::chrono::duration<double>(seconds);
    while (!check()) {
        if (std::chrono::steady_clock::now() > deadline)
            return false;
        std::this_thread::sleep_for(pollInterval);
    }
    return true;
}

TransferResult call(Transfer transfer)
{
    goldcrestline::adapters::curl::HttpClient client;
    return goldcrestline::adapters::curl::fetch(client, std::move(transfer));
}

TransferResult get(const std::string &url)
{
    Transfer transfer;
    transfer.url = "http://" + url;
    transfer.timeout = std::chrono::milliseconds(2000);
    return call(std::move(transfer));
}

TransferResult post(const std::string &url, const std::string &body,
                    std::vector<std::string> headers, int timeoutMs)
{
    Transfer transfer;
    transfer.method = "POST";
    transfer.url = "http://" + url;
    transfer.headers = std::move(headers);
    transfer.body = std::make_shared<const std::string>(body);
    transfer.timeout = std::chrono::milliseconds(timeoutMs);
    return call(std::move(transfer));
}

json parsed(const TransferResult &result)
{
    auto body = json::parse(result.body, nullptr, false);
    return body.is_discarded() ? json(nullptr) : body;
}

std::string defaultServices()
{
    return R"({"services": {
        "doorstep-search": {"groups": 10, "servers_per_group": 3, "service_ms": 6, "spare_groups": 1},
        "claims-desk": {"sharded": false, "servers_per_group": 10, "connections": 110,
                        "connect_ms": 1, "service_ms": 5}
    }})";
}

std::string defaultLists(double ratePerSecond)
{
    return json{
        {"customers", {{"app", {{"plan", "doorstep"}}}}},
        {"plans",
         {{"doorstep",
           {{"rate_per_s", ratePerSecond},
            {"services",
             {{"doorstep-search",
               {{"priority", "interactive"}, {"prefer", "coverage"}, {"deadline_ms", 1000}}},
              {"claims-desk", {{"deadline_ms", 5000}}}}}}}}}}
        .dump();
}

Cluster::Cluster(ClusterOptions options) : m_options(std::move(options))
{
    if (m_options.services.empty())
        m_options.services = defaultServices();
    if (m_options.lists.empty())
        m_options.lists = defaultLists();
    m_platform = std::make_unique<Process>(
        std::vector<std::string>{programPath("tests/standins"), "--platform"});
    m_platformAddress = loopback + m_platform->waitForLine("ready ");
    const auto spec = scratchFolder() + "/servers.json";
    writeFile(spec, m_options.services);
    m_farm = std::make_unique<Process>(std::vector<std::string>{
        programPath("tests/standins"), "--servers", spec, "--store", m_platformAddress});
    m_farmAddress = loopback + m_farm->waitForLine("ready ");
    const auto applied = applyLists(m_options.lists, {"--on-newest"});
    if (applied.exitCode != 0)
        throw std::runtime_error("lists could not be applied to the platform: " + applied.output);
    const auto count = static_cast<std::size_t>(m_options.hosts);
    const auto ports = freePorts(3 * count);
    for (std::size_t i = 0; i < count; ++i) {
        Host host;
        host.name = "host-" + std::to_string(i);
        host.zone = zones[i % zones.size()];
        host.callers = loopback + std::to_string(ports[3 * i]);
        host.control = loopback + std::to_string(ports[3 * i + 1]);
        host.peers = loopback + std::to_string(ports[3 * i + 2]);
        host.settingsPath = scratchFolder() + "/settings.toml";
        m_hosts.push_back(std::move(host));
    }
    std::vector<std::size_t> indexes;
    for (std::size_t i = 0; i < count; ++i) {
        writeFile(m_hosts[i].settingsPath, settingsFor(m_hosts[i]));
        start(i);
        indexes.push_back(i);
    }
    if (!waitServing(indexes, count))
        throw std::runtime_error("hosts not serving after start; output of host 0: "
                                 + m_hosts[0].process->output());
}

std::string Cluster::settingsFor(const Host &host) const
{
    std::map<std::string, std::map<std::string, std::string>> tables;
    const auto quoted = [](const std::string &text) { return "\"" + text + "\""; };
    tables["host"] = {{"name", quoted(host.name)}, {"zone", quoted(host.zone)}};
    tables["listen"] = {{"callers", quoted(host.callers)},
                        {"control", quoted(host.control)},
                        {"peers", quoted(host.peers)}};
    tables["platform"] = {{"address", quoted(m_platformAddress)}};
    std::string seeds;
    for (const auto &it : m_hosts)
        seeds += (seeds.empty() ? "" : ", ") + quoted(it.peers);
    tables["peers"] = {{"seeds", "[" + seeds + "]"}};
    tables["callers"] = {{"keep_ms", "1500"}};
    for (const auto &[path, value] : m_options.settings) {
        const auto dot = path.find('.');
        tables[path.substr(0, dot)][path.substr(dot + 1)] = value;
    }
    std::string text;
    for (const auto &[name, keys] : tables) {
        text += "[" + name + "]\n";
        for (const auto &[key, value] : keys)
            text += key + " = " + value + "\n";
    }
    return text;
}

void Cluster::start(std::size_t n)
{
    auto &host = m_hosts[n];
    host.process = std::make_unique<Process>(std::vector<std::string>{
        programPath("packages/daemon/goldcrestlined"), "--config", host.settingsPath});
    host.process->waitForLine("daemon: ready");
}

void Cluster::setPlatform(const json &faults) const
{
    if (post(m_platformAddress + "/admin/set", faults.dump()).status != 200)
        throw std::runtime_error("POST /admin/set failed on the platform stand-in");
}

void Cluster::setServers(const json &match, const json &changes) const
{
    const json body{{"match", match}, {"set", changes}};
    if (post(m_farmAddress + "/admin/servers", body.dump()).status != 200)
        throw std::runtime_error("POST /admin/servers failed on the server stand-ins");
}

void Cluster::publishServers() const
{
    if (post(m_farmAddress + "/admin/publish", "{}").status != 200)
        throw std::runtime_error("POST /admin/publish failed on the server stand-ins");
}

void Cluster::addSnapshot(const json &snapshot) const
{
    if (post(m_farmAddress + "/admin/snapshot", snapshot.dump()).status != 200)
        throw std::runtime_error("POST /admin/snapshot failed on the server stand-ins");
}

json Cluster::platformCounters() const
{
    return parsed(get(m_platformAddress + "/admin/counters"));
}

json Cluster::serverCounters() const
{
    return parsed(get(m_farmAddress + "/admin/counters"));
}

std::int64_t Cluster::sumServerCounter(const std::string &service, const std::string &counter) const
{
    std::int64_t sum = 0;
    const auto counters = serverCounters();
    for (const auto &it : counters.at(service))
        sum += it.at(counter).get<std::int64_t>();
    return sum;
}

std::map<std::string, int> Cluster::executions(const std::string &service) const
{
    std::map<std::string, int> counts;
    const auto counters = serverCounters();
    for (const auto &server : counters.at(service)) {
        for (const auto &it : server.at("executions").items())
            counts[it.key()] += it.value().get<int>();
    }
    return counts;
}

json Cluster::status(std::size_t n) const
{
    return parsed(get(m_hosts[n].control + "/v1/status"));
}

bool Cluster::waitServing(const std::vector<std::size_t> &hosts, std::size_t liveHosts,
                          double seconds) const
{
    return eventually(
        [&] {
            for (const auto n : hosts) {
                const auto it = status(n);
                if (it.is_null() || !it.at("serving").get<bool>())
                    return false;
                std::size_t alive = 0;
                for (const auto &member : it.at("members"))
                    alive += member.at("state") == "alive" ? 1 : 0;
                if (alive != liveHosts)
                    return false;
            }
            return true;
        },
        seconds);
}

TransferResult Cluster::query(std::size_t n, const std::string &service, const std::string &body,
                              int deadlineMs, const std::string &customer) const
{
    return post(m_hosts[n].callers + "/v1/query/" + service, body,
                {"X-Customer: " + customer, "X-Deadline-Ms: " + std::to_string(deadlineMs)},
                deadlineMs + 2000);
}

TransferResult Cluster::request(std::size_t n, const std::string &service, const std::string &key,
                                const std::string &body, int deadlineMs,
                                const std::string &customer) const
{
    return post(m_hosts[n].callers + "/v1/request/" + service, body,
                {"X-Customer: " + customer, "X-Deadline-Ms: " + std::to_string(deadlineMs),
                 "Idempotency-Key: " + key},
                deadlineMs + 2000);
}

std::string Cluster::issueKey(std::size_t n, const std::string &customer) const
{
    const auto response = parsed(get(m_hosts[n].control + "/v1/keys?customer=" + customer));
    return response.is_null() ? "" : response.at("keys").at(0).get<std::string>();
}

CommandResult Cluster::applyLists(const std::string &lists,
                                  const std::vector<std::string> &extraArguments) const
{
    const auto path = scratchFolder() + "/lists.json";
    writeFile(path, lists);
    std::vector<std::string> command{programPath("packages/cli/goldcrestline"),
                                     "config",
                                     "apply",
                                     path,
                                     "--platform",
                                     m_platformAddress};
    command.insert(command.end(), extraArguments.begin(), extraArguments.end());
    return runCommand(command);
}

} // namespace harness
