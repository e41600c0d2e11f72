#pragma once

#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/tcp.h>
#include <nlohmann/json.hpp>
#include <optional>
#include <poll.h>
#include <random>
#include <stdexcept>
#include <string>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

// Support for the scripts of this review: processes, HTTP calls, and a small deployment of the
// daemon with the project's own stand-ins. Everything listens on loopback addresses.
namespace review {

using nlohmann::json;
using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;
using Millis = std::chrono::milliseconds;

// Exit codes of a case.
constexpr int ruleHeld = 0;
constexpr int ruleBroken = 1;
constexpr int couldNotRun = 2;

inline void pause(Millis time)
{
    std::this_thread::sleep_for(time);
}

inline bool eventually(const std::function<bool()> &check, Millis longest)
{
    const auto until = Clock::now() + longest;
    while (!check()) {
        if (Clock::now() >= until)
            return false;
        pause(Millis(20));
    }
    return true;
}

// Writes lines with the time since the start to a file and to standard output. Thread-safe.
class Record
{
public:
    explicit Record(const std::string &path) : m_file(path), m_start(Clock::now()) { }

    void line(const std::string &text)
    {
        const std::lock_guard lock(m_mutex);
        char at[32];
        std::snprintf(at, sizeof at, "%8.3f ", seconds(Clock::now()));
        m_file << at << text << std::endl;
        std::printf("%s%s\n", at, text.c_str());
    }
    double seconds(TimePoint at) const
    {
        return std::chrono::duration<double>(at - m_start).count();
    }

private:
    std::mutex m_mutex;
    std::ofstream m_file;
    TimePoint m_start;
};

// A child process whose output goes to a file. The destructor kills it.
class Process
{
public:
    Process(const std::vector<std::string> &arguments, const std::string &outputPath)
        : m_outputPath(outputPath)
    {
        m_pid = fork();
        if (m_pid < 0)
            throw std::runtime_error("fork failed");
        if (m_pid != 0)
            return;
        const int fd = open(outputPath.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
        dup2(fd, STDOUT_FILENO);
        dup2(fd, STDERR_FILENO);
        std::vector<char *> argv;
        for (const auto &it : arguments)
            argv.push_back(const_cast<char *>(it.c_str()));
        argv.push_back(nullptr);
        execv(argv[0], argv.data());
        _exit(127);
    }
    ~Process()
    {
        if (m_pid <= 0 || m_ended)
            return;
        ::kill(m_pid, SIGKILL);
        ::kill(m_pid, SIGCONT);
        waitpid(m_pid, nullptr, 0);
    }
    Process(const Process &) = delete;
    Process &operator=(const Process &) = delete;

    void signal(int number) const
    {
        if (!m_ended)
            ::kill(m_pid, number);
    }

    // Returns whether the process has ended.
    bool ended()
    {
        if (!m_ended && waitpid(m_pid, &m_status, WNOHANG) == m_pid)
            m_ended = true;
        return m_ended;
    }
    // Status of waitpid(), after the process has ended.
    int status() const { return m_status; }

    std::string output() const
    {
        std::ifstream file(m_outputPath);
        return {std::istreambuf_iterator<char>(file), {}};
    }

    // Returns the text behind `prefix` on the first line that holds it.
    std::string waitForLine(const std::string &prefix)
    {
        std::string found;
        const bool there = eventually(
            [&] {
                const auto text = output();
                const auto at = text.find(prefix);
                const auto end = at == std::string::npos ? at : text.find('\n', at);
                if (end == std::string::npos)
                    return false;
                found = text.substr(at + prefix.size(), end - at - prefix.size());
                return true;
            },
            Millis(10000));
        if (!there)
            throw std::runtime_error("a process did not start: " + output());
        return found;
    }

private:
    std::string m_outputPath;
    pid_t m_pid = -1;
    bool m_ended = false;
    int m_status = 0;
};

struct Answer
{
    // 0 without a complete answer.
    int status = 0;
    std::map<std::string, std::string> headers;
    std::string body;
};

// Opens a connection to "IP:PORT"; -1 if it is not open in time.
inline int connectTo(const std::string &address, Millis longest)
{
    const auto colon = address.rfind(':');
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
    inet_pton(AF_INET, address.substr(0, colon).c_str(), &to.sin_addr);
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    if (connect(fd, reinterpret_cast<sockaddr *>(&to), sizeof to) != 0) {
        pollfd it{fd, POLLOUT, 0};
        int error = 0;
        socklen_t size = sizeof error;
        if (poll(&it, 1, static_cast<int>(longest.count())) != 1
            || getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0) {
            close(fd);
            return -1;
        }
    }
    return fd;
}

// Sends a request on a connection of its own and reads the answer.
inline Answer callHttp(const std::string &address, const std::string &method,
                       const std::string &target, const std::vector<std::string> &headers = {},
                       const std::string &body = {}, Millis longest = Millis(3000))
{
    Answer answer;
    const auto until = Clock::now() + longest;
    const int fd = connectTo(address, longest);
    if (fd < 0)
        return answer;
    std::string out = method + " " + target + " HTTP/1.1\r\n";
    bool hasHost = false;
    for (const auto &it : headers) {
        out += it + "\r\n";
        hasHost = hasHost || it.rfind("Host:", 0) == 0;
    }
    if (!hasHost)
        out += "Host: " + address + "\r\n";
    if (!body.empty() || method != "GET")
        out += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    out += "Connection: close\r\n\r\n" + body;
    std::string in;
    std::size_t sent = 0;
    std::size_t headEnd = std::string::npos;
    std::size_t length = 0;
    while (headEnd == std::string::npos || in.size() < headEnd + 4 + length) {
        const auto left = std::chrono::duration_cast<Millis>(until - Clock::now()).count();
        pollfd it{fd, static_cast<short>(POLLIN | (sent < out.size() ? POLLOUT : 0)), 0};
        if (left <= 0 || poll(&it, 1, static_cast<int>(left)) != 1)
            break;
        if ((it.revents & POLLOUT) != 0) {
            const auto n = send(fd, out.data() + sent, out.size() - sent, MSG_NOSIGNAL);
            if (n <= 0)
                break;
            sent += static_cast<std::size_t>(n);
        }
        if ((it.revents & (POLLIN | POLLHUP | POLLERR)) == 0)
            continue;
        char buf[4096];
        const auto n = recv(fd, buf, sizeof buf, 0);
        if (n <= 0)
            break;
        in.append(buf, static_cast<std::size_t>(n));
        if (headEnd != std::string::npos)
            continue;
        headEnd = in.find("\r\n\r\n");
        if (headEnd == std::string::npos)
            continue;
        std::size_t at = in.find("\r\n") + 2;
        while (at < headEnd + 2) {
            const auto end = in.find("\r\n", at);
            const auto colon = in.find(':', at);
            if (colon < end) {
                auto name = in.substr(at, colon - at);
                for (auto &c : name)
                    c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
                const auto begin = in.find_first_not_of(' ', colon + 1);
                answer.headers[name] = begin < end ? in.substr(begin, end - begin) : "";
            }
            at = end + 2;
        }
        const auto known = answer.headers.find("content-length");
        length = known == answer.headers.end() ? 0 : std::stoul(known->second);
    }
    close(fd);
    if (headEnd != std::string::npos && in.size() >= headEnd + 4 + length) {
        answer.status = std::stoi(in.substr(9, 3));
        answer.body = in.substr(headEnd + 4, length);
    }
    return answer;
}

// Settings beside those that every host has.
struct DeploymentOptions
{
    int hosts = 3;
    // Body of the settings' section [access].
    std::string access;
    // Returns the address at which the hosts reach the store, for the store's own one.
    std::function<std::string(const std::string &)> storeAddress = [](const std::string &store) {
        return store;
    };
    // Servers of each service, as the stand-in reads them.
    json services{{"shard0", json::object()}, {"shard1", json::object()},
                  {"shard2", json::object()}, {"single", {{"servers", 4}}},
                  {"left", json::object()},   {"right", json::object()}};
};

// Hosts in three zones, each on a loopback address of its own and all with the same ports, with
// stand-ins of the platform's store and of the servers.
class Deployment
{
public:
    struct Host
    {
        std::string name;
        std::string zone;
        std::string ip;
        std::string callers;
        std::string readiness;
        std::string settingsPath;
        std::unique_ptr<Process> process;
    };

