#include "routed_cluster.h"

#include <csignal>
#include <stdexcept>
#include <thread>

namespace harness {

namespace {

const std::string loopback = "127.0.0.1:";
const std::vector<std::string> zones{"a", "b", "c"};
constexpr std::size_t portsPerHost = 7;

const char *serverSpec = R"({"services": {"shard0": {}, "shard1": {}, "shard2": {},
    "single": {"servers": 4}, "left": {}, "right": {}}})";

} // namespace

json RoutedCluster::configuration(std::uint64_t version)
{
    const auto route = [](const std::string &name, const json &fields) {
        json out{
            {"name", name},       {"host", "shop.example"},    {"path_prefix", "/" + name + "/"},
            {"timeout_ms", 2000}, {"target_latency_ms", 300},  {"priority", 1},
            {"max_attempts", 2},  {"route_type", "idempotent"}};
        out.update(fields);
        return out;
    };
    json services = json::array();
    for (const char *it : {"shard0", "shard1", "shard2", "single", "left", "right"})
        services.push_back({{"name", it}, {"health_path", "/health"}, {"max_connections", 64}});
    return {{"version", version},
            {"routes",
             {route("all",
                    {{"fanout_services", {"shard0", "shard1", "shard2"}},
                     {"top_k", 4},
                     {"min_shard_share", 0.6}}),
              route("one", {{"service", "single"}}),
              route("claim", {{"service", "single"}, {"route_type", "non_idempotent"}}),
              route("split",
                    {{"traffic_split",
                      {{{"service", "left"}, {"weight", 3}},
                       {{"service", "right"}, {"weight", 1}}}}})}},
            {"services", services},
            {"limits",
             {{"max_header_bytes", 16384},
              {"max_body_bytes", 65536},
              {"header_timeout_ms", 3000},
              {"idle_timeout_ms", 15000}}}};
}

RoutedCluster::RoutedCluster(
    int hosts, int zoneCount,
    std::function<std::string(std::size_t host, const std::string &store)> storeAddress,
    std::string furtherSettings)
    : m_furtherSettings(std::move(furtherSettings))
{
    m_platform = std::make_unique<Process>(
        std::vector<std::string>{programPath("tests/standins"), "--platform"});
    m_platformAddress = loopback + m_platform->waitForLine("ready ");
    const auto spec = scratchFolder() + "/backends.json";
    writeFile(spec, serverSpec);
    m_farm = std::make_unique<Process>(std::vector<std::string>{
        programPath("tests/standins"), "--backends", spec, "--store", m_platformAddress});
    m_farmAddress = loopback + m_farm->waitForLine("ready ");
    applyConfiguration(configuration(1));
    const auto count = static_cast<std::size_t>(hosts);
    const auto ports = freePorts(portsPerHost * count);
    for (std::size_t i = 0; i < count; ++i) {
        RoutedHost host;
        host.name = "host-" + std::to_string(i);
        host.zone = zones[i % std::min(zones.size(), static_cast<std::size_t>(zoneCount))];
        std::size_t port = portsPerHost * i;
        for (auto *it : {&host.callers, &host.control, &host.directory, &host.readiness,
                         &host.peers, &host.metrics, &host.relay})
            *it = loopback + std::to_string(ports[port++]);
        host.settingsPath = scratchFolder() + "/settings.toml";
        m_hosts.push_back(std::move(host));
    }
    for (std::size_t i = 0; i < count; ++i) {
        const auto address = storeAddress ? storeAddress(i, m_platformAddress) : m_platformAddress;
        writeFile(m_hosts[i].settingsPath, settingsFor(m_hosts[i], address));
        start(i);
    }
    const bool serving = eventually([&] {
        for (std::size_t i = 0; i < count; ++i) {
            if (!ready(i) || metric(i, "members") != static_cast<double>(count))
                return false;
        }
        return true;
    });
    if (!serving)
        throw std::runtime_error("hosts not serving after start; output of host 0: "
                                 + m_hosts[0].process->output());
}

std::string RoutedCluster::settingsFor(const RoutedHost &host,
                                       const std::string &storeAddress) const
{
    return "[host]\nname = \"" + host.name + "\"\nzone = \"" + host.zone
        + "\"\nserves = \"routes\"\n[listen]\ncallers = \"" + host.callers + "\"\ncontrol = \""
        + host.control + "\"\ndirectory = \"" + host.directory + "\"\nreadiness = \""
        + host.readiness + "\"\npeers = \"" + host.peers + "\"\nmetrics = \"" + host.metrics
        + "\"\nrelay = \"" + host.relay + "\"\n[platform]\naddress = \"" + storeAddress
        + "\"\n[forward]\ncaller_transit_ms = 2\ngrace_s = 5\n" + m_furtherSettings;
}

void RoutedCluster::start(std::size_t n)
{
    auto &host = m_hosts[n];
    host.process = std::make_unique<Process>(std::vector<std::string>{
        programPath("packages/daemon/goldcrestlined"), "--config", host.settingsPath});
    host.process->waitForLine("host: start");
}

