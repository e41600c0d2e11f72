#include "adapters/loop/exchange_client.h"

#include "adapters/loop/endpoint.h"

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>
#include <charconv>
#include <list>
#include <netinet/tcp.h>
#include <optional>
#include <unordered_map>

namespace goldcrestline::adapters::loop {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;
using boost::system::error_code;
using core::TimePoint;
using ports::ExchangeId;
using ports::ExchangeOutcome;

namespace {

// Bytes read from a connection at a time: one short response. A read that fills less of it costs
// no further system call.
constexpr std::size_t readBytes = 2048;
constexpr std::uint32_t responseHeadBytes = 64 * 1024;
constexpr std::uint64_t responseBodyBytes = 64 << 20;
// A connection is not used in the last part of the idle time that the server stated, so that a
// request does not meet the server's close.
constexpr core::Millis keepAliveMargin{300};
constexpr int probesUntilDead = 2;

using Parser = http::response_parser<http::string_body>;

struct Connection
{
    explicit Connection(asio::io_context &io) : socket(io) { }

    enum class State { Connecting, Busy, Idle, Closed };

    tcp::socket socket;
    std::string address;
    State state = State::Connecting;
    ExchangeId exchange = 0;
    ports::ExchangeRequest request;
    ExchangeClient::Done done;
    std::array<char, readBytes> buf{};
    std::optional<Parser> parser;
    // Bytes of a response that the parser could not take yet.
    std::string unparsed;
    // Bytes of the request that the socket could not take yet.
    std::string unsent;
    // An answer of another request was seen, so the connection must not be used again.
    bool suspect = false;
    TimePoint since{};
    TimePoint usableUntil = TimePoint::max();
};
using ConnectionPtr = std::shared_ptr<Connection>;

void setOptions(tcp::socket &socket, int probeAfterSeconds)
{
    error_code ec;
    socket.set_option(tcp::no_delay(true), ec);
    if (probeAfterSeconds <= 0)
        return;
    const int fd = socket.native_handle();
    const int on = 1;
    const int interval = 1;
    const int deadMs = 1000 * (probeAfterSeconds + probesUntilDead);
    // A failure only delays the detection of a dead connection to the exchange's own time-out.
    ::setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof on);
    ::setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &probeAfterSeconds, sizeof probeAfterSeconds);
    ::setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &interval, sizeof interval);
    ::setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &probesUntilDead, sizeof probesUntilDead);
    ::setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &deadMs, sizeof deadMs);
}

// Returns the idle time that the server stated, or nothing.
std::optional<core::Millis> statedIdleTime(const http::response<http::string_body> &response)
{
    const auto it = response.find(http::field::keep_alive);
    if (it == response.end())
        return std::nullopt;
    const std::string_view value(it->value().data(), it->value().size());
    const auto at = value.find("timeout=");
    if (at == std::string_view::npos)
        return std::nullopt;
    int seconds = 0;
    const auto *begin = value.data() + at + std::string_view("timeout=").size();
    const auto parsed = std::from_chars(begin, value.data() + value.size(), seconds);
    if (parsed.ec != std::errc())
        return std::nullopt;
    return core::Millis(1000 * seconds);
}

} // namespace

struct ExchangeClient::Impl
{
    Impl(asio::io_context &io, ExchangeOptions options) : io(io), options(options) { }

    ConnectionPtr takeIdle(const std::string &address, TimePoint now)
    {
        auto &idle = pool[address];
        while (!idle.empty()) {
            auto connection = idle.back();
            idle.pop_back();
            if (connection->state == Connection::State::Idle && now < connection->usableUntil)
                return connection;
            close(connection);
        }
        return nullptr;
    }

    void open(const ConnectionPtr &connection)
    {
        const auto endpoint = parseEndpoint<tcp>(connection->address);
        if (!endpoint) {
            asio::post(io, [this, connection] { end(connection, ExchangeOutcome::NotReached); });
            return;
        }
        ++opened;
        error_code ec;
        connection->socket.open(endpoint->protocol(), ec);
        setOptions(connection->socket, options.probeAfterSeconds);
        connection->socket.async_connect(*endpoint, [this, connection](error_code ec) {
            if (connection->state != Connection::State::Connecting)
                return;
            if (ec)
                return end(connection, ExchangeOutcome::NotReached);
            error_code ignored;
            connection->socket.non_blocking(true, ignored);
            write(connection);
            awaitBytes(connection);
        });
    }

