#include "adapters/loop/exchange_client.h"

#include "adapters/loop/endpoint.h"
#include "adapters/loop/response_body.h"

#include <algorithm>
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
using ports::BrokenCause;
using ports::ExchangeId;
using ports::ExchangeOutcome;

namespace {

// Read buffer of a connection, sized for one short response. After a read that does not fill the
// buffer no further system call is needed to find the socket drained.
constexpr std::size_t readBufferBytes = 2048;
// The same while a long response arrives, and the bytes from which a response is long.
constexpr std::size_t bulkBufferBytes = 32UL * 1024;
constexpr std::uint64_t longResponseBytes = 32UL * 1024;
constexpr std::uint32_t maxResponseHeaderBytes = 64 * 1024;
// Received bytes that the parser cannot consume yet: an unfinished header, chunk extension or
// trailer.
constexpr std::size_t maxUnparsedBytes = maxResponseHeaderBytes;
// Responses of one exchange that are discarded, as interim ones or as those to earlier requests,
// before the exchange ends as broken.
constexpr int maxDiscardedResponses = 16;
// An idle connection is not reused within this margin before its idle timeout ends: the server may
// already be closing it, and the request would fail.
constexpr core::Millis keepAliveMargin{300};
constexpr int maxUnansweredProbes = 2;

constexpr unsigned lowestStatus = 100;
constexpr unsigned lowestFinalStatus = 200;
constexpr unsigned lowestErrorStatus = 300;
constexpr unsigned highestStatus = 599;

using Parser = http::response_parser<ResponseBody>;

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
    // Set while the connection is opened without a request.
    std::function<void(core::ConnectOutcome)> connectDone;
    std::vector<char> buf = std::vector<char>(readBufferBytes);
    std::optional<Parser> parser;
    // Received bytes that the parser needs more data to consume.
    std::string unparsed;
    // Rest of the request after a partial write to the socket.
    std::string unsent;
    // Bytes received since the request was sent.
    std::uint64_t receivedBytes = 0;
    // Bytes of the head that were parsed, and all bytes that are kept of the unfinished response.
    std::uint64_t headBytes = 0;
    std::uint64_t keptBytes = 0;
    int discardedResponses = 0;
    // A response to another request was received: the connection must not be reused.
    bool desynchronised = false;
    // Time at which the exchange started or the connection became idle.
    TimePoint stateSince{};
    // Time from which the idle connection must not be reused.
    TimePoint usableUntil = TimePoint::max();
};
using ConnectionPtr = std::shared_ptr<Connection>;

void setSocketOptions(tcp::socket &socket, int keepAliveIdleSeconds)
{
    error_code ec;
    socket.set_option(tcp::no_delay(true), ec);
    if (keepAliveIdleSeconds <= 0)
        return;
    const int fd = socket.native_handle();
    const int enabled = 1;
    const int intervalSeconds = 1;
    const int userTimeoutMs = 1000 * (keepAliveIdleSeconds + maxUnansweredProbes);
    // Errors are ignored: without these options a dead connection is detected by the timeout of its
    // exchange.
    ::setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &enabled, sizeof enabled);
    ::setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &keepAliveIdleSeconds, sizeof keepAliveIdleSeconds);
    ::setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &intervalSeconds, sizeof intervalSeconds);
    ::setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &maxUnansweredProbes, sizeof maxUnansweredProbes);
    ::setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &userTimeoutMs, sizeof userTimeoutMs);
}

