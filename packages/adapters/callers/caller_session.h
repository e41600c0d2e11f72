#pragma once

#include "adapters/callers/caller_server.h"

#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <memory>
#include <optional>

namespace goldcrestline::adapters::callers {

// What all sessions of a server share.
struct SessionShared
{
    CallerLimits limits;
    std::function<void(CallerEvent)> deliver;
    std::atomic<bool> finishing{false};
    std::atomic<std::uint64_t> lastCall{0};
};

// One caller's connection. Lives on the server's thread; respond() may come from any.
class CallerSession : public std::enable_shared_from_this<CallerSession>
{
public:
    CallerSession(boost::asio::ip::tcp::socket socket, std::shared_ptr<SessionShared> shared);

    // Reads the first request.
    void start();

private:
    using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

    void awaitRequest();
    void readHead();
    void readBody();
    void onReadError(boost::beast::error_code ec);
    void passOn();
    void watchHangUp();
    void answer(std::uint64_t id, const ports::HttpResponse &response);
    void refuse(int status, int code, const std::string &text);
    void write(const ports::HttpResponse &response, bool keep);
    void linger();
    void discard();
    void close();

    boost::beast::tcp_stream m_stream;
    boost::beast::flat_buffer m_buffer;
    std::shared_ptr<SessionShared> m_shared;
    std::optional<Parser> m_parser;
    boost::beast::http::response<boost::beast::http::string_body> m_response;
    std::uint64_t m_call = 0;
    bool m_awaitingAnswer = false;
};

} // namespace goldcrestline::adapters::callers
