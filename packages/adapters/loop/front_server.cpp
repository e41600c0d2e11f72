#include "adapters/loop/front_server.h"

#include "adapters/loop/endpoint.h"
#include "adapters/loop/request_head.h"

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

// Bytes read from a connection at a time: one short request. A read that fills less of it costs
// no further system call.
constexpr std::size_t readBytes = 1024;
// Bytes of pipelined requests that are kept while one is answered.
constexpr std::size_t pipelineBytes = 64UL * 1024;
// Time in which a caller must take its answer.
constexpr core::Millis writeTime{10000};
// Time in which a refused caller may read the refusal before its unsent bytes are cut off.
constexpr core::Millis lingerTime{1000};
// Pause before accepting again when descriptors are used up.
constexpr core::Millis acceptPause{100};

constexpr int badRequest = 400;
constexpr int requestTimeout = 408;
constexpr int bodyTooLarge = 413;
constexpr int headTooLarge = 431;

using Parser = http::request_parser<http::string_body>;

enum class SessionState { Idle, Reading, Answering, Writing, Lingering, Closed };

struct Session
{
    explicit Session(tcp::socket socket) : socket(std::move(socket)) { }

    tcp::socket socket;
    SessionState state = SessionState::Idle;
    std::array<char, readBytes> buf{};
    std::optional<Parser> parser;
    std::string unparsed;
    // Bytes of the head that were checked.
    std::size_t checked = 0;
    bool continued = false;
    std::string unsent;
    std::uint64_t call = 0;
    TimePoint until{};
    bool reading = false;
};
using SessionPtr = std::shared_ptr<Session>;

// Tells what is wrong with a parsed head, or nothing.
std::optional<std::string> faultInFields(const http::request<http::string_body> &request)
{
    if (request.count(http::field::content_length) > 1)
        return "more than one Content-Length";
    const auto encodings = request.count(http::field::transfer_encoding);
    if (encodings > 1)
        return "more than one Transfer-Encoding";
    if (encodings == 1) {
        if (request.count(http::field::content_length) != 0)
            return "Content-Length beside Transfer-Encoding";
        if (!beast::iequals(request[http::field::transfer_encoding], "chunked"))
            return "unknown Transfer-Encoding";
    }
    if (request.count(http::field::host) > 1)
        return "more than one Host";
    return std::nullopt;
}

std::string statusLine(int status)
{
    const auto reason = http::obsolete_reason(http::int_to_status(static_cast<unsigned>(status)));
    return "HTTP/1.1 " + std::to_string(status) + " " + std::string(reason) + "\r\n";
}

} // namespace

struct FrontServer::Impl
{
    Impl(asio::io_context &io, FrontLimits limits, FrontHooks hooks)
        : io(io), acceptor(io), retry(io), limits(limits), hooks(std::move(hooks))
    { }

    void listen(const std::string &address)
    {
        const auto endpoint = parseEndpoint<tcp>(address);
        if (!endpoint)
            throw std::runtime_error("not an address: " + address);
        acceptor.open(endpoint->protocol());
        acceptor.set_option(tcp::acceptor::reuse_address(true));
        acceptor.bind(*endpoint);
        acceptor.listen();
        accept();
    }

    void accept()
    {
        acceptor.async_accept([this](error_code ec, tcp::socket socket) {
            if (ec == asio::error::operation_aborted || !acceptor.is_open())
                return;
            if (ec) {
                retry.expires_after(acceptPause);
                retry.async_wait([this](error_code aborted) {
                    if (!aborted)
                        accept();
                });
                return;
            }
            begin(std::move(socket));
            accept();
        });
    }

    void begin(tcp::socket socket)
    {
        error_code ec;
        socket.non_blocking(true, ec);
        socket.set_option(tcp::no_delay(true), ec);
        const auto session = std::make_shared<Session>(std::move(socket));
        sessions.insert(session);
        session->until = core::Clock::now() + limits.idleTime;
        awaitBytes(session);
    }

    void awaitBytes(const SessionPtr &session)
    {
        if (session->reading || session->state == SessionState::Closed)
            return;
        session->reading = true;
        session->socket.async_read_some(asio::buffer(session->buf),
                                        [this, session](error_code ec, std::size_t n) {
                                            session->reading = false;
                                            if (session->state == SessionState::Closed)
                                                return;
                                            if (ec)
                                                return onEnd(session);
                                            onBytes(session, n);
                                        });
    }

