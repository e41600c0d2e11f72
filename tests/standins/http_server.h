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

// HTTP server of the stand-ins, based on coroutines. Not thread-safe: runs on one event loop.
namespace standins {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using Request = http::request<http::string_body>;
using Response = http::response<http::string_body>;

// One accepted connection.
struct Connection
{
    std::uint64_t id = 0;
    // Requests are still read and handled, but get no response, and the connection stays open, as
    // when a device on the network path has dropped the connection's state.
    bool silent = false;
    // Set by a handler to close the connection without sending the response.
    bool dropped = false;
    // Set by a handler to send a Content-Length larger than the body and then close the connection.
    bool truncated = false;
    // Set by a handler to send these bytes in place of the response, and `repeated` again and again
    // after them until the other side closes the connection. Without `repeated` the connection
    // stays open.
    std::string raw;
    std::string repeated;
    boost::beast::tcp_stream stream;

    explicit Connection(asio::ip::tcp::socket socket) : stream(std::move(socket)) { }
};

using Handler =
    std::function<asio::awaitable<Response>(const Request &, std::shared_ptr<Connection>)>;

// Callbacks for the connections of one listener.
struct ListenerHooks
{
    Handler handle;
    // Returns whether a new connection is accepted; otherwise it is closed.
    std::function<bool(const std::shared_ptr<Connection> &)> admit = [](const auto &) {
        return true;
    };
    // Called after a connection has been closed.
    std::function<void(const std::shared_ptr<Connection> &)> onClosed = [](const auto &) {};
    // Time for which the first request of a connection is delayed, to simulate slow connects.
    std::chrono::milliseconds connectDelay{0};
};

// Returns a response with this body and the content type of JSON.
Response makeResponse(unsigned status, std::string body = "{}");

// Returns the value of a header, or an empty string if it is absent.
std::string headerOf(const Request &request, const std::string &name);

// Returns the decoded value of a query parameter of the request target, or an empty string if it is
// absent.
std::string parameterOf(const Request &request, const std::string &name);

// Suspends the calling coroutine for `time`.
asio::awaitable<void> sleepFor(std::chrono::milliseconds time);

// Listens on 127.0.0.1 at `port`, or at any free port if 0, and serves until the returned acceptor
// is closed. Throws boost::system::system_error if the port cannot be bound.
std::shared_ptr<asio::ip::tcp::acceptor> listen(asio::io_context &io, unsigned short port,
                                                ListenerHooks hooks);

} // namespace standins