    void write(const ConnectionPtr &connection)
    {
        connection->state = Connection::State::Busy;
        restartParser(*connection);
        const auto &request = connection->request;
        static const std::string emptyBody;
        const auto &body = request.body ? *request.body : emptyBody;
        const std::array<asio::const_buffer, 4> buffers{
            asio::buffer(*request.commonHead), asio::buffer(request.attemptHead),
            asio::const_buffer("\r\n", 2), asio::buffer(body)};
        error_code ec;
        std::size_t sent = connection->socket.write_some(buffers, ec);
        if (ec && ec != asio::error::would_block) {
            asio::post(io, [this, connection, id = connection->exchange] {
                if (connection->exchange == id)
                    end(connection, ExchangeOutcome::NotReached);
            });
            return;
        }
        if (sent == asio::buffer_size(buffers))
            return;
        std::string all = *request.commonHead + request.attemptHead + "\r\n" + body;
        connection->unsent = all.substr(sent);
        asio::async_write(connection->socket, asio::buffer(connection->unsent),
                          [connection](error_code ec, std::size_t) {
                              // The reader notices a broken connection.
                              if (!ec)
                                  connection->unsent.clear();
                          });
    }

    void awaitBytes(const ConnectionPtr &connection)
    {
        connection->socket.async_read_some(asio::buffer(connection->buf),
                                           [this, connection](error_code ec, std::size_t n) {
                                               if (connection->state == Connection::State::Closed)
                                                   return;
                                               if (ec)
                                                   return onEnd(connection, ec);
                                               onBytes(connection, n);
                                           });
    }

    void onBytes(const ConnectionPtr &connection, std::size_t n)
    {
        if (connection->state != Connection::State::Busy) {
            // Nobody asked for these bytes.
            return close(connection);
        }
        const std::string_view bytes(connection->buf.data(), n);
        if (connection->unparsed.empty()) {
            parse(connection, bytes);
        } else {
            const auto whole = std::move(connection->unparsed) + std::string(bytes);
            connection->unparsed.clear();
            parse(connection, whole);
        }
        if (connection->state != Connection::State::Closed)
            awaitBytes(connection);
    }

    void parse(const ConnectionPtr &connection, std::string_view bytes)
    {
        while (!bytes.empty()) {
            error_code ec;
            auto &parser = *connection->parser;
            const auto n = parser.put(asio::buffer(bytes.data(), bytes.size()), ec);
            bytes.remove_prefix(n);
            if (ec && ec != http::error::need_more)
                return end(connection, ExchangeOutcome::Broken);
            if (parser.is_done()) {
                if (!isOwnAnswer(*connection)) {
                    restartParser(*connection);
                    continue;
                }
                return finish(connection, !bytes.empty());
            }
            if (ec == http::error::need_more || n == 0) {
                connection->unparsed.assign(bytes);
                return;
            }
        }
    }

    // Interim responses and answers to earlier requests are skipped.
    static bool isOwnAnswer(Connection &connection)
    {
        const auto &response = connection.parser->get();
        if (response.result_int() < 200)
            return false;
        const auto &request = connection.request;
        if (request.identityHeader.empty())
            return true;
        const auto it = response.find(request.identityHeader);
        if (it == response.end() || it->value() == request.identity)
            return true;
        connection.suspect = true;
        return false;
    }

    static void restartParser(Connection &connection)
    {
        connection.parser.emplace();
        connection.parser->eager(true);
        connection.parser->header_limit(responseHeadBytes);
        connection.parser->body_limit(responseBodyBytes);
        connection.parser->skip(connection.request.bodyless);
    }

    void onEnd(const ConnectionPtr &connection, error_code ec)
    {
        if (connection->state != Connection::State::Busy)
            return close(connection);
        auto &parser = *connection->parser;
        // Only a clean close ends a body that has no length.
        if (ec == asio::error::eof && parser.is_header_done() && parser.need_eof()) {
            error_code ended;
            parser.put_eof(ended);
            if (!ended && parser.is_done() && isOwnAnswer(*connection))
                return finish(connection, true);
        }
        end(connection, ExchangeOutcome::Broken);
    }