    void onBytes(const SessionPtr &session, std::size_t n)
    {
        const auto now = core::Clock::now();
        switch (session->state) {
        case SessionState::Idle:
            session->state = SessionState::Reading;
            session->until = now + limits.headerTime;
            break;
        case SessionState::Lingering:
            return awaitBytes(session);
        default:
            break;
        }
        session->unparsed.append(session->buf.data(), n);
        if (session->state == SessionState::Reading)
            parse(session, now);
        // A caller that pipelines more waits until its earlier requests are answered.
        if (session->unparsed.size() < pipelineBytes)
            awaitBytes(session);
    }

    void parse(const SessionPtr &session, TimePoint now)
    {
        if (!session->parser)
            startParser(*session);
        auto &parser = *session->parser;
        if (!parser.is_header_done() && !checkHead(session))
            return;
        error_code ec;
        std::size_t used = 0;
        const bool headBefore = parser.is_header_done();
        while (used < session->unparsed.size() && !parser.is_done() && !ec) {
            const auto n = parser.put(
                asio::buffer(session->unparsed.data() + used, session->unparsed.size() - used), ec);
            used += n;
            if (n == 0)
                break;
            if (!headBefore && parser.is_header_done() && !checkFields(session))
                return;
        }
        session->unparsed.erase(0, used);
        if (ec && ec != http::error::need_more)
            return refuse(session, statusOf(ec), ec.message());
        if (!parser.is_done()) {
            // Slow bodies have as long for each piece as a head has.
            if (headBefore)
                session->until = now + limits.headerTime;
            return;
        }
        passOn(session, now);
    }

    void startParser(Session &session)
    {
        session.parser.emplace();
        session.parser->eager(true);
        session.parser->header_limit(static_cast<std::uint32_t>(limits.headerBytes));
        session.parser->body_limit(limits.bodyBytes);
        session.checked = 0;
        session.continued = false;
    }

    bool checkHead(const SessionPtr &session)
    {
        std::string_view head(session->unparsed);
        const auto end = head.find("\r\n\r\n");
        if (end != std::string_view::npos)
            head = head.substr(0, end + 4);
        if (head.size() > limits.headerBytes) {
            refuse(session, headTooLarge, "head too large");
            return false;
        }
        if (const auto fault = faultInHead(head)) {
            refuse(session, badRequest, *fault);
            return false;
        }
        return true;
    }

    bool checkFields(const SessionPtr &session)
    {
        const auto &request = session->parser->get();
        if (const auto fault = faultInFields(request)) {
            refuse(session, badRequest, *fault);
            return false;
        }
        const auto length = session->parser->content_length();
        if (length && *length > limits.bodyBytes) {
            refuse(session, bodyTooLarge, "body too large");
            return false;
        }
        if (beast::iequals(request[http::field::expect], "100-continue") && !session->continued) {
            session->continued = true;
            error_code ec;
            // A caller that does not get the interim answer sends its body all the same.
            session->socket.write_some(asio::buffer("HTTP/1.1 100 Continue\r\n\r\n", 25), ec);
        }
        return true;
    }

    static int statusOf(error_code ec)
    {
        if (ec == http::error::body_limit)
            return bodyTooLarge;
        return ec == http::error::header_limit ? headTooLarge : badRequest;
    }

    void passOn(const SessionPtr &session, TimePoint now)
    {
        session->state = SessionState::Answering;
        session->until = TimePoint::max();
        session->call = ++lastCall;
        FrontCall call;
        call.id = session->call;
        auto &message = session->parser->get();
        call.request.method = std::string(message.method_string());
        call.request.target = std::string(message.target());
        for (const auto &it : message) {
            call.request.headers.push_back(
                {std::string(it.name_string()), std::string(it.value())});
        }
        call.request.body = std::move(message.body());
        call.respond = [this, weak = std::weak_ptr<Session>(session),
                        id = session->call](const ports::OutgoingResponse &answer) {
            const auto target = weak.lock();
            if (target && target->state == SessionState::Answering && target->call == id)
                write(target, answer, target->parser->get().keep_alive() && !finishing);
        };
        hooks.onCall(std::move(call), now);
    }

    void refuse(const SessionPtr &session, int status, const std::string &why)
    {
        write(session, hooks.refusal(status, why), false);
    }

