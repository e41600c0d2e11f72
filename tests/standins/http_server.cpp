#include "http_server.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/url/src.hpp>

namespace standins {

using asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr std::uint64_t maxBodyBytes = 64U << 20;

asio::awaitable<void> sendRaw(const std::shared_ptr<Connection> &connection)
{
    error_code ec;
    co_await asio::async_write(connection->stream, asio::buffer(connection->raw),
                               asio::redirect_error(asio::use_awaitable, ec));
    while (!ec && !connection->repeated.empty()) {
        co_await asio::async_write(connection->stream, asio::buffer(connection->repeated),
                                   asio::redirect_error(asio::use_awaitable, ec));
    }
    // Ends when the other side closes the connection.
    char byte = 0;
    co_await connection->stream.async_read_some(asio::buffer(&byte, 1),
                                                asio::redirect_error(asio::use_awaitable, ec));
}

asio::awaitable<void> serve(std::shared_ptr<Connection> connection,
                            std::shared_ptr<const ListenerHooks> hooks)
{
    if (hooks->connectDelay.count() > 0)
        co_await sleepFor(hooks->connectDelay);
    boost::beast::flat_buffer buffer;
    error_code ec;
    while (!ec) {
        http::request_parser<http::string_body> parser;
        parser.body_limit(maxBodyBytes);
        co_await http::async_read(connection->stream, buffer, parser,
                                  asio::redirect_error(asio::use_awaitable, ec));
        if (ec)
            break;
        const auto request = parser.release();
        auto response = co_await hooks->handle(request, connection);
        if (connection->dropped)
            break;
        if (connection->silent)
            continue;
        if (!connection->raw.empty()) {
            co_await sendRaw(connection);
            break;
        }
        response.version(11);
        response.keep_alive(request.keep_alive());
        response.prepare_payload();
        if (connection->truncated)
            response.content_length(response.body().size() + 1);
        co_await http::async_write(connection->stream, response,
                                   asio::redirect_error(asio::use_awaitable, ec));
        if (!request.keep_alive() || connection->truncated)
            break;
    }
    connection->stream.socket().close(ec);
    hooks->onClosed(connection);
}

asio::awaitable<void> acceptConnections(std::shared_ptr<tcp::acceptor> acceptor,
                                        std::shared_ptr<const ListenerHooks> hooks)
{
    static std::uint64_t lastId = 0;
    while (acceptor->is_open()) {
        error_code ec;
        auto socket =
            co_await acceptor->async_accept(asio::redirect_error(asio::use_awaitable, ec));
        if (ec)
            continue;
        socket.set_option(tcp::no_delay(true), ec);
        auto connection = std::make_shared<Connection>(std::move(socket));
        connection->id = ++lastId;
        if (!hooks->admit(connection))
            continue;
        asio::co_spawn(acceptor->get_executor(), serve(connection, hooks), asio::detached);
    }
}

} // namespace

Response makeResponse(unsigned status, std::string body)
{
    Response response;
    response.result(status);
    response.set(http::field::content_type, "application/json");
    response.body() = std::move(body);
    return response;
}

std::string headerOf(const Request &request, const std::string &name)
{
    const auto it = request.find(name);
    return it == request.end() ? std::string() : std::string(it->value());
}

std::string parameterOf(const Request &request, const std::string &name)
{
    const std::string target(request.target());
    const auto at = target.find(name + "=");
    if (at == std::string::npos)
        return {};
    const auto start = at + name.size() + 1;
    const auto value = target.substr(start, target.find('&', start) - start);
    const auto encoded = boost::urls::make_pct_string_view(value);
    return encoded.has_value() ? encoded->decode() : value;
}

asio::awaitable<void> sleepFor(std::chrono::milliseconds time)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, time);
    co_await timer.async_wait(asio::use_awaitable);
}

std::shared_ptr<tcp::acceptor> listen(asio::io_context &io, unsigned short port,
                                      ListenerHooks hooks)
{
    auto acceptor =
        std::make_shared<tcp::acceptor>(io, tcp::endpoint(asio::ip::address_v4::loopback(), port));
    asio::co_spawn(
        io, acceptConnections(acceptor, std::make_shared<const ListenerHooks>(std::move(hooks))),
        asio::detached);
    return acceptor;
}

} // namespace standins
