#include "adapters/loop/http_server.h"

#include "adapters/loop/endpoint.h"
#include "adapters/loop/request_head.h"

#include <algorithm>
#include <array>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>
#include <optional>
#include <stdexcept>
#include <unordered_set>

namespace goldcrestline::adapters::loop {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using tcp = asio::ip::tcp;
using boost::system::error_code;
using core::TimePoint;

namespace {

// Read buffer of a connection, sized for one short request. After a read that does not fill the
// buffer no further system call is needed to find the socket drained.
constexpr std::size_t readBufferBytes = 1024;
// Bytes of pipelined requests that are buffered while an earlier request is handled.
constexpr std::size_t maxPipelinedBytes = 64UL * 1024;
// Timeout for writing a response to the caller.
constexpr core::Millis writeTimeout{10000};
// Time between the end of the last response and the close of the connection, in which the caller
// can read the response while it still sends data.
constexpr core::Millis lingerTimeout{1000};
// Time for which a connection without a request is kept after the server stopped accepting, counted
// from its start: its caller is about to send one.
constexpr core::Millis newConnectionGrace{500};
// Delay before accepting again after a failure, such as running out of file descriptors.
constexpr core::Millis acceptRetryDelay{100};

constexpr int statusBadRequest = 400;
constexpr int statusRequestTimeout = 408;
constexpr int statusBodyTooLarge = 413;
constexpr int statusHeadTooLarge = 431;
constexpr int statusUnavailable = 503;

using Parser = http::request_parser<http::string_body>;

enum class SessionState { Idle, Reading, AwaitingResponse, Writing, Lingering, Closed };

struct Session
{
    explicit Session(tcp::socket socket) : socket(std::move(socket)) { }

    tcp::socket socket;
    // Network address of the caller without the port; empty if it disconnected at once.
    std::string callerAddress;
    SessionState state = SessionState::Idle;
    std::array<char, readBufferBytes> buf{};
    std::optional<Parser> parser;
    std::string unparsed;
    // Bytes of the head that were parsed, and all bytes that are kept of the unfinished request.
    std::uint64_t headBytes = 0;
    std::uint64_t keptBytes = 0;
    // An interim "100 Continue" response was sent for the current request.
    bool continueSent = false;
    // Rest of the response after a partial write to the socket.
    std::string unsent;
    std::uint64_t callId = 0;
    // Time at which tick() rejects an incomplete request or closes the connection.
    TimePoint deadline{};
    TimePoint startedAt{};
    // No request was received yet.
    bool isNew = true;
    bool readPending = false;
};
using SessionPtr = std::shared_ptr<Session>;

// Checks the headers that determine the length of a parsed request. Returns the error, or nothing
// if they are valid.
std::optional<std::string> findFieldError(const http::request<http::string_body> &request)
{
    if (request.count(http::field::content_length) > 1)
        return "more than one Content-Length header";
    const auto encodings = request.count(http::field::transfer_encoding);
    if (encodings > 1)
        return "more than one Transfer-Encoding header";
    if (encodings == 1) {
        if (request.count(http::field::content_length) != 0)
            return "both Content-Length and Transfer-Encoding";
        if (!beast::iequals(request[http::field::transfer_encoding], "chunked"))
            return "unsupported Transfer-Encoding";
    }
    if (request.count(http::field::host) > 1)
        return "more than one Host header";
    return std::nullopt;
}

std::string statusLine(int status)
{
    const auto reason = http::obsolete_reason(http::int_to_status(static_cast<unsigned>(status)));
    return "HTTP/1.1 " + std::to_string(status) + " " + std::string(reason) + "\r\n";
}

} // namespace

struct HttpServer::Impl
{
    Impl(asio::io_context &io, HttpServerLimits limits, HttpServerHooks hooks)
        : io(io), acceptor(io), acceptRetryTimer(io), limits(limits), hooks(std::move(hooks))
    { }

    void listen(const std::string &address)
    {
        const auto endpoint = parseEndpoint<tcp>(address);
        if (!endpoint)
            throw std::runtime_error("listening address is not of the form IP:PORT: " + address);
        acceptor.open(endpoint->protocol());
        acceptor.set_option(tcp::acceptor::reuse_address(true));
        acceptor.bind(*endpoint);
        acceptor.listen();
        accept();
    }