// Returns the timeout of the response's Keep-Alive header, or nothing.
std::optional<core::Millis> advertisedIdleTimeout(const http::response<ResponseBody> &response)
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

    // Removes a reusable connection from the pool and returns it, or null. Closes expired ones.
    ConnectionPtr acquireIdleConnection(const std::string &address, TimePoint now)
    {
        auto &idle = idlePool[address];
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
            asio::post(io, [this, connection] { fail(connection, ExchangeOutcome::NotReached); });
            return;
        }
        ++connectionsOpened;
        error_code ec;
        connection->socket.open(endpoint->protocol(), ec);
        setSocketOptions(connection->socket, options.keepAliveIdleSeconds);
        connection->socket.async_connect(*endpoint, [this, connection](error_code ec) {
            if (connection->state != Connection::State::Connecting)
                return;
            if (ec == asio::error::connection_refused && connection->connectDone)
                return finishCheck(connection, core::ConnectOutcome::Refused);
            if (ec)
                return fail(connection, ExchangeOutcome::NotReached);
            error_code ignored;
            connection->socket.non_blocking(true, ignored);
            if (connection->connectDone) {
                keepIdle(connection, options.idleTimeout);
                startRead(connection);
                return finishCheck(connection, core::ConnectOutcome::Connected);
            }
            write(connection);
            startRead(connection);
        });
    }

    void write(const ConnectionPtr &connection)
    {
        connection->state = Connection::State::Busy;
        connection->discardedResponses = 0;
        connection->receivedBytes = 0;
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
                    fail(connection, ExchangeOutcome::NotReached);
            });
            return;
        }
        if (sent == asio::buffer_size(buffers))
            return;
        std::string all = *request.commonHead + request.attemptHead + "\r\n" + body;
        connection->unsent = all.substr(sent);
        asio::async_write(connection->socket, asio::buffer(connection->unsent),
                          [connection](error_code ec, std::size_t) {
                              // A write error also fails the pending read, which ends the exchange.
                              if (!ec)
                                  connection->unsent.clear();
                          });
    }

    void startRead(const ConnectionPtr &connection)
    {
        const bool isLong = connection->state == Connection::State::Busy
            && connection->receivedBytes > longResponseBytes;
        const auto bufferBytes = isLong ? bulkBufferBytes : readBufferBytes;
        if (connection->buf.size() != bufferBytes)
            connection->buf = std::vector<char>(bufferBytes);
        connection->socket.async_read_some(asio::buffer(connection->buf),
                                           [this, connection](error_code ec, std::size_t n) {
                                               if (connection->state == Connection::State::Closed)
                                                   return;
                                               if (ec)
                                                   return onReadError(connection, ec);
                                               onRead(connection, n);
                                           });
    }

    void onRead(const ConnectionPtr &connection, std::size_t n)
    {
        bytesReceived += n;
        connection->receivedBytes += n;
        extendDeadline(connection->request);
        if (connection->state != Connection::State::Busy) {
            // Bytes without a request in progress.
            return close(connection);
        }
        const std::string_view bytes(connection->buf.data(), n);
        if (connection->unparsed.empty()) {
            parse(connection, bytes);
        } else {
            const auto joined = std::move(connection->unparsed) + std::string(bytes);
            connection->unparsed.clear();
            parse(connection, joined);
        }
        if (connection->state != Connection::State::Closed)
            startRead(connection);
    }

    static void extendDeadline(ports::ExchangeRequest &request)
    {
        if (request.progressTimeout == core::Millis(0))
            return;
        request.deadline = std::max(request.deadline, core::Clock::now() + request.progressTimeout);
    }

    void parse(const ConnectionPtr &connection, std::string_view bytes)
    {
        while (!bytes.empty()) {
            error_code ec;
            auto &parser = *connection->parser;
            const bool inHead = !parser.is_header_done();
            const auto n = parser.put(asio::buffer(bytes.data(), bytes.size()), ec);
            bytes.remove_prefix(n);
            if (inHead && !parser.is_header_done())
                connection->headBytes += n;
            if (ec && ec != http::error::need_more)
                return failBroken(connection, causeOf(ec));
            if (parser.is_header_done() && !isStatus(parser.get().result_int()))
                return failBroken(connection, BrokenCause::Malformed);
            if (parser.is_done()) {
                if (!isExpectedResponse(*connection)) {
                    if (++connection->discardedResponses > maxDiscardedResponses)
                        return failBroken(connection, BrokenCause::Malformed);
                    restartParser(*connection);
                    continue;
                }
                return finish(connection, !bytes.empty());
            }
            if (ec == http::error::need_more || n == 0) {
                if (bytes.size() > maxUnparsedBytes)
                    return failBroken(connection, BrokenCause::TooLong);
                connection->unparsed.assign(bytes);
                break;
            }
        }
        // What is reserved for a known length is not in use before the bytes arrive.
        const auto &parser = *connection->parser;
        const auto &text = parser.get().body().text;
        countKeptBytes(*connection,
                       connection->headBytes + connection->unparsed.size()
                           + (parser.content_length() ? text.size() : text.capacity()));
        while (bufferedBytes > options.maxBufferedBytes) {
            const auto longest = longestResponse();
            if (!longest)
                return;
            failBroken(longest, BrokenCause::TooLong);
        }
    }

    // Returns the connection with the longest unfinished response, or null.
    ConnectionPtr longestResponse() const
    {
        const auto it =
            std::max_element(byId.begin(), byId.end(), [](const auto &a, const auto &b) {
                return a.second->keptBytes < b.second->keptBytes;
            });
        return it == byId.end() || it->second->keptBytes == 0 ? nullptr : it->second;
    }

    // Returns whether the number is a status of HTTP (RFC 9110, section 15) that a server may send.
    // A change of the protocol is never requested.
    static bool isStatus(unsigned number)
    {
        return number >= lowestStatus && number <= highestStatus
            && number != static_cast<unsigned>(http::status::switching_protocols);
    }

    void countKeptBytes(Connection &connection, std::uint64_t n)
    {
        bufferedBytes += n - connection.keptBytes;
        connection.keptBytes = n;
    }

    // Returns whether the parsed response is the final response to the current request. Interim
    // (1xx) responses are not, nor are responses to earlier requests, which mark the connection as
    // desynchronised.
    static bool isExpectedResponse(Connection &connection)
    {
        const auto &response = connection.parser->get();
        if (response.result_int() < lowestFinalStatus)
            return false;
        const auto &request = connection.request;
        if (request.identityHeader.empty())
            return true;
        const auto it = response.find(request.identityHeader);
        if (it != response.end() && it->value() == request.identity)
            return true;
        // Without the header, a success may be the response to any request; an error may come from
        // a server that did not read the request.
        if (it == response.end() && response.result_int() >= lowestErrorStatus)
            return true;
        connection.desynchronised = true;
        return false;
    }

    void restartParser(Connection &connection)
    {
        connection.headBytes = 0;
        countKeptBytes(connection, 0);
        connection.parser.emplace();
        connection.parser->eager(true);
        connection.parser->header_limit(maxResponseHeaderBytes);
        auto *const bodyReader = connection.request.bodyReader.get();
        connection.parser->get().body().bodyReader = bodyReader;
        connection.parser->body_limit(bodyReader == nullptr ? options.maxBodyBytes
                                                            : options.maxReadBytes);
        connection.parser->skip(connection.request.bodyless);
    }

    void onReadError(const ConnectionPtr &connection, error_code ec)
    {
        if (connection->state != Connection::State::Busy)
            return close(connection);
        auto &parser = *connection->parser;
        // A body without a length is complete only if the connection was closed cleanly, not reset.
        if (ec == asio::error::eof && parser.is_header_done() && parser.need_eof()) {
            error_code ended;
            parser.put_eof(ended);
            if (!ended && parser.is_done() && isExpectedResponse(*connection))
                return finish(connection, true);
        }
        failBroken(connection, BrokenCause::ConnectionEnded);
    }

    // Ends the check of a connection without a request.
    void finishCheck(const ConnectionPtr &connection, core::ConnectOutcome outcome)
    {
        byId.erase(connection->exchange);
        connection->exchange = 0;
        if (outcome != core::ConnectOutcome::Connected)
            close(connection);
        std::exchange(connection->connectDone, nullptr)(outcome);
    }

    // Adds the connection to the pool.
    void keepIdle(const ConnectionPtr &connection, core::Millis idleTimeout)
    {
        const auto now = core::Clock::now();
        connection->state = Connection::State::Idle;
        connection->stateSince = now;
        connection->usableUntil =
            now + std::min<core::Millis>(options.idleTimeout, idleTimeout) - keepAliveMargin;
        idlePool[connection->address].push_back(connection);
    }

    // Completes the exchange with the parsed response. Closes the connection if it cannot be
    // reused.
    void finish(const ConnectionPtr &connection, bool notReusable)
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
            return failBroken(connection, BrokenCause::Malformed);
        result.closing = !response.keep_alive();
        result.body = std::move(response.body().text);
        result.bodyReader = connection->request.bodyReader;
        auto done = std::move(connection->done);
        byId.erase(connection->exchange);
        connection->parser.reset();
        countKeptBytes(*connection, 0);
        const bool keep = !notReusable && !connection->desynchronised && !result.closing
            && !connection->request.freshConnection && connection->unsent.empty();
        if (keep) {
            connection->request = {};
            connection->done = nullptr;
            connection->exchange = 0;
            keepIdle(connection, advertisedIdleTimeout(response).value_or(options.idleTimeout));
        } else {
            close(connection);
        }
        done(std::move(result));
    }

    static BrokenCause causeOf(error_code ec)
    {
        const bool tooLong = ec == http::error::body_limit || ec == http::error::header_limit
            || ec == http::error::buffer_overflow;
        return tooLong ? BrokenCause::TooLong : BrokenCause::Malformed;
    }

    void failBroken(const ConnectionPtr &connection, BrokenCause cause)
    {
        fail(connection, ExchangeOutcome::Broken, cause);
    }

    // Ends the exchange without a response and closes the connection. `cause`: with Broken.
    void fail(const ConnectionPtr &connection, ExchangeOutcome why,
              BrokenCause cause = BrokenCause::Malformed)
    {
        if (connection->state == Connection::State::Closed)
            return;
        if (connection->connectDone)
            return finishCheck(connection, core::ConnectOutcome::Failed);
        auto done = std::move(connection->done);
        auto bodyReader = connection->request.bodyReader;
        byId.erase(connection->exchange);
        close(connection);
        ports::ExchangeResult result;
        result.outcome = why;
        result.cause = cause;
        result.bodyReader = std::move(bodyReader);
        if (done)
            done(std::move(result));
    }

    void close(const ConnectionPtr &connection)
    {
        if (connection->state == Connection::State::Closed)
            return;
        connection->state = Connection::State::Closed;
        connection->done = nullptr;
        countKeptBytes(*connection, 0);
        error_code ec;
        connection->socket.close(ec);
        const auto it = idlePool.find(connection->address);
        if (it != idlePool.end())
            std::erase(it->second, connection);
    }

    asio::io_context &io;
    ExchangeOptions options;
    // Idle connections by server address; the last one was used most recently.
    std::unordered_map<std::string, std::vector<ConnectionPtr>> idlePool;
    std::unordered_map<ExchangeId, ConnectionPtr> byId;
    ExchangeId lastId = 0;
    std::uint64_t connectionsOpened = 0;
    std::uint64_t bytesReceived = 0;
    // Bytes that are kept of the unfinished responses of all exchanges.
    std::uint64_t bufferedBytes = 0;
};