void RoutedCluster::applyConfiguration(const json &spec) const
{
    const json object{{"meta", {{"name", "main"}}}, {"spec", spec}};
    Transfer transfer;
    transfer.method = "PUT";
    transfer.url = "http://" + m_platformAddress + "/objects/config/main";
    transfer.body = std::make_shared<const std::string>(object.dump());
    auto status = call(transfer).status;
    if (status == 404)
        status = post(m_platformAddress + "/objects/config", object.dump()).status;
    if (status != 200)
        throw std::runtime_error("the platform stand-in did not store the configuration");
}

TransferResult RoutedCluster::sendRequest(std::size_t n, const std::string &path,
                                          const std::string &id, const std::string &method,
                                          const std::string &body, int callerTimeoutMs,
                                          const std::vector<std::string> &headers) const
{
    Transfer transfer;
    transfer.method = method;
    transfer.url = "http://" + m_hosts[n].callers + path;
    transfer.headers = {"Host: shop.example", "X-Request-Id: " + id,
                        "X-Deadline-Ms: " + std::to_string(callerTimeoutMs)};
    transfer.headers.insert(transfer.headers.end(), headers.begin(), headers.end());
    if (!body.empty())
        transfer.body = std::make_shared<const std::string>(body);
    transfer.timeout = std::chrono::milliseconds(callerTimeoutMs + 1000);
    return call(std::move(transfer));
}

std::vector<std::string> RoutedCluster::resolve(std::size_t n) const
{
    const auto response = parsed(get(
        m_hosts[n].directory + "/resolve?name=shop.example&zone=" + m_hosts[n].zone + "&region="));
    if (response.is_null() || !response.contains("addrs"))
        return {};
    return response.at("addrs").get<std::vector<std::string>>();
}

bool RoutedCluster::ready(std::size_t n) const
{
    return get(m_hosts[n].readiness + "/readiness").status == 200;
}

double RoutedCluster::metric(std::size_t n, const std::string &name) const
{
    const auto text = "\n" + get(m_hosts[n].metrics + "/v1/metrics").body;
    const auto key = "\ngoldcrestline_" + name + " ";
    const auto at = text.find(key);
    return at == std::string::npos ? -1 : std::stod(text.substr(at + key.size()));
}

void RoutedCluster::setPlatform(const json &faults) const
{
    if (post(m_platformAddress + "/admin/set", faults.dump()).status != 200)
        throw std::runtime_error("POST /admin/set failed on the platform stand-in");
}

void RoutedCluster::publishBackends() const
{
    setBackends({{"publish", true}});
}

void RoutedCluster::setBackends(const json &changes) const
{
    if (post(m_farmAddress + "/admin/set", changes.dump()).status != 200)
        throw std::runtime_error("POST /admin/set failed on the server stand-ins");
}

std::vector<std::string> RoutedCluster::serverAddresses(const std::string &store)
{
    std::vector<std::string> out;
    const auto list = json::parse(get(store + "/objects/servers").body);
    for (const auto &it : list.at("items"))
        out.push_back(it.at("spec").at("address").get<std::string>());
    return out;
}

bool RoutedCluster::isStored(const std::string &kind, const std::string &name) const
{
    return get(m_platformAddress + "/objects/" + kind + "/" + name).status == 200;
}

void RoutedCluster::createStored(const std::string &kind, const std::string &name,
                                 const json &spec) const
{
    const json object{{"meta", {{"name", name}}}, {"spec", spec}};
    if (post(m_platformAddress + "/objects/" + kind, object.dump()).status != 200)
        throw std::runtime_error("the platform stand-in did not store " + kind + "/" + name);
}

void RoutedCluster::createLargeEntries(const std::string &kind, int count, std::size_t bytes) const
{
    constexpr int writers = 8;
    std::vector<std::thread> threads;
    for (int first = 0; first < writers; ++first) {
        threads.emplace_back([&, first] {
            for (int i = first; i < count; i += writers)
                createStored(kind, "note-" + std::to_string(i),
                             {{"note", std::string(bytes, 'x')}});
        });
    }
    for (auto &it : threads)
        it.join();
}

void RoutedCluster::restartAll()
{
    for (auto &it : m_hosts)
        it.process->signal(SIGKILL);
    for (auto &it : m_hosts)
        it.process->wait();
    for (std::size_t n = 0; n < m_hosts.size(); ++n)
        start(n);
}

void RoutedCluster::removeStored(const std::string &kind, const std::string &name) const
{
    Transfer transfer;
    transfer.method = "DELETE";
    transfer.url = "http://" + m_platformAddress + "/objects/" + kind + "/" + name;
    if (call(std::move(transfer)).status != 200)
        throw std::runtime_error("the platform stand-in did not delete " + kind + "/" + name);
}

json RoutedCluster::platformCounters() const
{
    return parsed(get(m_platformAddress + "/admin/counters"));
}

json RoutedCluster::runs() const
{
    return parsed(get(m_farmAddress + "/admin/runs"));
}

json RoutedCluster::headersSeen() const
{
    return parsed(get(m_farmAddress + "/admin/headers"));
}

} // namespace harness
