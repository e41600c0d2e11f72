#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <string>

// Small HTTP server on coroutines for the stand-ins. Everything runs on one thread.
namespace standins {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using Request = http::request<http::string_body>;
using Response = http::response<http::string_body>;

// One accepted connection.
struct Connection
{
    std::uint64_t id = 0;
    // Reads on, but never answers and never closes, like a path that lost track of it.
    bool silent = false;
    // Set by a handler to end the connection without an answer.
    bool dropped = false;
    // Set by a handler to announce more bytes than are sent.
    bool truncated = false;
    boost::beast::tcp_stream stream;

    explicit Connection(asio::ip::tcp::socket socket) : stream(std::move(socket)) { }
};

using Handler =
    std::function<asio::awaitable<Response>(const Request &, std::shared_ptr<Connection>)>;

// Hooks on the connections of one listener.
struct ListenerHooks
{
    Handler handle;
    // Tells whether a new connection may stay.
    std::function<bool(const std::shared_ptr<Connection> &)> opened = [](const auto &) {
        return true;
    };
    std::function<void(const std::shared_ptr<Connection> &)> closed = [](const auto &) {};
    // Time that opening a connection takes.
    std::chrono::milliseconds connectCost{0};
};

// Returns an answer with a JSON or text body.
Response makeResponse(unsigned status, std::string body = "{}");

// Returns a header as text, or an empty string.
std::string headerOf(const Request &request, const std::string &name);

// Returns the value of a parameter in the target's query, or an empty string.
std::string parameterOf(const Request &request, const std::string &name);

// Waits for `time`.
asio::awaitable<void> pause(std::chrono::milliseconds time);

// Listens on 127.0.0.1 at `port`, or at any free port if 0; serves until closed.
std::shared_ptr<asio::ip::tcp::acceptor> listen(asio::io_context &io, unsigned short port,
                                                ListenerHooks hooks);

} // namespace standins
