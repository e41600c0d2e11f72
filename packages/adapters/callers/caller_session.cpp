#include "adapters/callers/caller_session.h"

#include "core/result_code.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <cctype>

namespace goldcrestline::adapters::callers {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

namespace {

constexpr std::uint32_t headBytes = 16 * 1024;
constexpr std::size_t firstReadBytes = 4096;
// Time in which a refused caller may read the refusal before its unsent bytes are cut off.
constexpr core::Millis lingerTime{1000};

std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text;
}

ports::HttpRequest readRequest(const http::request<http::string_body> &from)
{
    ports::HttpRequest to;
    to.method = std::string(from.method_string());
    to.target = std::string(from.target());
    for (const auto &it : from)
        to.headers[lower(std::string(it.name_string()))] = std::string(it.value());
    to.body = from.body();
    return to;
}

} // namespace

CallerSession::CallerSession(asio::ip::tcp::socket socket, std::shared_ptr<SessionShared> shared)
    : m_stream(std::move(socket)), m_shared(std::move(shared))
{
    beast::error_code ec;
    m_stream.socket().set_option(asio::ip::tcp::no_delay(true), ec);
}

void CallerSession::start()
{
    awaitRequest();
}

void CallerSession::awaitRequest()
{
    m_parser.emplace();
    m_parser->header_limit(headBytes);
    m_parser->body_limit(m_shared->limits.bodyBytes);
    if (m_buffer.size() != 0)
        return readHead();
    // An idle connection is given more time than one that began a request.
    m_stream.expires_after(m_shared->limits.idleTimeout);
    m_stream.async_read_some(m_buffer.prepare(firstReadBytes),
                             [self = shared_from_this()](beast::error_code ec, std::size_t n) {
                                 if (ec)
                                     return self->close();
                                 self->m_buffer.commit(n);
                                 self->readHead();
                             });
}

void CallerSession::readHead()
{
    m_stream.expires_after(m_shared->limits.readTimeout);
    http::async_read_header(m_stream, m_buffer, *m_parser,
                            [self = shared_from_this()](beast::error_code ec, std::size_t) {
                                if (ec)
                                    return self->onReadError(ec);
                                self->readBody();
                            });
}

void CallerSession::readBody()
{
    const auto length = m_parser->content_length();
    if (length && *length > m_shared->limits.bodyBytes)
        return onReadError(http::error::body_limit);
    http::async_read(m_stream, m_buffer, *m_parser,
                     [self = shared_from_this()](beast::error_code ec, std::size_t) {
                         if (ec)
                             return self->onReadError(ec);
                         self->passOn();
                     });
}

void CallerSession::onReadError(beast::error_code ec)
{
    using core::ResultCode;
    if (ec == http::error::end_of_stream || ec == asio::error::connection_reset)
        return close();
    const bool timedOut = ec == beast::error::timeout;
    auto code = ResultCode::MalformedRequest;
    if (ec == http::error::body_limit)
        code = ResultCode::BodyTooLarge;
    if (timedOut)
        code = ResultCode::RequestTimeout;
    const auto &info = core::infoOf(code);
    // A timeout closed the socket already.
    if (timedOut)
        return close();
    refuse(info.httpStatus, static_cast<int>(code), std::string(info.text) + " " + ec.message());
}

void CallerSession::refuse(int status, int code, const std::string &text)
{
    ports::HttpResponse response;
    response.status = status;
    response.headers["content-type"] = "application/json";
    std::string clean = text;
    std::erase_if(clean, [](char c) { return c == '"' || c == '\\' || c < ' '; });
    response.body = R"({"code":)" + std::to_string(code) + R"(,"class":"refused, not run","text":")"
        + clean + "\"}";
    m_stream.expires_after(m_shared->limits.readTimeout);
    write(response, false);
}

void CallerSession::passOn()
{
    m_stream.expires_never();
    m_call = ++m_shared->lastCall;
    m_awaitingAnswer = true;
    const auto id = m_call;
    ports::CallerCall call;
    call.id = id;
    call.request = readRequest(m_parser->get());
    call.respond = [self = shared_from_this(), id](ports::HttpResponse response) {
        asio::post(self->m_stream.get_executor(),
                   [self, id, response = std::move(response)] { self->answer(id, response); });
    };
    m_shared->deliver(std::move(call));
    watchHangUp();
}

void CallerSession::watchHangUp()
{
    // Bytes of a pipelined request are left in the socket until the answer is out.
    m_stream.socket().async_wait(
        asio::ip::tcp::socket::wait_read,
        [self = shared_from_this(), id = m_call](beast::error_code ec) {
            if (ec || !self->m_awaitingAnswer || self->m_call != id)
                return;
            char byte = 0;
            auto &socket = self->m_stream.socket();
            beast::error_code peeked;
            socket.non_blocking(true, peeked);
            const auto n =
                socket.receive(asio::buffer(&byte, 1), asio::ip::tcp::socket::message_peek, peeked);
            const bool gone = peeked && peeked != asio::error::would_block;
            if (gone || (n == 0 && !peeked)) {
                self->m_shared->deliver(ports::CallerGone{id});
                self->m_awaitingAnswer = false;
                self->close();
            }
        });
}

void CallerSession::answer(std::uint64_t id, const ports::HttpResponse &response)
{
    if (!m_awaitingAnswer || id != m_call)
        return;
    m_awaitingAnswer = false;
    // Ends the wait for a hang-up.
    m_stream.cancel();
    m_stream.expires_after(m_shared->limits.readTimeout);
    write(response, m_parser->get().keep_alive() && !m_shared->finishing);
}

void CallerSession::write(const ports::HttpResponse &response, bool keep)
{
    m_response = {};
    m_response.version(11);
    m_response.result(static_cast<unsigned>(response.status));
    for (const auto &it : response.headers)
        m_response.set(it.first, it.second);
    m_response.body() = response.body;
    m_response.keep_alive(keep);
    m_response.prepare_payload();
    http::async_write(m_stream, m_response,
                      [self = shared_from_this(), keep](beast::error_code ec, std::size_t) {
                          if (ec)
                              return self->close();
                          if (!keep)
                              return self->linger();
                          self->awaitRequest();
                      });
}

void CallerSession::linger()
{
    // Closing with unread bytes would reset the connection and destroy the answer on its way.
    beast::error_code ec;
    m_stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ec);
    m_stream.expires_after(lingerTime);
    discard();
}

void CallerSession::discard()
{
    m_buffer.clear();
    m_stream.async_read_some(m_buffer.prepare(firstReadBytes),
                             [self = shared_from_this()](beast::error_code ec, std::size_t) {
                                 if (ec)
                                     return self->close();
                                 self->discard();
                             });
}

void CallerSession::close()
{
    beast::error_code ec;
    m_stream.socket().shutdown(asio::ip::tcp::socket::shutdown_both, ec);
    m_stream.socket().close(ec);
}

} // namespace goldcrestline::adapters::callers
