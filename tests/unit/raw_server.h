#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace unit {

namespace asio = boost::asio;

// TCP server that sends the next entry of `replies` for each request, byte for byte, and optionally
// closes or resets the connection. Sends nothing after the last entry.
struct RawServer
{
    struct Reply
    {
        std::string bytes;
        bool closeAfter = false;
        bool reset = false;
        // Sent again and again after `bytes`, until the client closes the connection, or as many
        // times as `times` says.
        std::string repeated = {};
        std::optional<std::size_t> times = {};
        // Sent after the last repetition.
        std::string tail = {};
    };

    asio::io_context &io;
    asio::ip::tcp::acceptor acceptor;
    std::vector<Reply> replies;
    // Repeated bytes that were sent, and connections on which the client ended them.
    std::size_t repeatedBytes = 0;
    int endedRepetitions = 0;
    std::size_t nextReply = 0;
    int connections = 0;
    std::vector<std::string> requests;

    explicit RawServer(asio::io_context &io)
        : io(io), acceptor(io, {asio::ip::make_address("127.0.0.1"), 0})
    {
        accept();
    }

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
    }

    void accept()
    {
        acceptor.async_accept([this](boost::system::error_code ec, asio::ip::tcp::socket socket) {
            if (ec)
                return;
            ++connections;
            serve(std::make_shared<asio::ip::tcp::socket>(std::move(socket)));
            accept();
        });
    }

    void serve(const std::shared_ptr<asio::ip::tcp::socket> &socket)
    {
        const auto buf = std::make_shared<std::array<char, 8192>>();
        socket->async_read_some(asio::buffer(*buf),
                                [this, socket, buf](boost::system::error_code ec, std::size_t n) {
                                    if (ec)
                                        return;
                                    requests.emplace_back(buf->data(), n);
                                    sendReply(socket);
                                });
    }

    void sendReply(const std::shared_ptr<asio::ip::tcp::socket> &socket)
    {
        if (nextReply >= replies.size())
            return;
        const auto reply = replies[nextReply++];
        boost::system::error_code ec;
        asio::write(*socket, asio::buffer(reply.bytes), ec);
        if (!reply.repeated.empty())
            return repeat(socket, std::make_shared<const Reply>(reply), reply.times.value_or(0));
        if (reply.reset)
            socket->set_option(asio::socket_base::linger(true, 0), ec);
        if (reply.closeAfter || reply.reset)
            return socket->close(ec), void();
        serve(socket);
    }

    void repeat(const std::shared_ptr<asio::ip::tcp::socket> &socket,
                const std::shared_ptr<const Reply> &reply, std::size_t left)
    {
        const bool ends = reply->times && left == 0;
        asio::async_write(
            *socket, asio::buffer(ends ? reply->tail : reply->repeated),
            [this, socket, reply, left, ends](boost::system::error_code ec, std::size_t n) {
                repeatedBytes += n;
                if (ec) {
                    ++endedRepetitions;
                    return;
                }
                if (ends)
                    return serve(socket);
                repeat(socket, reply, left == 0 ? 0 : left - 1);
            });
    }
};

} // namespace unit
