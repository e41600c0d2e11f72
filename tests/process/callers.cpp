#include "callers.h"

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

std::string readAnswers(int fd, std::size_t count, double seconds)
{
    timeval limit{static_cast<time_t>(seconds),
                  static_cast<suseconds_t>((seconds - static_cast<int>(seconds)) * 1e6)};
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    std::string all;
    char buf[16384];
    while (true) {
        // Counts the answers whose whole body is here.
        std::size_t whole = 0;
        std::size_t at = 0;
        while (true) {
            const auto head = all.find("\r\n\r\n", at);
            const auto length = all.find("Content-Length: ", at);
            if (head == std::string::npos || length == std::string::npos || length > head)
                break;
            at = head + 4 + std::stoul(all.substr(length + 16));
            if (at > all.size())
                break;
            ++whole;
        }
        if (whole >= count)
            return all;
        const auto n = recv(fd, buf, sizeof(buf), 0);
        if (n <= 0)
            return all;
        all.append(buf, static_cast<std::size_t>(n));
    }
}

std::string postBytes(const std::string &path, const std::string &body, const std::string &customer)
{
    return "POST " + path + " HTTP/1.1\r\nHost: x\r\nX-Customer: " + customer
        + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string echoOf(const std::string &body)
{
    return std::to_string(std::hash<std::string>()(body));
}

void judgeQuery(const TransferResult &result, const std::string &body, Seen &seen)
{
    const auto answer = parsed(result);
    if (result.outcome != TransferOutcome::Answered || answer.is_null()) {
        ++seen.lost;
        seen.problems.push_back("lost: end " + std::to_string(static_cast<int>(result.outcome))
                                + " " + result.body.substr(0, 100));
        return;
    }
    ++seen.codes[answer.value("code", 0)];
    if (!answer.contains("parts"))
        return;
    const auto &id = answer.at("snapshot");
    const auto snapshot = id.at("index_version").dump() + "." + id.at("shard_map").dump();
    std::set<int> groups;
    for (const auto &part : answer.at("parts")) {
        groups.insert(part.at("group").get<int>());
        seen.wrong += part.at("answer").at("echo") == echoOf(body) ? 0 : 1;
        seen.mixed += part.at("answer").at("snapshot") == snapshot ? 0 : 1;
        seen.wrong += part.at("answer").at("group") == part.at("group") ? 0 : 1;
    }
    const auto answered = answer.at("coverage").at("answered").get<std::uint64_t>();
    const auto total = answer.at("coverage").at("total").get<std::uint64_t>();
    const bool full = answer.at("missing_groups").empty();
    if (answered > total || full != (answered == total)) {
        ++seen.inflated;
        seen.problems.push_back("misstated coverage: " + result.body.substr(0, 400));
    }
    seen.partial += full ? 0 : 1;
}

Callers::Callers(const Cluster &cluster, int threads, std::string service, int deadlineMs)
    : m_cluster(cluster), m_service(std::move(service)), m_deadlineMs(deadlineMs)
{
    for (std::size_t n = 0; n < cluster.size(); ++n)
        m_controls.push_back(const_cast<Cluster &>(cluster).host(n).control);
    for (int i = 0; i < threads; ++i)
        m_threads.emplace_back([this, i] { work(i); });
}

Callers::~Callers()
{
    finish();
}

Seen Callers::finish()
{
    m_stop = true;
    for (auto &it : m_threads)
        it.join();
    m_threads.clear();
    return m_seen;
}

std::vector<std::string> Callers::entryPoints(std::string &control, double &keepSeconds)
{
    std::vector<std::string> addresses;
    const auto answer = parsed(get(control + "/v1/entry-points"));
    if (answer.is_null() || !answer.contains("entry_points"))
        return addresses;
    keepSeconds = answer.at("keep_ms").get<double>() / 1000;
    for (const auto &it : answer.at("entry_points"))
        addresses.push_back(it.at("callers").get<std::string>());
    return addresses;
}

void Callers::work(int number)
{
    std::vector<std::string> addresses;
    auto askedAt = std::chrono::steady_clock::now();
    double keepSeconds = 0;
    for (int n = 0; !m_stop; ++n) {
        const std::chrono::duration<double> age = std::chrono::steady_clock::now() - askedAt;
        if (addresses.empty() || age.count() >= keepSeconds) {
            askedAt = std::chrono::steady_clock::now();
            auto &control = m_controls[static_cast<std::size_t>(number + n) % m_controls.size()];
            addresses = entryPoints(control, keepSeconds);
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
        const std::chrono::duration<double, std::milli> took =
            std::chrono::steady_clock::now() - startedAt;
        ++m_answers;
        const std::lock_guard lock(m_mutex);
        judgeQuery(result, body, m_seen);
        m_seen.tookMs.push_back(took.count());
        if (result.outcome != TransferOutcome::Answered)
            addresses.erase(addresses.begin());
    }
}

} // namespace harness