    Deployment(const std::string &root, DeploymentOptions options)
        : m_root(root), m_options(std::move(options))
    {
        auto pattern = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
        if (mkdtemp(pattern.data()) == nullptr)
            throw std::runtime_error("no temporary folder");
        m_folder = pattern;
        m_store = startStandin({"--platform"}, "store");
        m_storeForHosts = m_options.storeAddress(m_store);
        const auto spec = m_folder + "/servers.json";
        std::ofstream(spec) << json{{"services", m_options.services}};
        m_servers = startStandin({"--backends", spec, "--store", m_store}, "servers");
        const auto zones = std::vector<std::string>{"a", "b", "c"};
        for (int i = 0; i < m_options.hosts; ++i) {
            Host host;
            host.zone = zones[static_cast<std::size_t>(i) % zones.size()];
            host.name = "front-" + host.zone + "-" + std::to_string(i);
            host.ip = "127.0.3." + std::to_string(10 + i);
            m_hosts.push_back(std::move(host));
        }
        const int port = freePorts();
        for (auto &it : m_hosts) {
            it.callers = it.ip + ":" + std::to_string(port + 2);
            it.readiness = it.ip + ":" + std::to_string(port + 3);
            it.settingsPath = m_folder + "/" + it.name + ".toml";
        }
        m_port = port;
    }
    ~Deployment()
    {
        m_hosts.clear();
        m_standins.clear();
        std::error_code ec;
        std::filesystem::remove_all(m_folder, ec);
    }
    Deployment(const Deployment &) = delete;
    Deployment &operator=(const Deployment &) = delete;