    void accept()
    {
        acceptor.async_accept([this](error_code ec, tcp::socket socket) {
            // An accept may complete just before the acceptor is closed.
            if (!ec)
                startSession(std::move(socket));
            if (ec == asio::error::operation_aborted || !acceptor.is_open())
                return;
            if (ec) {
                acceptRetryTimer.expires_after(acceptRetryDelay);
                acceptRetryTimer.async_wait([this](error_code cancelled) {
                    if (!cancelled)
                        accept();
                });
                return;
            }
            accept();
        });
    }

    // Accepts the connections that the kernel has established already. Closing the acceptor would
    // reset them, with the requests that they hold.
    void acceptPending()
    {
        error_code ec;
        acceptor.non_blocking(true, ec);
        while (!ec) {
            tcp::socket socket(io);
            acceptor.accept(socket, ec);
            if (!ec)
                startSession(std::move(socket));
        }
    }

    // Closes the connections on which no request has arrived, except new ones.
    void closeIdle(TimePoint now)
    {
        std::vector<SessionPtr> idle;
        for (const auto &it : sessions) {
            error_code ec;
            const bool unread = it->state == SessionState::Idle && it->socket.available(ec) > 0;
            const bool awaited = it->isNew && now < it->startedAt + newConnectionGrace;
            if (awaited)
                it->deadline = std::min(it->deadline, it->startedAt + newConnectionGrace);
            if (!unread && !awaited
                && (it->state == SessionState::Idle || it->state == SessionState::Lingering))
                idle.push_back(it);
        }
        for (const auto &it : idle)
            close(it);
    }

    void startSession(tcp::socket socket)
    {
        error_code ec;
        socket.non_blocking(true, ec);
        socket.set_option(tcp::no_delay(true), ec);
        const auto session = std::make_shared<Session>(std::move(socket));
        const auto caller = session->socket.remote_endpoint(ec);
        if (!ec)
            session->callerAddress = caller.address().to_string();
        sessions.insert(session);
        session->startedAt = core::Clock::now();
        session->deadline = session->startedAt + limits.idleTimeout;
        startRead(session);
    }

    void startRead(const SessionPtr &session)
    {
        if (session->readPending || session->state == SessionState::Closed)
            return;
        session->readPending = true;
        session->socket.async_read_some(asio::buffer(session->buf),
                                        [this, session](error_code ec, std::size_t n) {
                                            session->readPending = false;
                                            if (session->state == SessionState::Closed)
                                                return;
                                            if (ec)
                                                return onReadError(session);
                                            onRead(session, n);
                                        });
    }

    void onRead(const SessionPtr &session, std::size_t n)
    {
        const auto now = core::Clock::now();
        switch (session->state) {
        case SessionState::Idle:
            session->state = SessionState::Reading;
            session->isNew = false;
            session->deadline = now + limits.headerTimeout;
            break;
        case SessionState::Lingering:
            return startRead(session);
        default:
            break;
        }
        session->unparsed.append(session->buf.data(), n);
        if (session->state == SessionState::Reading)
            parse(session, now);
        // Reading stops at the limit and resumes when the earlier requests have been answered.
        if (session->unparsed.size() < maxPipelinedBytes)
            startRead(session);
    }

    void parse(const SessionPtr &session, TimePoint now)
    {
        if (!session->parser)
            startParser(*session);
        auto &parser = *session->parser;
        if (!parser.is_header_done() && !checkHead(session))
            return;
        error_code ec;
        std::size_t consumed = 0;
        const bool headWasDone = parser.is_header_done();
        while (consumed < session->unparsed.size() && !parser.is_done() && !ec) {
            const auto n = parser.put(asio::buffer(session->unparsed.data() + consumed,
                                                   session->unparsed.size() - consumed),
                                      ec);
            consumed += n;
            if (n == 0)
                break;
            if (!headWasDone && parser.is_header_done() && !checkFields(session))
                return;
            if (!parser.is_header_done())
                session->headBytes += n;
        }
        session->unparsed.erase(0, consumed);
        if (ec && ec != http::error::need_more)
            return reject(session, statusOf(ec), ec.message());
        if (!parser.is_done()) {
            // Each received part of a body restarts the header timeout.
            if (headWasDone)
                session->deadline = now + limits.headerTimeout;
            return countAndBound(*session);
        }
        dispatch(session, now);
    }

    void countKeptBytes(Session &session, std::uint64_t n)
    {
        bufferedBytes += n - session.keptBytes;
        session.keptBytes = n;
    }

