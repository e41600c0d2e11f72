#pragma once

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace soak {

// What a proxy does to the bytes of its connections.
enum class ProxyMode {
    Pass,
    // Bytes are kept back and never delivered; connections stay open.
    Silent,
    // The same in one direction only.
    DropRequests,
    DropResponses,
};

// How a proxy treats new connections.
enum class ListenMode {
    Accept,
    // Connecting gets no answer, as over a link that drops packets.
    Ignore,
    Refuse,
};

// Status of the response with which a proxy tells a client that the target refused the connection.
inline constexpr int refusedStatus = 599;

// TCP proxy on the loopback interface between two programs under test. Runs in a thread of its own;
// the public methods are thread-safe.
class FaultProxy
{
public:
    // Listens at `port`, 0 for any, and forwards to `target`, "127.0.0.1:PORT".
    FaultProxy(unsigned short port, std::string target);
    ~FaultProxy();
    FaultProxy(const FaultProxy &) = delete;
    FaultProxy &operator=(const FaultProxy &) = delete;

    std::string address() const;

    void setMode(ProxyMode mode) { m_mode = mode; }
    // Takes effect before the method returns.
    void setListenMode(ListenMode mode);
    // Replaces texts in the bytes to the client, each by one of the same length. A text that is
    // split between two reads is missed. Call before the first connection.
    void setReplacements(std::map<std::string, std::string> texts)
    {
        m_replacements = std::move(texts);
    }
    void setDelay(int ms) { m_delayMs = ms; }
    // Resets all connections.
    void resetAll() { reset(false); }
    // Resets the connections that lost bytes. Stands for the keep-alive probes of the programs
    // under test, which the proxy's kernel answers although the connection delivers nothing.
    void resetLost() { reset(true); }

private:
    struct Link;

    void reset(bool onlyLost);
    void applyListenMode(ListenMode mode);
    void replaceTexts(std::string &bytes) const;
    void accept();
    void refuse(const std::shared_ptr<Link> &link);
    void pump(const std::shared_ptr<Link> &link, bool request);
    void deliver(const std::shared_ptr<Link> &link, bool request, std::string bytes);

    boost::asio::io_context m_io{1};
    boost::asio::ip::tcp::acceptor m_acceptor;
    boost::asio::ip::tcp::endpoint m_target;
    boost::asio::ip::tcp::endpoint m_endpoint;
    ListenMode m_listenMode = ListenMode::Accept;
    // Fills the queue of connections to accept while connecting gets no answer.
    std::vector<std::unique_ptr<boost::asio::ip::tcp::socket>> m_fillers;
    std::map<std::string, std::string> m_replacements;
    std::vector<std::weak_ptr<Link>> m_links;
    std::atomic<ProxyMode> m_mode{ProxyMode::Pass};
    std::atomic<int> m_delayMs{0};
    std::thread m_thread;
};

} // namespace soak
