#pragma once

#include "support.h"

namespace review {

// What a stand-in of a server does with a request.
struct ServerReply
{
    int status = 200;
    Headers headers;
    std::string body = "answer";
    std::chrono::milliseconds after{0};
};

struct ServerRequest
{
    std::string method;
    std::string target;
    Headers headers;
    std::string body;
    // Address of the host that sent it, without the port.
    std::string from;
    std::string id() const { return headerOf(headers, "X-Request-Id"); }
};

// Stand-in of one backend server: listens at an address of its own, answers requests, and keeps its
// entry in the store by heartbeats. Each connection has a thread.
class Server
{
public:
    using Handler = std::function<ServerReply(const ServerRequest &)>;

    Server(std::string id, std::string service, std::string zone, std::string store, Handler handle)
        : m_id(std::move(id)), m_service(std::move(service)), m_zone(std::move(zone)),
          m_store(std::move(store)), m_handle(std::move(handle)),
          m_listener(listenAt("127.0.0.1:0")),
          m_born(std::chrono::duration_cast<std::chrono::milliseconds>(
                     std::chrono::system_clock::now().time_since_epoch())
                     .count())
    {
        publish();
        m_acceptor = std::thread([this] { accept(); });
        m_heart = std::thread([this] { beat(); });
    }
    ~Server()
    {
        m_stop = true;
        m_heart.join();
        m_acceptor.join();
        for (auto &it : m_threads)
            it.join();
        close(m_listener);
    }
    Server(const Server &) = delete;
    Server &operator=(const Server &) = delete;

    const std::string &id() const { return m_id; }
    // The server reports that it is draining, and serves on. Returns once the store has confirmed.
    void drain()
    {
        const std::lock_guard guard(m_mutex);
        m_state = "draining";
        publish();
    }
    // The heartbeats stop, or go on; the store removes the entry of a silent server.
    void setSilent(bool silent) { m_silent = silent; }
    bool listed() const
    {
        return callOnce(m_store, "GET", "/objects/servers/" + m_id).status == 200;
    }

private:
    static constexpr auto heartbeat = 1200ms;
    static constexpr auto lifetime = 3 * heartbeat;

    // Writes the entry. The store's stand-in does not remove entries by itself, so this does it in
    // place of the store once the server was silent for three heartbeats.
    void publish()
    {
        const json spec{
            {"service", m_service}, {"address", "127.0.0.1:" + std::to_string(portOf(m_listener))},
            {"zone", m_zone},       {"version", "v1"},
            {"capacity", 4},        {"state", m_state},
            {"warmup_left_ms", 0},  {"sequence", ++m_sequence},
            {"born", m_born}};
        const json object{{"meta", {{"name", m_id}}}, {"spec", spec}};
        const auto status =
            callOnce(m_store, "PUT", "/objects/servers/" + m_id, object.dump()).status;
        if (status == 404)
            callOnce(m_store, "POST", "/objects/servers", object.dump());
    }
    void beat()
    {
        auto last = Clock::now();
        bool removed = false;
        while (!m_stop) {
            std::this_thread::sleep_for(10ms);
            const auto now = Clock::now();
            if (m_silent) {
                if (!removed && now - last >= lifetime) {
                    callOnce(m_store, "DELETE", "/objects/servers/" + m_id);
                    removed = true;
                }
            } else if (now - last >= heartbeat || removed) {
                const std::lock_guard guard(m_mutex);
                publish();
                last = now;
                removed = false;
            }
        }
    }
    void accept()
    {
        while (!m_stop) {
            pollfd event{m_listener, POLLIN, 0};
            if (poll(&event, 1, 20) != 1)
                continue;
            sockaddr_in peer{};
            socklen_t size = sizeof peer;
            const int fd =
                accept4(m_listener, reinterpret_cast<sockaddr *>(&peer), &size, SOCK_CLOEXEC);
            if (fd >= 0)
                m_threads.emplace_back([this, fd] { serve(fd); });
        }
    }
    bool fill(int fd, std::string &buffer) const
    {
        char bytes[16384];
        while (!m_stop) {
            pollfd event{fd, POLLIN, 0};
            if (poll(&event, 1, 20) != 1)
                continue;
            const auto n = recv(fd, bytes, sizeof bytes, 0);
            if (n <= 0)
                return false;
            buffer.append(bytes, static_cast<std::size_t>(n));
            return true;
        }
        return false;
    }
    void serve(int fd)
    {
        const int on = 1;
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        std::string buffer;
        while (serveOne(fd, buffer)) { }
        close(fd);
    }
    bool serveOne(int fd, std::string &buffer)
    {
        std::size_t end = 0;
        while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
            if (!fill(fd, buffer))
                return false;
        }
        ServerRequest request;
        std::istringstream head(buffer.substr(0, end + 2));
        buffer.erase(0, end + 4);
        std::string version;
        head >> request.method >> request.target >> version;
        std::string line;
        std::getline(head, line);
        while (std::getline(head, line) && line.size() > 1) {
            line.pop_back();
            const auto colon = line.find(':');
            auto value = line.substr(std::min(line.size(), colon + 1));
            value.erase(0, value.find_first_not_of(' '));
            request.headers.emplace_back(line.substr(0, colon), value);
        }
        const auto length = headerOf(request.headers, "Content-Length");
        const std::size_t size = length.empty() ? 0 : std::stoul(length);
        while (buffer.size() < size) {
            if (!fill(fd, buffer))
                return false;
        }
        request.body = buffer.substr(0, size);
        buffer.erase(0, size);
        ServerReply reply;
        if (headerOf(request.headers, "X-Expected-Instance") != m_id) {
            reply.status = 421;
            reply.headers.emplace_back("X-Not-Executed", "1");
        } else {
            reply = m_handle(request);
        }
        std::this_thread::sleep_for(reply.after);
        std::string text = "HTTP/1.1 " + std::to_string(reply.status) + " Status\r\n"
            + "X-Request-Id: " + request.id() + "\r\n";
        for (const auto &it : reply.headers)
            text += it.first + ": " + it.second + "\r\n";
        text += "Content-Length: " + std::to_string(reply.body.size()) + "\r\n\r\n" + reply.body;
        return send(fd, text.data(), text.size(), MSG_NOSIGNAL)
            == static_cast<ssize_t>(text.size());
    }

    std::string m_id;
    std::string m_service;
    std::string m_zone;
    std::string m_store;
    Handler m_handle;
    int m_listener;
    std::int64_t m_born;
    std::int64_t m_sequence = 0;
    std::string m_state = "ready";
    std::mutex m_mutex;
    std::atomic<bool> m_stop{false};
    std::atomic<bool> m_silent{false};
    std::vector<std::thread> m_threads;
    std::thread m_acceptor;
    std::thread m_heart;
};

} // namespace review