    void write(const SessionPtr &session, const ports::OutgoingResponse &answer, bool keep)
    {
        session->state = SessionState::Writing;
        session->until = core::Clock::now() + writeTime;
        const bool toHead = session->parser && session->parser->get().method() == http::verb::head;
        std::string head = statusLine(answer.status);
        for (const auto &it : answer.headers)
            head += it.name + ": " + it.value + "\r\n";
        head += "Content-Length: " + std::to_string(answer.body.size()) + "\r\n";
        head += keep ? "\r\n" : "Connection: close\r\n\r\n";
        static const std::string none;
        const auto &body = toHead ? none : answer.body;
        const std::array<asio::const_buffer, 2> buffers{asio::buffer(head), asio::buffer(body)};
        error_code ec;
        const auto sent = session->socket.write_some(buffers, ec);
        if (ec && ec != asio::error::would_block)
            return close(session);
        if (sent == asio::buffer_size(buffers))
            return onWritten(session, keep);
        session->unsent = (head + body).substr(sent);
        asio::async_write(session->socket, asio::buffer(session->unsent),
                          [this, session, keep](error_code failed, std::size_t) {
                              if (session->state == SessionState::Closed)
                                  return;
                              if (failed)
                                  return close(session);
                              session->unsent.clear();
                              onWritten(session, keep);
                          });
    }

    void onWritten(const SessionPtr &session, bool keep)
    {
        session->parser.reset();
        const auto now = core::Clock::now();
        if (!keep) {
            // Closing with unread bytes would reset the connection and destroy the answer.
            error_code ec;
            session->socket.shutdown(tcp::socket::shutdown_send, ec);
            session->state = SessionState::Lingering;
            session->until = now + lingerTime;
            session->unparsed.clear();
            return awaitBytes(session);
        }
        session->state = SessionState::Idle;
        session->until = now + limits.idleTime;
        if (!session->unparsed.empty()) {
            session->state = SessionState::Reading;
            session->until = now + limits.headerTime;
            // Not from here: a caller's long pipeline would nest as many calls.
            asio::post(io, [this, session] {
                if (session->state == SessionState::Reading)
                    parse(session, core::Clock::now());
            });
        }
        awaitBytes(session);
    }

    void onEnd(const SessionPtr &session)
    {
        const bool waiting = session->state == SessionState::Answering;
        const auto call = session->call;
        close(session);
        if (waiting)
            hooks.onGone(call, core::Clock::now());
    }

    void close(const SessionPtr &session)
    {
        session->state = SessionState::Closed;
        error_code ec;
        session->socket.close(ec);
        sessions.erase(session);
    }

    asio::io_context &io;
    tcp::acceptor acceptor;
    asio::steady_timer retry;
    FrontLimits limits;
    FrontHooks hooks;
    std::unordered_set<SessionPtr> sessions;
    std::uint64_t lastCall = 0;
    bool finishing = false;
};

FrontServer::FrontServer(asio::io_context &io, const std::string &address, FrontLimits limits,
                         FrontHooks hooks)
    : m_impl(std::make_unique<Impl>(io, limits, std::move(hooks)))
{
    m_impl->listen(address);
}

FrontServer::~FrontServer() = default;

unsigned short FrontServer::port() const
{
    return m_impl->acceptor.local_endpoint().port();
}

void FrontServer::setLimits(FrontLimits limits)
{
    m_impl->limits = limits;
}

void FrontServer::tick(TimePoint now)
{
    std::vector<SessionPtr> late;
    for (const auto &it : m_impl->sessions) {
        if (it->until <= now)
            late.push_back(it);
    }
    for (const auto &it : late) {
        if (it->state == SessionState::Reading) {
            m_impl->refuse(it, requestTimeout, "request not complete in time");
        } else {
            m_impl->close(it);
        }
    }
}

void FrontServer::finishConnections()
{
    m_impl->finishing = true;
}

void FrontServer::closeIdle()
{
    error_code ec;
    m_impl->acceptor.close(ec);
    std::vector<SessionPtr> idle;
    for (const auto &it : m_impl->sessions) {
        if (it->state == SessionState::Idle || it->state == SessionState::Lingering)
            idle.push_back(it);
    }
    for (const auto &it : idle)
        m_impl->close(it);
}

std::size_t FrontServer::busy() const
{
    std::size_t n = 0;
    for (const auto &it : m_impl->sessions) {
        const bool isBusy = it->state == SessionState::Reading
            || it->state == SessionState::Answering || it->state == SessionState::Writing;
        n += isBusy ? 1 : 0;
    }
    return n;
}

} // namespace goldcrestline::adapters::loop