    // Counts what is kept of an unfinished request, and rejects the longest ones while that is too
    // much for all of them.
    void countAndBound(Session &session)
    {
        countKeptBytes(session,
                       session.headBytes + session.unparsed.size()
                           + session.parser->get().body().size());
        // A single request may be as long as its own limit.
        const auto most = std::max(limits.maxBufferedBytes, limits.maxBodyBytes);
        while (bufferedBytes > most) {
            const auto it = std::max_element(
                sessions.begin(), sessions.end(),
                [](const auto &a, const auto &b) { return a->keptBytes < b->keptBytes; });
            if (it == sessions.end() || (*it)->keptBytes == 0)
                return;
            // Rejecting may remove the connection from the set.
            reject(SessionPtr(*it), statusUnavailable, "too many large requests at a time");
        }
    }

    void startParser(Session &session)
    {
        session.headBytes = 0;
        session.parser.emplace();
        session.parser->eager(true);
        session.parser->header_limit(static_cast<std::uint32_t>(limits.maxHeaderBytes));
        session.parser->body_limit(limits.maxBodyBytes);
        session.continueSent = false;
    }

    bool checkHead(const SessionPtr &session)
    {
        std::string_view head(session->unparsed);
        const auto end = head.find("\r\n\r\n");
        if (end != std::string_view::npos)
            head = head.substr(0, end + 4);
        if (head.size() > limits.maxHeaderBytes) {
            reject(session, statusHeadTooLarge, "request head too large");
            return false;
        }
        if (const auto error = findHeadError(head)) {
            reject(session, statusBadRequest, *error);
            return false;
        }
        return true;
    }

    bool checkFields(const SessionPtr &session)
    {
        const auto &request = session->parser->get();
        if (const auto error = findFieldError(request)) {
            reject(session, statusBadRequest, *error);
            return false;
        }
        const auto length = session->parser->content_length();
        if (length && *length > limits.maxBodyBytes) {
            reject(session, statusBodyTooLarge, "request body too large");
            return false;
        }
        if (beast::iequals(request[http::field::expect], "100-continue")
            && !session->continueSent) {
            session->continueSent = true;
            error_code ec;
            // A write error is ignored: callers send the body after a delay without this response.
            session->socket.write_some(asio::buffer("HTTP/1.1 100 Continue\r\n\r\n", 25), ec);
        }
        return true;
    }

    static int statusOf(error_code ec)
    {
        if (ec == http::error::body_limit)
            return statusBodyTooLarge;
        return ec == http::error::header_limit ? statusHeadTooLarge : statusBadRequest;
    }

    // Passes a complete request to the handler.
    void dispatch(const SessionPtr &session, TimePoint now)
    {
        countKeptBytes(*session, 0);
        session->state = SessionState::AwaitingResponse;
        session->deadline = TimePoint::max();
        session->callId = ++lastCallId;
        HttpCall call;
        call.id = session->callId;
        auto &message = session->parser->get();
        call.request.method = std::string(message.method_string());
        call.request.target = std::string(message.target());
        for (const auto &it : message) {
            call.request.headers.push_back(
                {std::string(it.name_string()), std::string(it.value())});
        }
        call.request.body = std::move(message.body());
        call.callerAddress = session->callerAddress;
        call.respond = [this, weak = std::weak_ptr<Session>(session),
                        id = session->callId](const ports::OutgoingResponse &answer) {
            const auto target = weak.lock();
            if (target && target->state == SessionState::AwaitingResponse && target->callId == id)
                write(target, answer, target->parser->get().keep_alive() && !keepAliveDisabled);
        };
        hooks.onCall(std::move(call), now);
    }

    // Responds with an error and closes the connection.
    void reject(const SessionPtr &session, int status, const std::string &why)
    {
        write(session, hooks.buildErrorResponse(status, why), false);
    }