    static json route(const std::string &name, const json &fields)
    {
        json out{
            {"name", name},       {"host", "shop.example"},    {"path_prefix", "/" + name + "/"},
            {"timeout_ms", 2000}, {"target_latency_ms", 300},  {"priority", 1},
            {"max_attempts", 2},  {"route_type", "idempotent"}};
        out.update(fields);
        return out;
    }

    // Returns a configuration; `tenants` may be null.
    json configuration(std::uint64_t version, const json &tenants) const
    {
        json services = json::array();
        for (const auto &it : m_options.services.items())
            services.push_back(
                {{"name", it.key()}, {"health_path", "/health"}, {"max_connections", 64}});
        json out{{"version", version},
                 {"routes",
                  {route("all",
                         {{"fanout_services", {"shard0", "shard1", "shard2"}},
                          {"top_k", 4},
                          {"min_shard_share", 0.6}}),
                   route("one", {{"service", "single"}}),
                   route("claim", {{"service", "single"}, {"route_type", "non_idempotent"}})}},
                 {"services", services},
                 {"limits",
                  {{"max_header_bytes", 16384},
                   {"max_body_bytes", 262144},
                   {"header_timeout_ms", 3000},
                   {"idle_timeout_ms", 15000}}}};
        if (!tenants.is_null())
            out["tenants"] = tenants;
        return out;
    }

    // Writes the configuration as the operator does. Returns the time of the store's ack.
    TimePoint apply(const json &spec) const
    {
        const auto text = json{{"meta", {{"name", "main"}}}, {"spec", spec}}.dump();
        auto status = callHttp(m_store, "PUT", "/objects/config/main", {}, text).status;
        if (status == 404)
            status = callHttp(m_store, "POST", "/objects/config", {}, text).status;
        if (status != 200)
            throw std::runtime_error("the store did not take the configuration");
        return Clock::now();
    }

    void setStore(const json &faults) const
    {
        if (callHttp(m_store, "POST", "/admin/set", {}, faults.dump()).status != 200)
            throw std::runtime_error("the stand-in of the store refused a fault");
    }
    void setServers(const json &changes) const
    {
        if (callHttp(m_servers, "POST", "/admin/set", {}, changes.dump()).status != 200)
            throw std::runtime_error("the stand-in of the servers refused a change");
    }
    // Returns what each server ran.
    json runs() const { return json::parse(callHttp(m_servers, "GET", "/admin/runs").body); }
    // Returns how often any server ran the request.
    static int runsOf(const json &runs, const std::string &id)
    {
        int n = 0;
        for (const auto &it : runs)
            n += it.at("ids").value(id, 0);
        return n;
    }

    void start(std::size_t n, bool first)
    {
        auto &host = m_hosts[n];
        std::ofstream(host.settingsPath) << settings(host, first);
        host.process = std::make_unique<Process>(
            std::vector<std::string>{m_root + "/target/packages/daemon/goldcrestlined", "--config",
                                     host.settingsPath},
            m_folder + "/" + host.name + ".log");
    }
    bool ready(std::size_t n) const
    {
        return callHttp(m_hosts[n].readiness, "GET", "/readiness", {}, {}, Millis(300)).status
            == 200;
    }
    void startAll()
    {
        for (std::size_t n = 0; n < m_hosts.size(); ++n)
            start(n, true);
        for (std::size_t n = 0; n < m_hosts.size(); ++n) {
            if (!eventually([&] { return ready(n); }, Millis(15000)))
                throw std::runtime_error("a host did not become ready");
        }
    }

