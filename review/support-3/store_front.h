#pragma once

#include "support.h"

#include <list>

namespace review {

// Stands before the store and passes everything on unchanged. It can end the watches that are
// waiting, as the store itself may do at any time: their connections are closed in order, without a
// response. All other connections and calls stay as they are.
class StoreFront
{
public:
    explicit StoreFront(std::string store) : m_store(std::move(store))
    {
        m_listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in at{};
        at.sin_family = AF_INET;
        at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof at;
        if (bind(m_listener, reinterpret_cast<sockaddr *>(&at), size) != 0
            || listen(m_listener, 64) != 0
            || getsockname(m_listener, reinterpret_cast<sockaddr *>(&at), &size) != 0)
            throw std::runtime_error("the front of the store cannot listen");
        m_address = "127.0.0.1:" + std::to_string(ntohs(at.sin_port));
        m_thread = std::thread([this] { run(); });
    }
    ~StoreFront()
    {
        m_stop = true;
        m_thread.join();
        for (auto &it : m_links)
            closeLink(it);
        close(m_listener);
    }
    StoreFront(const StoreFront &) = delete;
    StoreFront &operator=(const StoreFront &) = delete;

    const std::string &address() const { return m_address; }

    // Ends the waiting watches. Returns their number.
    int endWaitingWatches()
    {
        m_ended = -1;
        m_endWatches = true;
        if (!eventually([this] { return m_ended >= 0; }, Millis(2000)))
            throw std::runtime_error("the front of the store does not run");
        return m_ended;
    }

private:
    struct Link
    {
        int host = -1;
        int store = -1;
        // A watch was passed on and has no response yet.
        bool watchWaits = false;
    };

    static void closeLink(const Link &link)
    {
        close(link.host);
        close(link.store);
    }

    static bool passOn(int from, int to, std::string &bytes)
    {
        char buf[65536];
        const auto n = recv(from, buf, sizeof buf, 0);
        if (n <= 0)
            return false;
        bytes.assign(buf, static_cast<std::size_t>(n));
        std::size_t sent = 0;
        while (sent < bytes.size()) {
            pollfd it{to, POLLOUT, 0};
            if (poll(&it, 1, 1000) != 1)
                return false;
            const auto written = ::send(to, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (written <= 0)
                return false;
            sent += static_cast<std::size_t>(written);
        }
        return true;
    }

    void acceptLink()
    {
        Link link;
        link.host = accept4(m_listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (link.host < 0)
            return;
        const int on = 1;
        setsockopt(link.host, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        link.store = connectTo(m_store, Millis(1000));
        if (link.store < 0) {
            close(link.host);
            return;
        }
        m_links.push_back(link);
    }

    // Returns false if the link has ended.
    static bool serve(Link &link, short hostEvents, short storeEvents)
    {
        std::string bytes;
        if (hostEvents != 0) {
            if (!passOn(link.host, link.store, bytes))
                return false;
            const auto line = bytes.substr(0, bytes.find("\r\n"));
            if (line.find("watch=") != std::string::npos)
                link.watchWaits = true;
        }
        if (storeEvents != 0) {
            if (!passOn(link.store, link.host, bytes))
                return false;
            link.watchWaits = false;
        }
        return true;
    }

    void run()
    {
        while (!m_stop) {
            std::vector<pollfd> fds{{m_listener, POLLIN, 0}};
            for (const auto &it : m_links) {
                fds.push_back({it.host, POLLIN, 0});
                fds.push_back({it.store, POLLIN, 0});
            }
            poll(fds.data(), fds.size(), 5);
            std::size_t at = 1;
            for (auto it = m_links.begin(); it != m_links.end();) {
                const auto host = fds[at++].revents;
                const auto store = fds[at++].revents;
                if (serve(*it, host, store)) {
                    ++it;
                } else {
                    closeLink(*it);
                    it = m_links.erase(it);
                }
            }
            if (m_endWatches.exchange(false))
                endWatches();
            if (fds[0].revents != 0)
                acceptLink();
        }
    }

    void endWatches()
    {
        int ended = 0;
        for (auto it = m_links.begin(); it != m_links.end();) {
            if (!it->watchWaits) {
                ++it;
                continue;
            }
            ++ended;
            closeLink(*it);
            it = m_links.erase(it);
        }
        m_ended = ended;
    }

    std::string m_store;
    std::string m_address;
    int m_listener = -1;
    // Used by the thread only.
    std::list<Link> m_links;
    std::atomic<bool> m_stop{false};
    std::atomic<bool> m_endWatches{false};
    std::atomic<int> m_ended{0};
    std::thread m_thread;
};

} // namespace review
