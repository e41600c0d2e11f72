#include "fault_proxy.h"

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <future>

namespace soak {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

// A connection of a client and the one to the target.
struct FaultProxy::Link
{
    explicit Link(asio::io_context &io, tcp::socket socket)
        : client(std::move(socket)), target(io), requestTimer(io), responseTimer(io)
    { }

    void close(bool reset)
    {
        error_code ec;
        for (auto *it : {&client, &target}) {
            if (reset)
                it->set_option(asio::socket_base::linger(true, 0), ec);
            it->close(ec);
        }
    }

    tcp::socket client;
    tcp::socket target;
    asio::steady_timer requestTimer;
    asio::steady_timer responseTimer;
    std::array<char, 16384> requestBuf{};
    std::array<char, 16384> responseBuf{};
    // Bytes of the direction were dropped. No later ones are delivered, since TCP has no gaps.
    bool requestsLost = false;
    bool responsesLost = false;
};

FaultProxy::FaultProxy(unsigned short port, std::string target) : m_acceptor(m_io)
{
    // A port that the kernel has chosen changes when the socket listens again; one that was asked
    // for stays.
    if (port == 0)
        port = tcp::acceptor(m_io, {asio::ip::address_v4::loopback(), 0}).local_endpoint().port();
    m_endpoint = {asio::ip::address_v4::loopback(), port};
    m_acceptor.open(tcp::v4());
    m_acceptor.set_option(tcp::acceptor::reuse_address(true));
    m_acceptor.bind(m_endpoint);
    m_acceptor.listen();
    const auto colon = target.rfind(':');
    m_target = {asio::ip::make_address(target.substr(0, colon)),
                static_cast<unsigned short>(std::stoi(target.substr(colon + 1)))};
    accept();
    m_thread = std::thread([this] {
        // Nothing is pending while connections are refused.
        const auto work = asio::make_work_guard(m_io);
        m_io.run();
    });
}

FaultProxy::~FaultProxy()
{
    m_io.stop();
    m_thread.join();
}

std::string FaultProxy::address() const
{
    return "127.0.0.1:" + std::to_string(m_endpoint.port());
}

void FaultProxy::setListenMode(ListenMode mode)
{
    std::promise<void> applied;
    asio::post(m_io, [&] {
        applyListenMode(mode);
        applied.set_value();
    });
    applied.get_future().wait();
}

void FaultProxy::applyListenMode(ListenMode mode)
{
    if (mode == m_listenMode)
        return;
    m_listenMode = mode;
    error_code ec;
    m_acceptor.cancel(ec);
    m_fillers.clear();
    if (mode == ListenMode::Refuse) {
        // Stops listening and keeps the port.
        ::shutdown(m_acceptor.native_handle(), SHUT_RD);
        return;
    }
    if (mode == ListenMode::Accept) {
        m_acceptor.listen();
        return accept();
    }
    // The kernel drops the packets of further connections once this queue is full.
    m_acceptor.listen(0);
    constexpr int fillers = 2;
    for (int i = 0; i < fillers; ++i) {
        auto &filler = m_fillers.emplace_back(std::make_unique<tcp::socket>(m_io));
        filler->async_connect(m_endpoint, [](error_code) {});
    }
}

void FaultProxy::reset(bool onlyLost)
{
    asio::post(m_io, [this, onlyLost] {
        for (const auto &it : m_links) {
            const auto link = it.lock();
            if (link && (!onlyLost || link->requestsLost || link->responsesLost))
                link->close(true);
        }
    });
}

void FaultProxy::accept()
{
    m_acceptor.async_accept([this](error_code ec, tcp::socket socket) {
        if (ec == asio::error::operation_aborted || m_listenMode != ListenMode::Accept)
            return;
        if (!ec) {
            auto link = std::make_shared<Link>(m_io, std::move(socket));
            std::erase_if(m_links, [](const auto &it) { return it.expired(); });
            m_links.push_back(link);
            link->target.async_connect(m_target, [this, link](error_code failed) {
                if (failed)
                    return refuse(link);
                pump(link, true);
                pump(link, false);
            });
        }
        accept();
    });
}

void FaultProxy::refuse(const std::shared_ptr<Link> &link)
{
    link->client.async_read_some(
        asio::buffer(link->requestBuf), [link](error_code ec, std::size_t) {
            if (ec)
                return link->close(true);
            static const std::string response = "HTTP/1.1 " + std::to_string(refusedStatus)
                + " refused\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
            asio::async_write(link->client, asio::buffer(response),
                              [link](error_code, std::size_t) { link->close(false); });
        });
}

void FaultProxy::pump(const std::shared_ptr<Link> &link, bool request)
{
    auto &from = request ? link->client : link->target;
    auto &buf = request ? link->requestBuf : link->responseBuf;
    from.async_read_some(asio::buffer(buf), [this, link, request](error_code ec, std::size_t n) {
        // A reset of one side is passed on as such, since it must not look like a clean end.
        if (ec)
            return link->close(ec != asio::error::eof);
        const auto mode = m_mode.load();
        auto &lost = request ? link->requestsLost : link->responsesLost;
        lost = lost || mode == ProxyMode::Silent
            || mode == (request ? ProxyMode::DropRequests : ProxyMode::DropResponses);
        if (lost)
            return pump(link, request);
        const auto &bytes = request ? link->requestBuf : link->responseBuf;
        std::string text(bytes.data(), n);
        if (!request)
            replaceTexts(text);
        deliver(link, request, std::move(text));
    });
}

void FaultProxy::replaceTexts(std::string &bytes) const
{
    for (const auto &it : m_replacements) {
        for (auto at = bytes.find(it.first); at != std::string::npos;
             at = bytes.find(it.first, at + it.second.size()))
            bytes.replace(at, it.first.size(), it.second);
    }
}

void FaultProxy::deliver(const std::shared_ptr<Link> &link, bool request, std::string bytes)
{
    auto &timer = request ? link->requestTimer : link->responseTimer;
    timer.expires_after(std::chrono::milliseconds(m_delayMs));
    timer.async_wait([this, link, request, bytes = std::move(bytes)](error_code ec) {
        if (ec)
            return;
        auto &to = request ? link->target : link->client;
        const auto shared = std::make_shared<const std::string>(bytes);
        asio::async_write(to, asio::buffer(*shared),
                          [this, link, request, shared](error_code failed, std::size_t) {
                              if (failed)
                                  return link->close(true);
                              pump(link, request);
                          });
    });
}

} // namespace soak
