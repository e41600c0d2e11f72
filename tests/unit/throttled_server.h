#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace unit {

// HTTP server on the event loop that sends its responses over one link of limited rate, which the
// connections share. Serves one request at a time on a connection. Not thread-safe.
class ThrottledServer
{
public:
    struct Reply
    {
        std::string body;
        // Time after which the response is begun.
        std::chrono::milliseconds delay{0};
        std::string status = "200 OK";
    };
    // Returns the reply to a request line.
    using Handler = std::function<Reply(const std::string &requestLine)>;

    ThrottledServer(boost::asio::io_context &io, std::size_t bytesPerMillisecond, Handler handler)
        : m_io(io), m_bytesPerMillisecond(bytesPerMillisecond), m_handler(std::move(handler)),
          m_acceptor(io, {boost::asio::ip::address_v4::loopback(), 0})
    {
        accept();
    }

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
    }

private:
    struct Session : std::enable_shared_from_this<Session>
    {
        Session(ThrottledServer &server, boost::asio::ip::tcp::socket socket)
            : server(server), socket(std::move(socket)), timer(server.m_io)
        { }

        ~Session() { setSending(false); }

        void readHead()
        {
            this->socket.async_read_some(
                boost::asio::buffer(buf),
                [self = shared_from_this()](boost::system::error_code ec, std::size_t n) {
                    if (ec)
                        return;
                    self->head.append(self->buf, n);
                    if (self->head.find("\r\n\r\n") == std::string::npos)
                        return self->readHead();
                    const auto reply =
                        self->server.m_handler(self->head.substr(0, self->head.find("\r\n")));
                    self->head.clear();
                    self->unsent = "HTTP/1.1 " + reply.status + "\r\nContent-Length: "
                        + std::to_string(reply.body.size()) + "\r\n\r\n" + reply.body;
                    self->wait(reply.delay);
                });
        }

        void wait(std::chrono::milliseconds time)
        {
            timer.expires_after(time);
            timer.async_wait([self = shared_from_this()](boost::system::error_code) {
                self->setSending(true);
                self->sendSome();
            });
        }

        void sendSome()
        {
            const auto share = server.m_bytesPerMillisecond * sliceMillis / server.m_sending;
            const auto n = std::min(unsent.size(), std::max<std::size_t>(1, share));
            boost::system::error_code ec;
            boost::asio::write(socket, boost::asio::buffer(unsent.data(), n), ec);
            if (ec)
                return;
            unsent.erase(0, n);
            if (unsent.empty()) {
                setSending(false);
                return readHead();
            }
            timer.expires_after(std::chrono::milliseconds(sliceMillis));
            timer.async_wait(
                [self = shared_from_this()](boost::system::error_code) { self->sendSome(); });
        }

        void setSending(bool value)
        {
            if (value == sending)
                return;
            sending = value;
            server.m_sending += value ? 1 : -1;
        }

        static constexpr std::size_t sliceMillis = 10;
        ThrottledServer &server;
        boost::asio::ip::tcp::socket socket;
        boost::asio::steady_timer timer;
        char buf[4096];
        std::string head;
        std::string unsent;
        bool sending = false;
    };

    void accept()
    {
        m_acceptor.async_accept(
            [this](boost::system::error_code ec, boost::asio::ip::tcp::socket socket) {
                if (ec)
                    return;
                std::make_shared<Session>(*this, std::move(socket))->readHead();
                accept();
            });
    }

    boost::asio::io_context &m_io;
    std::size_t m_bytesPerMillisecond;
    Handler m_handler;
    boost::asio::ip::tcp::acceptor m_acceptor;
    // Sessions that share the link at the moment.
    std::size_t m_sending = 0;
};

} // namespace unit
