#include "query_load.h"

#include <arpa/inet.h>
#include <chrono>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <set>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

namespace harness {

int connectTo(const std::string &address)
{
    const auto colon = address.rfind(':');
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in to{};
    to.sin_family = AF_INET;
    inet_pton(AF_INET, address.substr(0, colon).c_str(), &to.sin_addr);
    to.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
    if (connect(fd, reinterpret_cast<sockaddr *>(&to), sizeof(to)) != 0) {
        close(fd);
        return -1;
    }
    const int one = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
    return fd;
}

bool sendAll(int fd, const std::string &bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const auto n = send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (n <= 0)
            return false;
        sent += static_cast<std::size_t>(n);
    }
    return true;
}

std::string readResponses(int fd, std::size_t count, double seconds)
{
    timeval limit{static_cast<time_t>(seconds),
                  static_cast<suseconds_t>((seconds - static_cast<int>(seconds)) * 1e6)};
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    std::string all;
    char buf[16384];
    while (true) {
        // Counts the responses whose body has arrived completely.
        std::size_t complete = 0;
        std::size_t at = 0;
        while (true) {
            const auto head = all.find("\r\n\r\n", at);
            const auto length = all.find("Content-Length: ", at);
            if (head == std::string::npos || length == std::string::npos || length > head)
                break;
            at = head + 4 + std::stoul(all.substr(length + 16));
            if (at > all.size())
                break;
            ++complete;
        }
        if (complete >= count)
            return all;
        const auto n = recv(fd, buf, sizeof(buf), 0);
        if (n <= 0)
            return all;
        all.append(buf, static_cast<std::size_t>(n));
    }
}

std::string formatPost(const std::string &path, const std::string &body,
                       const std::string &customer)
{
    return "POST " + path + " HTTP/1.1\r\nHost: x\r\nX-Customer: " + customer
        + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string expectedEcho(const std::string &body)
{
    return std::to_string(std::hash<std::string>()(body));
}

void checkQueryResponse(const TransferResult &result, const std::string &body, QueryStats &stats)
{
    const auto response = parsed(result);
    if (result.outcome != TransferOutcome::Answered || response.is_null()) {
        ++stats.noResponse;
        stats.problems.push_back("no valid response: outcome "
                                 + std::to_string(static_cast<int>(result.outcome)) + " "
                                 + result.body.substr(0, 100));
        return;
    }
    ++stats.codes[response.value("code", 0)];
    if (!response.contains("parts"))
        return;
    const auto &id = response.at("snapshot");
    const auto snapshot = id.at("index_version").dump() + "." + id.at("shard_map").dump();
    std::set<int> groups;
    for (const auto &part : response.at("parts")) {
        groups.insert(part.at("group").get<int>());
        stats.mismatched += part.at("answer").at("echo") == expectedEcho(body) ? 0 : 1;
        stats.mixedSnapshots += part.at("answer").at("snapshot") == snapshot ? 0 : 1;
        stats.mismatched += part.at("answer").at("group") == part.at("group") ? 0 : 1;
    }
    const auto answered = response.at("coverage").at("answered").get<std::uint64_t>();
    const auto total = response.at("coverage").at("total").get<std::uint64_t>();
    const bool full = response.at("missing_groups").empty();
    if (answered > total || full != (answered == total)) {
        ++stats.misstatedCoverage;
        stats.problems.push_back("coverage contradicts missing_groups: "
                                 + result.body.substr(0, 400));
    }
    stats.partial += full ? 0 : 1;
}

QueryLoad::QueryLoad(const Cluster &cluster, int threads, std::string service, int deadlineMs)
    : m_cluster(cluster), m_service(std::move(service)), m_deadlineMs(deadlineMs)
{
    for (std::size_t n = 0; n < cluster.size(); ++n)
        m_controls.push_back(const_cast<Cluster &>(cluster).host(n).control);
    for (int i = 0; i < threads; ++i)
        m_threads.emplace_back([this, i] { run(i); });
}

QueryLoad::~QueryLoad()
{
    finish();
}

QueryStats QueryLoad::finish()
{
    m_stop = true;
    for (auto &it : m_threads)
        it.join();
    m_threads.clear();
    return m_stats;
}

std::vector<std::string> QueryLoad::entryPoints(std::string &control, double &ttlSeconds)
{
    std::vector<std::string> addresses;
    const auto response = parsed(get(control + "/v1/entry-points"));
    if (response.is_null() || !response.contains("entry_points"))
        return addresses;
    ttlSeconds = response.at("keep_ms").get<double>() / 1000;
    for (const auto &it : response.at("entry_points"))
        addresses.push_back(it.at("callers").get<std::string>());
    return addresses;
}

void QueryLoad::run(int number)
{
    std::vector<std::string> addresses;
    auto resolvedAt = std::chrono::steady_clock::now();
    double ttlSeconds = 0;
    for (int n = 0; !m_stop; ++n) {
        const std::chrono::duration<double> age = std::chrono::steady_clock::now() - resolvedAt;
        if (addresses.empty() || age.count() >= ttlSeconds) {
            resolvedAt = std::chrono::steady_clock::now();
            auto &control = m_controls[static_cast<std::size_t>(number + n) % m_controls.size()];
            addresses = entryPoints(control, ttlSeconds);
            if (addresses.empty())
                continue;
        }
        const auto body = "{\"q\":\"" + std::to_string(number) + "." + std::to_string(n) + "\"}";
        Transfer transfer;
        transfer.method = "POST";
        transfer.url = "http://" + addresses.front() + "/v1/query/" + m_service;
        transfer.headers = {"X-Customer: app", "X-Deadline-Ms: " + std::to_string(m_deadlineMs)};
        transfer.body = std::make_shared<const std::string>(body);
        transfer.timeout = std::chrono::milliseconds(m_deadlineMs + 2000);
        transfer.freshConnection = true;
        const auto startedAt = std::chrono::steady_clock::now();
        const auto result = call(std::move(transfer));
        const std::chrono::duration<double, std::milli> latency =
            std::chrono::steady_clock::now() - startedAt;
        ++m_responseCount;
        const std::lock_guard lock(m_mutex);
        checkQueryResponse(result, body, m_stats);
        m_stats.latenciesMs.push_back(latency.count());
        if (result.outcome != TransferOutcome::Answered)
            addresses.erase(addresses.begin());
    }
}

} // namespace harness