ExchangeClient::ExchangeClient(asio::io_context &io, ExchangeOptions options)
    : m_impl(std::make_unique<Impl>(io, options))
{ }

ExchangeClient::~ExchangeClient() = default;

ExchangeId ExchangeClient::send(const std::string &address, ports::ExchangeRequest request,
                                TimePoint now, Done done)
{
    const auto id = ++m_impl->lastId;
    auto connection =
        request.freshConnection ? nullptr : m_impl->acquireIdleConnection(address, now);
    const bool reused = connection != nullptr;
    if (!reused)
        connection = std::make_shared<Connection>(m_impl->io);
    connection->address = address;
    connection->exchange = id;
    connection->request = std::move(request);
    connection->done = std::move(done);
    connection->stateSince = now;
    m_impl->byId[id] = connection;
    if (reused) {
        m_impl->write(connection);
    } else {
        m_impl->open(connection);
    }
    return id;
}

void ExchangeClient::checkConnect(const std::string &address, TimePoint now,
                                  std::function<void(core::ConnectOutcome)> done)
{
    auto connection = std::make_shared<Connection>(m_impl->io);
    connection->address = address;
    connection->exchange = ++m_impl->lastId;
    connection->connectDone = std::move(done);
    connection->stateSince = now;
    m_impl->byId[connection->exchange] = connection;
    m_impl->open(connection);
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

std::uint64_t ExchangeClient::receivedBytes(ExchangeId id) const
{
    const auto it = m_impl->byId.find(id);
    return it == m_impl->byId.end() ? 0 : it->second->receivedBytes;
}

void ExchangeClient::tick(TimePoint now)
{
    std::vector<std::pair<ConnectionPtr, ExchangeOutcome>> timedOut;
    for (const auto &it : m_impl->byId) {
        const auto &connection = it.second;
        const bool connecting = connection->state == Connection::State::Connecting;
        const bool expired = now >= connection->request.deadline;
        const bool connectTimedOut =
            connecting && now - connection->stateSince > m_impl->options.connectTimeout;
        if (expired || connectTimedOut) {
            timedOut.emplace_back(
                connection, connecting ? ExchangeOutcome::NotReached : ExchangeOutcome::TimedOut);
        }
    }
    for (const auto &it : timedOut)
        m_impl->fail(it.first, it.second);
    std::vector<ConnectionPtr> expiredIdle;
    for (const auto &it : m_impl->idlePool) {
        for (const auto &connection : it.second) {
            if (now >= connection->usableUntil)
                expiredIdle.push_back(connection);
        }
    }
    for (const auto &it : expiredIdle)
        m_impl->close(it);
    std::erase_if(m_impl->idlePool, [](const auto &it) { return it.second.empty(); });
}

void ExchangeClient::closeIdle()
{
    std::vector<ConnectionPtr> idle;
    for (const auto &it : m_impl->idlePool)
        idle.insert(idle.end(), it.second.begin(), it.second.end());
    for (const auto &it : idle)
        m_impl->close(it);
}

void ExchangeClient::setIdleTimeout(core::Millis time)
{
    m_impl->options.idleTimeout = time;
}

std::uint64_t ExchangeClient::bytesReceived() const
{
    return m_impl->bytesReceived;
}

std::uint64_t ExchangeClient::connectionsOpened() const
{
    return m_impl->connectionsOpened;
}

} // namespace goldcrestline::adapters::loop
