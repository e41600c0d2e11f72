#pragma once

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <nlohmann/json.hpp>
#include <poll.h>
#include <set>
#include <sstream>
#include <stdexcept>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

// Support of the scripts of the second review: processes, a blocking HTTP client, and a small
// deployment of hosts with the project's stand-ins. The current folder is the root of the
// repository.
namespace review {

using nlohmann::json;
using Clock = std::chrono::steady_clock;
using namespace std::chrono_literals;

// Thrown if the case cannot run.
struct CannotRun : std::runtime_error
{
    using std::runtime_error::runtime_error;
};

inline const Clock::time_point &startOfRun()
{
    static const auto at = Clock::now();
    return at;
}

// Seconds since the start of the run.
inline double elapsed(Clock::time_point at = Clock::now())
{
    return std::chrono::duration<double>(at - startOfRun()).count();
}

// Record of what was sent, answered and run. Thread-safe.
class Record
{
public:
    explicit Record(const std::string &path) : m_file(path) { }
    void line(const std::string &text, double at = elapsed())
    {
        const std::lock_guard guard(m_mutex);
        char time[32];
        std::snprintf(time, sizeof time, "%9.3f ", at);
        m_file << time << text << '\n';
        m_file.flush();
    }
    // The same, also to the standard output.
    void note(const std::string &text)
    {
        line("# " + text);
        std::cout << text << std::endl;
    }

private:
    std::ofstream m_file;
    std::mutex m_mutex;
};

inline std::string temporaryFolder()
{
    struct Root
    {
        std::string path;
        Root()
        {
            std::string pattern =
                (std::filesystem::temp_directory_path() / "goldcrestline-XXXXXX").string();
            path = mkdtemp(pattern.data());
        }
        ~Root()
        {
            std::error_code ec;
            std::filesystem::remove_all(path, ec);
        }
    };
    static Root root;
    return root.path;
}

inline std::string readFile(const std::string &path)
{
    std::ifstream file(path);
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

// A child process, which is killed with its parent.
class Process
{
public:
    Process(const std::string &name, const std::vector<std::string> &arguments)
    {
        static int number = 0;
        m_outputPath = temporaryFolder() + "/" + name + "." + std::to_string(++number) + ".log";
        std::vector<char *> argv;
        for (const auto &it : arguments)
            argv.push_back(const_cast<char *>(it.c_str()));
        argv.push_back(nullptr);
        const auto parent = getpid();
        m_pid = fork();
        if (m_pid < 0)
            throw CannotRun("fork failed");
        if (m_pid > 0)
            return;
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (getppid() != parent)
            _exit(127);
        const int fd = open(m_outputPath.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
        dup2(fd, 1);
        dup2(fd, 2);
        execv(argv[0], argv.data());
        _exit(127);
    }
    ~Process()
    {
        if (!running())
            return;
        kill(m_pid, SIGCONT);
        kill(m_pid, SIGKILL);
        waitpid(m_pid, nullptr, 0);
    }
    Process(const Process &) = delete;
    Process &operator=(const Process &) = delete;

    void signal(int number) const
    {
        if (m_pid > 0)
            kill(m_pid, number);
    }
    bool running()
    {
        if (m_pid <= 0)
            return false;
        int status = 0;
        if (waitpid(m_pid, &status, WNOHANG) != m_pid)
            return true;
        m_exit = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
        m_pid = -1;
        return false;
    }
    // Returns the exit code or the negated signal. Throws after `seconds`.
    int wait(double seconds)
    {
        const auto until = Clock::now() + std::chrono::duration<double>(seconds);
        while (running()) {
            if (Clock::now() > until)
                throw CannotRun("a process did not end in time");
            std::this_thread::sleep_for(2ms);
        }
        return m_exit;
    }
    int exitCode() const { return m_exit; }
    pid_t pid() const { return m_pid; }
    std::string output() const { return readFile(m_outputPath); }
    std::string waitForLine(const std::string &prefix)
    {
        const auto until = Clock::now() + 20s;
        while (Clock::now() < until) {
            std::ifstream file(m_outputPath);
            std::string line;
            while (std::getline(file, line)) {
                const auto at = line.find(prefix);
                if (at != std::string::npos && !file.eof())
                    return line.substr(at + prefix.size());
            }
            if (!running())
                break;
            std::this_thread::sleep_for(5ms);
        }
        throw CannotRun("no line '" + prefix + "' in the output: " + output().substr(0, 500));
    }

private:
    pid_t m_pid = -1;
    int m_exit = 0;
    std::string m_outputPath;
};

inline sockaddr_in parseAddress(const std::string &text)
{
    const auto colon = text.rfind(':');
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_port = htons(static_cast<std::uint16_t>(std::stoi(text.substr(colon + 1))));
    inet_pton(AF_INET, text.substr(0, colon).c_str(), &out.sin_addr);
    return out;
}

// Returns a listening socket at IP:PORT, with port 0 at any free port.
inline int listenAt(const std::string &text)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const auto address = parseAddress(text);
    if (bind(fd, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0
        || listen(fd, 256) != 0)
        throw CannotRun("cannot listen at " + text);
    return fd;
}

inline int portOf(int fd)
{
    sockaddr_in address{};
    socklen_t size = sizeof address;
    getsockname(fd, reinterpret_cast<sockaddr *>(&address), &size);
    return ntohs(address.sin_port);
}

// Returns a port that is free for TCP and UDP at all of the addresses.
inline int freePort(const std::vector<std::string> &ips)
{
    static int next = 20000 + static_cast<int>(getpid()) % 200 * 50;
    for (int tries = 0; tries < 10000; ++tries) {
        const int port = next;
        next = next >= 31990 ? 20000 : next + 1;
        bool isFree = true;
        for (const auto &ip : ips) {
            for (const int type : {SOCK_STREAM, SOCK_DGRAM}) {
                const int fd = socket(AF_INET, type | SOCK_CLOEXEC, 0);
                const auto address = parseAddress(ip + ":" + std::to_string(port));
                isFree = isFree
                    && bind(fd, reinterpret_cast<const sockaddr *>(&address), sizeof address) == 0;
                close(fd);
            }
        }
        if (isFree)
            return port;
    }
    throw CannotRun("no free port");
}

using Headers = std::vector<std::pair<std::string, std::string>>;

inline bool sameName(const std::string &a, const std::string &b)
{
    return a.size() == b.size() && strcasecmp(a.c_str(), b.c_str()) == 0;
}

inline std::string headerOf(const Headers &headers, const std::string &name)
{
    for (const auto &it : headers) {
        if (sameName(it.first, name))
            return it.second;
    }
    return {};
}

struct Answer
{
    // 0 if there was no complete answer.
    int status = 0;
    Headers headers;
    std::string body;
    // Why there was none.
    std::string failure;
    std::string header(const std::string &name) const { return headerOf(headers, name); }
};

// A caller's connection: sends one request at a time and reads its answer. Not thread-safe.
class HttpConnection
{
public:
    explicit HttpConnection(std::string address) : m_address(std::move(address)) { }
    ~HttpConnection() { disconnect(); }
    HttpConnection(const HttpConnection &) = delete;
    HttpConnection &operator=(const HttpConnection &) = delete;

    void disconnect()
    {
        if (m_fd >= 0)
            close(m_fd);
        m_fd = -1;
        m_buffer.clear();
    }
    bool connected() const { return m_fd >= 0; }

    bool connect(int timeoutMs = 1000)
    {
        m_fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
        const int on = 1;
        setsockopt(m_fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        const auto address = parseAddress(m_address);
        if (::connect(m_fd, reinterpret_cast<const sockaddr *>(&address), sizeof address) == 0)
            return true;
        pollfd event{m_fd, POLLOUT, 0};
        int error = errno;
        socklen_t size = sizeof error;
        if (error == EINPROGRESS && poll(&event, 1, timeoutMs) == 1)
            getsockopt(m_fd, SOL_SOCKET, SO_ERROR, &error, &size);
        if (error != 0)
            disconnect();
        return error == 0;
    }

    Answer request(const std::string &method, const std::string &target, const Headers &headers,
                   const std::string &body, int timeoutMs)
    {
        Answer out;
        if (m_fd < 0 && !connect()) {
            out.failure = "not connected";
            return out;
        }
        std::string text = method + " " + target + " HTTP/1.1\r\n";
        for (const auto &it : headers)
            text += it.first + ": " + it.second + "\r\n";
        if (!body.empty() || method == "POST" || method == "PUT")
            text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
        text += "\r\n" + body;
        const auto until = Clock::now() + std::chrono::milliseconds(timeoutMs);
        std::size_t sent = 0;
        while (sent < text.size()) {
            const auto n = send(m_fd, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
            if (n > 0) {
                sent += static_cast<std::size_t>(n);
            } else if (errno != EAGAIN || !await(POLLOUT, until)) {
                out.failure = "not sent";
                disconnect();
                return out;
            }
        }
        readAnswer(out, method == "HEAD", until);
        if (out.status == 0 || sameName(out.header("Connection"), "close"))
            disconnect();
        return out;
    }

private:
    bool await(short events, Clock::time_point until) const
    {
        const auto left =
            std::chrono::duration_cast<std::chrono::milliseconds>(until - Clock::now()).count();
        pollfd event{m_fd, events, 0};
        return left > 0 && poll(&event, 1, static_cast<int>(left)) == 1;
    }
    // Reads more bytes; false at the end of the connection or of the time.
    bool fill(Answer &out, Clock::time_point until)
    {
        char bytes[16384];
        while (true) {
            const auto n = recv(m_fd, bytes, sizeof bytes, 0);
            if (n > 0) {
                m_buffer.append(bytes, static_cast<std::size_t>(n));
                return true;
            }
            if (n == 0) {
                out.failure = "connection ended";
                return false;
            }
            if (errno != EAGAIN) {
                out.failure = "connection reset";
                return false;
            }
            if (!await(POLLIN, until)) {
                out.failure = "no answer in time";
                return false;
            }
        }
    }
    void readAnswer(Answer &out, bool bodyless, Clock::time_point until)
    {
        std::size_t end = 0;
        while ((end = m_buffer.find("\r\n\r\n")) == std::string::npos) {
            if (!fill(out, until))
                return;
        }
        std::istringstream head(m_buffer.substr(0, end + 2));
        m_buffer.erase(0, end + 4);
        std::string line;
        std::getline(head, line);
        if (line.rfind("HTTP/1.1 ", 0) != 0) {
            out.failure = "no HTTP answer: " + line;
            return;
        }
        const int status = std::atoi(line.c_str() + 9);
        while (std::getline(head, line) && line.size() > 1) {
            line.pop_back();
            const auto colon = line.find(':');
            auto value = line.substr(std::min(line.size(), colon + 1));
            value.erase(0, value.find_first_not_of(' '));
            out.headers.emplace_back(line.substr(0, colon), value);
        }
        const auto length = out.header("Content-Length");
        const std::size_t size = length.empty() || bodyless ? 0 : std::stoul(length);
        while (m_buffer.size() < size) {
            if (!fill(out, until))
                return;
        }
        out.body = m_buffer.substr(0, size);
        m_buffer.erase(0, size);
        out.status = status;
    }

    std::string m_address;
    int m_fd = -1;
    std::string m_buffer;
};

inline Answer callOnce(const std::string &address, const std::string &method,
                       const std::string &target, const std::string &body = {},
                       int timeoutMs = 2000)
{
    HttpConnection connection(address);
    return connection.request(method, target, {{"Host", address}}, body, timeoutMs);
}

template <typename Check>
bool eventually(Check check, double seconds)
{
    const auto until = Clock::now() + std::chrono::duration<double>(seconds);
    while (!check()) {
        if (Clock::now() > until)
            return false;
        std::this_thread::sleep_for(20ms);
    }
    return true;
}

struct DeploymentOptions
{
    int hosts = 3;
    // Text at the end of the settings, in place of the sections of the quota and of the access.
    std::string furtherSettings;
    // Services of the servers, as the stand-in of the servers reads them; empty for no servers.
    std::string services;
    json configuration;
    // Address of the store for a host, by default the store's own.
    std::function<std::string(int host, const std::string &store)> storeAddress;
};

// A small deployment: the stand-ins of the store and of the servers, and hosts with the command and
// the settings of the deploy file. As on the platform, each host has an IP address of its own and
// all have the same ports.
class Deployment
{
public:
    explicit Deployment(DeploymentOptions options) : m_options(std::move(options))
    {
        m_store = std::make_unique<Process>(
            "store", std::vector<std::string>{"target/review-2/standins", "--platform"});
        storeAddress = "127.0.0.1:" + m_store->waitForLine("ready ");
        if (!m_options.services.empty()) {
            const auto path = temporaryFolder() + "/servers.json";
            std::ofstream(path) << m_options.services;
            m_servers = std::make_unique<Process>(
                "servers",
                std::vector<std::string>{"target/review-2/standins", "--backends", path, "--store",
                                         storeAddress});
            serversAddress = "127.0.0.1:" + m_servers->waitForLine("ready ");
        }
        apply(m_options.configuration);
        const int net = 1 + static_cast<int>(getpid()) % 250;
        for (int i = 0; i < m_options.hosts; ++i)
            m_ips.push_back("127.77." + std::to_string(net) + "." + std::to_string(i + 1));
        for (auto &it : m_ports)
            it = freePort(m_ips);
        m_hosts.resize(m_ips.size());
        for (int i = 0; i < m_options.hosts; ++i)
            start(i, true);
        if (!eventually([this] { return complete(); }, 20))
            throw CannotRun("the hosts do not serve");
    }

    int size() const { return m_options.hosts; }
    std::string name(int host) const { return "front-" + zone(host) + "-1"; }
    static std::string zone(int host) { return std::string("zone-") + char('a' + host); }
    std::string callers(int host) const { return at(host, 0); }
    std::string control(int host) const { return at(host, 1); }
    std::string directory(int host) const { return at(host, 2); }
    std::string readiness(int host) const { return at(host, 3); }
    Process &process(int host) { return *m_hosts[static_cast<std::size_t>(host)]; }

    void start(int host, bool first = false)
    {
        const auto path = temporaryFolder() + "/" + name(host) + ".toml";
        std::ofstream(path) << settings(host, first);
        m_hosts[static_cast<std::size_t>(host)] = std::make_unique<Process>(
            name(host),
            std::vector<std::string>{"target/packages/daemon/goldcrestlined", "--config", path});
    }
    bool ready(int host) const
    {
        return callOnce(readiness(host), "GET", "/readiness").status == 200;
    }
    // Returns the sum of a metric over its labels that contain `label`; -1 if it is absent.
    double metric(int host, const std::string &metric, const std::string &label = {}) const
    {
        std::istringstream text(callOnce(at(host, 6), "GET", "/v1/metrics").body);
        const auto prefix = "goldcrestline_" + metric;
        double sum = -1;
        std::string line;
        while (std::getline(text, line)) {
            const auto space = line.rfind(' ');
            if (line.rfind(prefix, 0) != 0 || space == std::string::npos
                || (line[prefix.size()] != ' ' && line[prefix.size()] != '{')
                || line.find(label) == std::string::npos)
                continue;
            sum = std::max(sum, 0.0) + std::stod(line.substr(space + 1));
        }
        return sum;
    }
    // Returns whether all hosts are ready and know each other.
    bool complete() const
    {
        for (int i = 0; i < size(); ++i) {
            if (!ready(i) || metric(i, "members") != size())
                return false;
        }
        return true;
    }
    // Writes the configuration, as the operator does.
    void apply(const json &spec) const
    {
        const json object{{"meta", {{"name", "main"}}}, {"spec", spec}};
        auto status = callOnce(storeAddress, "PUT", "/objects/config/main", object.dump()).status;
        if (status == 404)
            status = callOnce(storeAddress, "POST", "/objects/config", object.dump()).status;
        if (status != 200)
            throw CannotRun("the store did not take the configuration");
    }
    void setStore(const json &faults) const
    {
        if (callOnce(storeAddress, "POST", "/admin/set", faults.dump()).status != 200)
            throw CannotRun("the stand-in of the store refused a fault");
    }
    void setServers(const json &changes) const
    {
        if (callOnce(serversAddress, "POST", "/admin/set", changes.dump()).status != 200)
            throw CannotRun("the stand-in of the servers refused a change");
    }
    // Returns how often each server ran requests, by server.
    json runs() const
    {
        return json::parse(callOnce(serversAddress, "GET", "/admin/runs", {}, 5000).body);
    }

    std::string storeAddress;
    std::string serversAddress;

private:
    std::string at(int host, std::size_t port) const
    {
        return m_ips[static_cast<std::size_t>(host)] + ":" + std::to_string(m_ports[port]);
    }
    std::string settings(int host, bool first) const
    {
        std::string controls;
        for (int i = 0; i < size(); ++i)
            controls += (i == 0 ? "\"" : ", \"") + control(i) + "\"";
        const auto store =
            m_options.storeAddress ? m_options.storeAddress(host, storeAddress) : storeAddress;
        return "[host]\nname = \"" + name(host) + "\"\nzone = \"" + zone(host)
            + "\"\nregion = \"region\"\nserves = \"routes\"\n" + (first ? "first_start = 1\n" : "")
            + "core_share = 0.25\ncores = 1\n[listen]\ncallers = \"" + callers(host)
            + "\"\ncontrol = \"" + control(host) + "\"\ndirectory = \"" + directory(host)
            + "\"\nreadiness = \"" + readiness(host) + "\"\nmetrics = \"" + at(host, 6)
            + "\"\npeers = \"" + at(host, 4) + "\"\nrelay = \"" + at(host, 5)
            + "\"\n[platform]\naddress = \"" + store + "\"\nheartbeat_ms = 1200\n[peers]\n"
            + "seed_controls = [" + controls + "]\n[forward]\nextra_share = 0.2\n"
            + "extra_slack = 58\ngrace_s = 6\n" + m_options.furtherSettings;
    }

    DeploymentOptions m_options;
    std::unique_ptr<Process> m_store;
    std::unique_ptr<Process> m_servers;
    std::vector<std::string> m_ips;
    int m_ports[7] = {};
    std::vector<std::unique_ptr<Process>> m_hosts;
};

// Returns a route of the configuration, with `fields` in addition to the usual ones.
inline json makeRoute(const std::string &name, const json &fields)
{
    json out{{"name", name},       {"host", "shop.example"},    {"path_prefix", "/" + name + "/"},
             {"timeout_ms", 2000}, {"target_latency_ms", 300},  {"priority", 1},
             {"max_attempts", 2},  {"route_type", "idempotent"}};
    out.update(fields);
    return out;
}

inline json makeConfiguration(std::uint64_t version, const json &routes,
                              const std::vector<std::string> &services)
{
    json list = json::array();
    for (const auto &it : services)
        list.push_back({{"name", it}, {"health_path", "/health"}, {"max_connections", 64}});
    return {{"version", version},
            {"routes", routes},
            {"services", list},
            {"limits",
             {{"max_header_bytes", 16384},
              {"max_body_bytes", 262144},
              {"header_timeout_ms", 3000},
              {"idle_timeout_ms", 15000}}}};
}

// Runs a case: 1 if the rule was broken, 0 if it held, 2 if the case could not run. The arguments
// are the folder of the case.
inline int runCase(int argc, char **argv,
                   const std::function<bool(Record &record, bool trouble)> &isBroken)
{
    startOfRun();
    signal(SIGPIPE, SIG_IGN);
    const auto *value = std::getenv("TROUBLE");
    const bool trouble = value == nullptr || std::string(value) != "0";
    if (argc != 2)
        return 2;
    Record record(std::string(argv[1]) + "/record.txt");
    try {
        const bool broken = isBroken(record, trouble);
        record.note(broken ? "result: the rule was broken" : "result: the rule held");
        return broken ? 1 : 0;
    } catch (const std::exception &e) {
        record.note(std::string("the case could not run: ") + e.what());
        return 2;
    }
}

} // namespace review
