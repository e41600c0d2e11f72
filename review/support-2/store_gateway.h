#pragma once

#include "support.h"

namespace review {

// The store as the hosts reach it: passes calls on to the stand-in, and shows the disturbances of
// the pages that the stand-in has no switch for. Watches are kept here. Each connection has a
// thread.
class StoreGateway
{
public:
    explicit StoreGateway(std::string store)
        : m_store(std::move(store)), m_listener(listenAt("127.0.0.1:0"))
    {
        m_address = "127.0.0.1:" + std::to_string(portOf(m_listener));
        m_acceptor = std::thread([this] { accept(); });
    }
    ~StoreGateway()
    {
        m_stop = true;
        m_acceptor.join();
        for (auto &it : m_threads)
            it.join();
        close(m_listener);
    }
    StoreGateway(const StoreGateway &) = delete;
    StoreGateway &operator=(const StoreGateway &) = delete;

    const std::string &address() const { return m_address; }
    // Watches hear nothing while changes are made.
    void beginGap() { m_gap = true; }
    // The history is dropped and waiting watches are cut.
    void endGap()
    {
        callOnce(m_store, "POST", "/admin/set", R"({"forget": true})");
        ++m_cuts;
        m_gap = false;
    }
    // The store answers nobody; what is called meanwhile is never answered.
    void setSilent(bool silent) { m_silent = silent; }
    // Number of answers to watches of the configuration that were to return at once.
    int immediateConfigWatches() const { return m_immediate; }

private:
    void accept()
    {
        while (!m_stop) {
            pollfd event{m_listener, POLLIN, 0};
            if (poll(&event, 1, 20) != 1)
                continue;
            const int fd = accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd >= 0)
                m_threads.emplace_back([this, fd] { serve(fd); });
        }
    }
    bool fill(int fd, std::string &buffer) const
    {
        char bytes[65536];
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
        HttpConnection store(m_store);
        std::string buffer;
        while (serveOne(fd, buffer, store)) { }
        close(fd);
    }
    // Keeps the connection open without an answer until the caller closes it.
    bool swallow(int fd, std::string &buffer) const
    {
        while (fill(fd, buffer))
            buffer.clear();
        return false;
    }
    bool serveOne(int fd, std::string &buffer, HttpConnection &store)
    {
        std::size_t end = 0;
        while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
            if (!fill(fd, buffer))
                return false;
        }
        std::istringstream head(buffer.substr(0, end + 2));
        buffer.erase(0, end + 4);
        std::string method;
        std::string target;
        std::string line;
        std::size_t size = 0;
        head >> method >> target;
        while (std::getline(head, line)) {
            if (strncasecmp(line.c_str(), "Content-Length:", 15) == 0)
                size = std::stoul(line.substr(15));
        }
        while (buffer.size() < size) {
            if (!fill(fd, buffer))
                return false;
        }
        const auto body = buffer.substr(0, size);
        buffer.erase(0, size);
        if (m_silent)
            return swallow(fd, buffer);
        const auto watch = target.find("?watch=");
        Answer answer;
        if (watch != std::string::npos) {
            if (!awaitChange(fd, target, store, answer))
                return m_silent ? swallow(fd, buffer) : false;
        } else {
            answer = store.request(method, target, {{"Host", "store"}}, body, 5000);
        }
        if (m_silent)
            return swallow(fd, buffer);
        if (answer.status == 0)
            return false;
        std::string text = "HTTP/1.1 " + std::to_string(answer.status)
            + " Status\r\nContent-Type: application/json\r\nStore-Era: "
            + answer.header("Store-Era") + "\r\nContent-Length: "
            + std::to_string(answer.body.size()) + "\r\n\r\n" + answer.body;
        return send(fd, text.data(), text.size(), MSG_NOSIGNAL)
            == static_cast<ssize_t>(text.size());
    }
    // Waits for the answer to a watch; false if it is cut.
    bool awaitChange(int fd, const std::string &target, HttpConnection &store, Answer &answer)
    {
        const auto waitAt = target.find("wait_ms=");
        const int waitMs = std::atoi(target.c_str() + waitAt + 8);
        const auto until = Clock::now() + std::chrono::milliseconds(waitMs);
        const auto atOnce = target.substr(0, waitAt) + "wait_ms=1";
        const int cuts = m_cuts;
        while (!m_stop) {
            if (m_silent || cuts != m_cuts)
                return false;
            if (m_gap) {
                // Nothing is heard: the answer is that of a store without a change.
                answer =
                    store.request("GET", "/objects/config?watch=" + revision(store) + "&wait_ms=1",
                                  {{"Host", "store"}}, {}, 5000);
                answer.body = json{{"events", json::array()},
                                   {"store_revision", std::stoull(revision(store))}}
                                  .dump();
            } else {
                answer = store.request("GET", atOnce, {{"Host", "store"}}, {}, 5000);
                const auto content = json::parse(answer.body, nullptr, false);
                if (answer.status != 200 || !content.is_object()
                    || !content.value("events", json::array()).empty())
                    return true;
            }
            if (Clock::now() >= until) {
                if (waitMs <= 1 && target.find("/config?") != std::string::npos)
                    ++m_immediate;
                return true;
            }
            pollfd event{fd, POLLIN, 0};
            if (poll(&event, 1, 5) == 1)
                return false;
        }
        return false;
    }
    static std::string revision(HttpConnection &store)
    {
        const auto answer = store.request("GET", "/objects/none", {{"Host", "store"}}, {}, 5000);
        return std::to_string(json::parse(answer.body).at("store_revision").get<std::uint64_t>());
    }

    std::string m_store;
    int m_listener;
    std::string m_address;
    std::atomic<bool> m_stop{false};
    std::atomic<bool> m_gap{false};
    std::atomic<bool> m_silent{false};
    std::atomic<int> m_cuts{0};
    std::atomic<int> m_immediate{0};
    std::vector<std::thread> m_threads;
    std::thread m_acceptor;
};

} // namespace review