    void write(const SessionPtr &session, const ports::OutgoingResponse &answer, bool keepAlive)
    {
        countKeptBytes(*session, 0);
        session->state = SessionState::Writing;
        session->deadline = core::Clock::now() + writeTimeout;
        const bool isHeadRequest =
            session->parser && session->parser->get().method() == http::verb::head;
        std::string head = statusLine(answer.status);
        for (const auto &it : answer.headers)
            head += it.name + ": " + it.value + "\r\n";
        head += "Content-Length: " + std::to_string(answer.body.size()) + "\r\n";
        head += keepAlive ? "\r\n" : "Connection: close\r\n\r\n";
        static const std::string emptyBody;
        const auto &body = isHeadRequest ? emptyBody : answer.body;
        const std::array<asio::const_buffer, 2> buffers{asio::buffer(head), asio::buffer(body)};
        error_code ec;
        const auto sent = session->socket.write_some(buffers, ec);
        if (ec && ec != asio::error::would_block)
            return close(session);
        if (sent == asio::buffer_size(buffers))
            return onWritten(session, keepAlive);
        session->unsent = (head + body).substr(sent);
        asio::async_write(session->socket, asio::buffer(session->unsent),
                          [this, session, keepAlive](error_code failed, std::size_t) {
                              if (session->state == SessionState::Closed)
                                  return;
                              if (failed)
                                  return close(session);
                              session->unsent.clear();
                              onWritten(session, keepAlive);
                          });
    }

    void onWritten(const SessionPtr &session, bool keepAlive)
    {
        session->parser.reset();
        const auto now = core::Clock::now();
        if (!keepAlive) {
            // Closing a socket with unread bytes resets the connection, and the caller may lose the
            // response.
            error_code ec;
            session->socket.shutdown(tcp::socket::shutdown_send, ec);
            session->state = SessionState::Lingering;
            session->deadline = now + lingerTimeout;
            session->unparsed.clear();
            return startRead(session);
        }
        session->state = SessionState::Idle;
        session->deadline = now + limits.idleTimeout;
        if (!session->unparsed.empty()) {
            session->state = SessionState::Reading;
            session->deadline = now + limits.headerTimeout;
            // Posted, because direct calls would recurse once for each pipelined request.
            asio::post(io, [this, session] {
                if (session->state == SessionState::Reading)
                    parse(session, core::Clock::now());
            });
        }
        startRead(session);
    }

    void onReadError(const SessionPtr &session)
    {
        const bool awaitingResponse = session->state == SessionState::AwaitingResponse;
        const auto callId = session->callId;
        close(session);
        if (awaitingResponse)
            hooks.onCallerDisconnect(callId, core::Clock::now());
    }

    void close(const SessionPtr &session)
    {
        countKeptBytes(*session, 0);
        session->state = SessionState::Closed;
        error_code ec;
        session->socket.close(ec);
        sessions.erase(session);
    }

    asio::io_context &io;
    tcp::acceptor acceptor;
    asio::steady_timer acceptRetryTimer;
    HttpServerLimits limits;
    // Bytes that are kept of the unfinished requests of all connections.
    std::uint64_t bufferedBytes = 0;
    HttpServerHooks hooks;
    std::unordered_set<SessionPtr> sessions;
    std::uint64_t lastCallId = 0;
    bool keepAliveDisabled = false;
};

HttpServer::HttpServer(asio::io_context &io, const std::string &address, HttpServerLimits limits,
                       HttpServerHooks hooks)
    : m_impl(std::make_unique<Impl>(io, limits, std::move(hooks)))
{
    m_impl->listen(address);
}

HttpServer::~HttpServer() = default;

unsigned short HttpServer::port() const
{
    return m_impl->acceptor.local_endpoint().port();
}

void HttpServer::setLimits(HttpServerLimits limits)
{
    m_impl->limits = limits;
}

void HttpServer::tick(TimePoint now)
{
    std::vector<SessionPtr> expired;
    for (const auto &it : m_impl->sessions) {
        if (it->deadline <= now)
            expired.push_back(it);
    }
    for (const auto &it : expired) {
        if (it->state == SessionState::Reading) {
            m_impl->reject(it, statusRequestTimeout, "request not received completely in time");
        } else {
            m_impl->close(it);
        }
    }
}

void HttpServer::disableKeepAlive()
{
    m_impl->keepAliveDisabled = true;
}

void HttpServer::stopAccepting()
{
    m_impl->acceptPending();
    error_code ec;
    m_impl->acceptor.close(ec);
    // Reads that have completed are handled first.
    asio::post(m_impl->io, [this] { m_impl->closeIdle(core::Clock::now()); });
}

std::size_t HttpServer::activeConnections() const
{
    std::size_t n = 0;
    for (const auto &it : m_impl->sessions) {
        const bool isActive = (it->state == SessionState::Idle && it->isNew)
            || it->state == SessionState::Reading || it->state == SessionState::AwaitingResponse
            || it->state == SessionState::Writing;
        n += isActive ? 1 : 0;
    }
    return n;
}

} // namespace goldcrestline::adapters::loop