    Answer send(std::size_t n, const std::string &path, const std::string &id,
                const std::string &key = {}, Millis longest = Millis(1500),
                const std::string &method = "GET", const std::string &body = {}) const
    {
        std::vector<std::string> headers{"Host: shop.example", "X-Request-Id: " + id,
                                         "X-Deadline-Ms: 1000"};
        if (!key.empty())
            headers.push_back("Authorization: Token " + key);
        return callHttp(m_hosts[n].callers, method, path, headers, body, longest);
    }

    Host &host(std::size_t n) { return m_hosts[n]; }
    std::size_t size() const { return m_hosts.size(); }
    const std::string &store() const { return m_store; }

private:
    static constexpr int portsPerHost = 8;

    std::string startStandin(std::vector<std::string> arguments, const std::string &name)
    {
        arguments.insert(arguments.begin(), m_root + "/target/review-3/standins");
        m_standins.push_back(std::make_unique<Process>(arguments, m_folder + "/" + name + ".log"));
        return "127.0.0.1:" + m_standins.back()->waitForLine("ready ");
    }

    // Returns the first of some ports that are free on the addresses of all hosts.
    int freePorts() const
    {
        std::mt19937 random{std::random_device{}()};
        for (int tries = 0; tries < 200; ++tries) {
            const int first = 20000 + static_cast<int>(random() % 10000);
            if (areFree(first))
                return first;
        }
        throw std::runtime_error("no free ports");
    }
    bool areFree(int first) const
    {
        for (const auto &it : m_hosts) {
            for (int i = 0; i < portsPerHost; ++i) {
                for (const int type : {SOCK_STREAM, SOCK_DGRAM}) {
                    const int fd = socket(AF_INET, type, 0);
                    sockaddr_in at{};
                    at.sin_family = AF_INET;
                    at.sin_port = htons(static_cast<std::uint16_t>(first + i));
                    inet_pton(AF_INET, it.ip.c_str(), &at.sin_addr);
                    const bool isFree = bind(fd, reinterpret_cast<sockaddr *>(&at), sizeof at) == 0;
                    close(fd);
                    if (!isFree)
                        return false;
                }
            }
        }
        return true;
    }

    // The same keys as in deploy/settings.toml, filled in for a small deployment.
    std::string settings(const Host &host, bool first) const
    {
        const auto at = [&](int port) {
            return "\"" + host.ip + ":" + std::to_string(m_port + port) + "\"\n";
        };
        std::string seeds;
        for (std::size_t n = 0; n < std::min<std::size_t>(3, m_hosts.size()); ++n)
            seeds += (n == 0 ? "\"" : ", \"") + m_hosts[n].ip + ":" + std::to_string(m_port) + "\"";
        return "[host]\nname = \"" + host.name + "\"\nzone = \"" + host.zone
            + "\"\nregion = \"r\"\nserves = \"routes\"\n" + (first ? "first_start = 1\n" : "")
            + "core_share = 0.25\ncores = 1\n[listen]\ncontrol = " + at(0) + "directory = " + at(1)
            + "callers = " + at(2) + "readiness = " + at(3) + "peers = " + at(4)
            + "relay = " + at(5) + "metrics = " + at(6) + "[platform]\naddress = \""
            + m_storeForHosts + "\"\nheartbeat_ms = 1200\n[peers]\nseed_controls = [" + seeds
            + "]\n[forward]\nextra_share = 0.2\nextra_slack = 52\ngrace_s = 6\n[access]\n"
            + m_options.access;
    }

    std::string m_root;
    DeploymentOptions m_options;
    std::string m_folder;
    std::vector<std::unique_ptr<Process>> m_standins;
    std::string m_store;
    std::string m_storeForHosts;
    std::string m_servers;
    std::vector<Host> m_hosts;
    int m_port = 0;
};

// Runs a case: `main` returns whether the rule held. Arguments: the root of the repository and the
// folder of the case. TROUBLE=0 leaves out the disruption.
inline int runCase(int argc, char **argv,
                   const std::function<bool(const std::string &root, bool trouble, Record &)> &main)
{
    if (argc != 3) {
        std::fprintf(stderr, "usage: %s ROOT FOLDER\n", argv[0]);
        return couldNotRun;
    }
    std::signal(SIGPIPE, SIG_IGN);
    const char *trouble = std::getenv("TROUBLE");
    Record record(std::string(argv[2]) + "/record.txt");
    try {
        const bool held = main(argv[1], trouble == nullptr || std::string(trouble) != "0", record);
        record.line(held ? "the rule held" : "the rule was broken");
        return held ? ruleHeld : ruleBroken;
    } catch (const std::exception &e) {
        record.line(std::string("the case could not run: ") + e.what());
        return couldNotRun;
    }
}

} // namespace review