    void finish(const ConnectionPtr &connection, bool unfit)
    {
        auto response = connection->parser->release();
        ports::ExchangeResult result;
        result.outcome = ExchangeOutcome::Answered;
        result.status = static_cast<int>(response.result_int());
        for (const auto &it : response) {
            result.headers.push_back({std::string(it.name_string()), std::string(it.value())});
        }
        const auto &accept = connection->request.accept;
        if (accept && !accept(result.status, result.headers))
            return end(connection, ExchangeOutcome::Broken);
        result.closing = !response.keep_alive();
        result.body = std::move(response.body());
        const auto now = core::Clock::now();
        auto done = std::move(connection->done);
        byId.erase(connection->exchange);
        connection->parser.reset();
        const bool keep = !unfit && !connection->suspect && !result.closing
            && !connection->request.freshConnection && connection->unsent.empty();
        if (keep) {
            connection->state = Connection::State::Idle;
            connection->since = now;
            const auto idleTime = statedIdleTime(response).value_or(options.idleTime);
            connection->usableUntil =
                now + std::min<core::Millis>(options.idleTime, idleTime) - keepAliveMargin;
            connection->request = {};
            connection->done = nullptr;
            connection->exchange = 0;
            pool[connection->address].push_back(connection);
        } else {
            close(connection);
        }
        done(std::move(result));
    }

    // Ends the exchange without an answer.
    void end(const ConnectionPtr &connection, ExchangeOutcome why)
    {
        if (connection->state == Connection::State::Closed)
            return;
        auto done = std::move(connection->done);
        byId.erase(connection->exchange);
        close(connection);
        ports::ExchangeResult result;
        result.outcome = why;
        if (done)
            done(std::move(result));
    }

    void close(const ConnectionPtr &connection)
    {
        if (connection->state == Connection::State::Closed)
            return;
        connection->state = Connection::State::Closed;
        connection->done = nullptr;
        error_code ec;
        connection->socket.close(ec);
        const auto it = pool.find(connection->address);
        if (it != pool.end())
            std::erase(it->second, connection);
    }

    asio::io_context &io;
    ExchangeOptions options;
    std::unordered_map<std::string, std::vector<ConnectionPtr>> pool;
    std::unordered_map<ExchangeId, ConnectionPtr> byId;
    ExchangeId lastId = 0;
    std::uint64_t opened = 0;
};

ExchangeClient::ExchangeClient(asio::io_context &io, ExchangeOptions options)
    : m_impl(std::make_unique<Impl>(io, options))
{ }

ExchangeClient::~ExchangeClient() = default;

ExchangeId ExchangeClient::send(const std::string &address, ports::ExchangeRequest request,
                                TimePoint now, Done done)
{
    const auto id = ++m_impl->lastId;
    auto connection = request.freshConnection ? nullptr : m_impl->takeIdle(address, now);
    const bool reused = connection != nullptr;
    if (!reused)
        connection = std::make_shared<Connection>(m_impl->io);
    connection->address = address;
    connection->exchange = id;
    connection->request = std::move(request);
    connection->done = std::move(done);
    connection->since = now;
    m_impl->byId[id] = connection;
    if (reused) {
        m_impl->write(connection);
    } else {
        m_impl->open(connection);
    }
    return id;
}

void ExchangeClient::abort(ExchangeId id)
{
    const auto it = m_impl->byId.find(id);
    if (it == m_impl->byId.end())
        return;
    const auto connection = it->second;
    m_impl->byId.erase(it);
    m_impl->close(connection);
}

void ExchangeClient::tick(TimePoint now)
{
    std::vector<std::pair<ConnectionPtr, ExchangeOutcome>> late;
    for (const auto &it : m_impl->byId) {
        const auto &connection = it.second;
        const bool connecting = connection->state == Connection::State::Connecting;
        const bool expired = now >= connection->request.deadline;
        const bool unopened = connecting && now - connection->since > m_impl->options.connectTime;
        if (expired || unopened) {
            late.emplace_back(connection,
                              connecting ? ExchangeOutcome::NotReached : ExchangeOutcome::TimedOut);
        }
    }
    for (const auto &it : late)
        m_impl->end(it.first, it.second);
    std::vector<ConnectionPtr> stale;
    for (const auto &it : m_impl->pool) {
        for (const auto &connection : it.second) {
            if (now >= connection->usableUntil)
                stale.push_back(connection);
        }
    }
    for (const auto &it : stale)
        m_impl->close(it);
    std::erase_if(m_impl->pool, [](const auto &it) { return it.second.empty(); });
}

void ExchangeClient::setIdleTime(core::Millis time)
{
    m_impl->options.idleTime = time;
}

std::uint64_t ExchangeClient::opened() const
{
    return m_impl->opened;
}

} // namespace goldcrestline::adapters::loop
