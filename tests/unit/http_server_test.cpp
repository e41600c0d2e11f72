#include "adapters/loop/http_server.h"

#include "adapters/loop/request_head.h"
#include "loop_helpers.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <random>

using namespace goldcrestline;
using namespace goldcrestline::adapters::loop;
using namespace std::chrono_literals;
namespace asio = boost::asio;
using asio::ip::tcp;
using unit::head;
using unit::runUntil;

namespace {

// Runs an HTTP server that echoes each request, at once or, with `deferResponses`, when the test
// responds to the calls in `deferred`.
struct ServerFixture
{
    asio::io_context io;
    std::vector<HttpCall> deferred;
    std::vector<std::uint64_t> disconnected;
    std::vector<std::string> received;
    bool deferResponses = false;
    HttpServer server;

    explicit ServerFixture(HttpServerLimits limits = {})
        : server(io, "127.0.0.1:0", limits,
                 {[this](HttpCall call, core::TimePoint) { onRequest(std::move(call)); },
                  [this](std::uint64_t id, core::TimePoint) { disconnected.push_back(id); },
                  [](int status, const std::string &why) {
                      return ports::OutgoingResponse{status, {}, why};
                  }})
    { }

    void onRequest(HttpCall call)
    {
        received.push_back(call.request.method + " " + call.request.target + " "
                           + call.request.body);
        if (deferResponses)
            return deferred.push_back(std::move(call));
        call.respond({200, {}, received.back()});
    }

    tcp::socket connect()
    {
        tcp::socket socket(io);
        socket.connect({asio::ip::make_address("127.0.0.1"), server.port()});
        socket.non_blocking(true);
        return socket;
    }

    // Sends bytes and returns the received bytes once `done` returns true for them, the connection
    // is closed or the timeout has passed.
    std::string sendAndRead(tcp::socket &socket, std::string bytes,
                            const std::function<bool(const std::string &)> &done)
    {
        std::string response;
        bool closed = false;
        std::size_t sent = 0;
        runUntil(io, [&] {
            boost::system::error_code ec;
            if (sent < bytes.size()) {
                sent +=
                    socket.write_some(asio::buffer(bytes.data() + sent, bytes.size() - sent), ec);
            }
            std::array<char, 4096> buf;
            const auto n = socket.read_some(asio::buffer(buf), ec);
            response.append(buf.data(), n);
            closed = ec && ec != asio::error::would_block;
            return closed || done(response);
        });
        return response;
    }

    std::string sendAndRead(const std::string &bytes)
    {
        auto socket = connect();
        return sendAndRead(socket, bytes, [](const std::string &) { return false; });
    }
};

bool contains(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

TEST_CASE("pipelined requests on one connection are answered in order")
{
    ServerFixture fixture;
    auto socket = fixture.connect();
    const auto response = fixture.sendAndRead(
        socket,
        head + "\r\nPOST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nxyz" + head + "\r\n",
        [](const std::string &it) { return it.rfind("GET /a ") > it.find("POST /b xyz"); });
    CHECK(fixture.received == std::vector<std::string>{"GET /a ", "POST /b xyz", "GET /a "});
    CHECK(response.find("POST /b xyz") < response.rfind("GET /a "));
}

TEST_CASE("a chunked request body is reassembled")
{
    ServerFixture fixture;
    auto socket = fixture.connect();
    fixture.sendAndRead(socket,
                        "POST /c HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
                        "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n",
                        [](const std::string &it) { return contains(it, "abcde"); });
    CHECK(fixture.received == std::vector<std::string>{"POST /c abcde"});
}

TEST_CASE("ambiguously framed requests are rejected and not passed to the handler")
{
    const std::string post = "POST /p HTTP/1.1\r\nHost: h\r\n";
    const std::vector<std::string> invalidRequests{
        post + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
        post + "Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc",
        post + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        post + "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n0\r\n\r\n",
        post + "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n\r\n0\r\n\r\n",
        post + "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
        post + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
        post + "Transfer-Encoding: chunked\r\n\r\nxyz\r\nabc\r\n0\r\n\r\n",
        post + "Transfer-Encoding: chunked\r\n\r\n-1\r\nabc\r\n0\r\n\r\n",
        post + "Transfer-Encoding: chunked\r\n\r\nfffffffffffffffff\r\nabc\r\n",
        post + "Content-Length: -3\r\n\r\nabc",
        post + "Content-Length: +3\r\n\r\nabc",
        post + "Content-Length: 3 3\r\n\r\nabc",
        post + "Content-Length: 99999999999999999999999\r\n\r\nabc",
        post + "Content-Length : 3\r\n\r\nabc",
        "GET /a HTTP/1.1\nHost: h\n\n",
        head + "X-A: 1\n\r\n",
        head + "X-A: 1\r\n folded\r\n\r\n",
        head + "X-A: 1\r\n\tfolded\r\n\r\n",
        head + std::string("X-A: 1\0002\r\n\r\n", 13),
        head + "X-A: 1\r2\r\n\r\n",
        head + "no colon\r\n\r\n",
        "GET /a\r\nHost: h\r\n\r\n",
        "GET /a HTTP/9.9\r\nHost: h\r\n\r\n",
        "GET /a b HTTP/1.1\r\nHost: h\r\n\r\n",
        "GET /a HTTP/1.1\r\nHost: h\r\nHost: g\r\n\r\n",
        std::string("\0\0\0\0\r\n\r\n", 8),
    };
    for (const auto &it : invalidRequests) {
        ServerFixture fixture;
        const auto response = fixture.sendAndRead(it);
        CAPTURE(it, response);
        CHECK(contains(response, "HTTP/1.1 4"));
        CHECK(fixture.received.empty());
    }
}

TEST_CASE("requests over the size limits are rejected with status 431 or 413")
{
    HttpServerLimits limits;
    limits.maxHeaderBytes = 1024;
    limits.maxBodyBytes = 100;
    ServerFixture fixture(limits);
    CHECK(contains(fixture.sendAndRead(head + "X-A: " + std::string(2000, 'a') + "\r\n\r\n"),
                   "HTTP/1.1 431"));
    CHECK(contains(fixture.sendAndRead(head + "X-A: " + std::string(2000, 'a')), "HTTP/1.1 431"));
    CHECK(
        contains(fixture.sendAndRead("POST /p HTTP/1.1\r\nHost: h\r\nContent-Length: 101\r\n\r\n"),
                 "HTTP/1.1 413"));
    CHECK(contains(fixture.sendAndRead(
                       "POST /p HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nff\r\n"
                       + std::string(255, 'a') + "\r\n0\r\n\r\n"),
                   "HTTP/1.1 413"));
    CHECK(fixture.received.empty());
}

// Guards against the sum of many unfinished requests, each of which is within its own limits.
TEST_CASE("unfinished requests of many connections stay within a bound together")
{
    HttpServerLimits limits;
    limits.maxBodyBytes = 64 << 10;
    limits.maxBufferedBytes = 256 << 10;
    constexpr std::size_t connections = 60;
    constexpr std::size_t bytes = 12 << 10;
    std::string headerLines;
    while (headerLines.size() < bytes)
        headerLines += "X-" + std::to_string(headerLines.size()) + ": value\r\n";
    const std::string post = "POST /p HTTP/1.1\r\nHost: h\r\n";
    for (const auto &unfinished :
         {post + "Content-Length: 40000\r\n\r\n" + std::string(bytes, 'x'), post + headerLines,
          post + "Transfer-Encoding: chunked\r\n\r\n4000\r\n" + std::string(bytes, 'x')}) {
        CAPTURE(unfinished.substr(0, 60));
        ServerFixture fixture(limits);
        std::vector<tcp::socket> sockets;
        std::size_t rejected = 0;
        for (std::size_t i = 0; i < connections; ++i) {
            sockets.push_back(fixture.connect());
            asio::write(sockets.back(), asio::buffer(unfinished));
            fixture.io.restart();
            fixture.io.run_for(1ms);
        }
        // Those that are left fit into the bound.
        const auto most = limits.maxBufferedBytes / bytes;
        std::vector<bool> answered(connections);
        runUntil(fixture.io, [&] {
            for (std::size_t i = 0; i < connections; ++i) {
                std::array<char, 4096> buf;
                boost::system::error_code ec;
                const auto n = sockets[i].read_some(asio::buffer(buf), ec);
                if (n == 0 || answered[i])
                    continue;
                answered[i] = true;
                ++rejected;
                CHECK(contains(std::string(buf.data(), n), "HTTP/1.1 503"));
            }
            return rejected >= connections - most;
        });
        CHECK(rejected >= connections - most);
        CHECK(rejected < connections);
        CHECK(contains(fixture.sendAndRead(head + "\r\n"), "HTTP/1.1 200"));
        CHECK(fixture.received.size() == 1);
    }
}

TEST_CASE("a slow request is rejected with status 408 and an idle connection is closed")
{
    ServerFixture fixture;
    auto slow = fixture.connect();
    auto idle = fixture.connect();
    asio::write(slow, asio::buffer(head));
    fixture.io.run_for(20ms);
    fixture.server.tick(core::Clock::now() + 4s);
    CHECK(contains(fixture.sendAndRead(slow, "", [](const auto &) { return false; }),
                   "HTTP/1.1 408"));
    fixture.server.tick(core::Clock::now() + 16s);
    CHECK(fixture.sendAndRead(idle, "", [](const auto &) { return false; }).empty());
    boost::system::error_code ec;
    char byte = 0;
    idle.read_some(asio::buffer(&byte, 1), ec);
    CHECK(ec == asio::error::eof);
}

TEST_CASE("a caller's disconnect is reported and its late response reaches no other connection")
{
    ServerFixture fixture;
    fixture.deferResponses = true;
    {
        auto socket = fixture.connect();
        asio::write(socket, asio::buffer(head + "\r\n"));
        runUntil(fixture.io, [&] { return !fixture.deferred.empty(); });
    }
    runUntil(fixture.io, [&] { return !fixture.disconnected.empty(); });
    REQUIRE(fixture.disconnected.size() == 1);
    CHECK(fixture.disconnected[0] == fixture.deferred[0].id);
    auto other = fixture.connect();
    fixture.deferred[0].respond({200, {}, "late"});
    CHECK(fixture.sendAndRead(other, "", [](const auto &) { return false; }).empty());
}

TEST_CASE("during shutdown pending responses are sent completely and close their connections")
{
    ServerFixture fixture;
    fixture.deferResponses = true;
    auto socket = fixture.connect();
    asio::write(socket, asio::buffer(head + "\r\n"));
    runUntil(fixture.io, [&] { return !fixture.deferred.empty(); });
    fixture.server.disableKeepAlive();
    fixture.server.stopAccepting();
    CHECK(fixture.server.activeConnections() == 1);
    fixture.deferred[0].respond({200, {}, "whole"});
    const auto response = fixture.sendAndRead(socket, "", [](const auto &) { return false; });
    CHECK(contains(response, "Connection: close"));
    CHECK(contains(response, "whole"));
}

TEST_CASE("requests that have arrived when the server stops accepting are answered")
{
    ServerFixture fixture;
    auto known = fixture.connect();
    CHECK(contains(fixture.sendAndRead(known, head + "\r\n",
                                       [](const std::string &it) { return contains(it, "/a"); }),
                   "200"));
    // Neither the second request of a known connection nor the new connection has been seen yet.
    asio::write(known, asio::buffer(head + "\r\n"));
    auto fresh = fixture.connect();
    asio::write(fresh, asio::buffer(head + "\r\n"));
    auto halfRead = fixture.connect();
    asio::write(halfRead, asio::buffer(head));
    fixture.server.disableKeepAlive();
    fixture.server.stopAccepting();
    const auto answered = [](const std::string &it) { return contains(it, "200"); };
    for (auto *it : {&known, &fresh})
        CHECK(contains(fixture.sendAndRead(*it, "", answered), "200"));
    CHECK(fixture.server.activeConnections() == 1);
    CHECK(contains(fixture.sendAndRead(halfRead, "\r\n", answered), "200"));
    CHECK(fixture.server.activeConnections() == 0);
}

TEST_CASE("a connection accepted just before the server stops accepting gets its first answer")
{
    ServerFixture fixture;
    auto known = fixture.connect();
    fixture.sendAndRead(known, head + "\r\n", [](const auto &it) { return contains(it, "/a"); });
    auto fresh = fixture.connect();
    auto silent = fixture.connect();
    fixture.io.restart();
    fixture.io.run_for(20ms);
    fixture.server.disableKeepAlive();
    fixture.server.stopAccepting();
    fixture.io.restart();
    fixture.io.run_for(20ms);
    CHECK(fixture.server.activeConnections() == 2);
    CHECK(contains(fixture.sendAndRead(fresh, head + "\r\n",
                                       [](const std::string &it) { return contains(it, "200"); }),
                   "200"));
    // One that sends nothing does not hold up the stop.
    fixture.server.tick(core::Clock::now() + 500ms);
    CHECK(fixture.server.activeConnections() == 0);
}

TEST_CASE("a connection whose accept completes as the server stops accepting is not dropped")
{
    ServerFixture fixture;
    auto first = fixture.connect();
    auto second = fixture.connect();
    // Accepts the first one, and the second one without running its handler.
    fixture.io.restart();
    fixture.io.run_one();
    fixture.server.disableKeepAlive();
    fixture.server.stopAccepting();
    const auto answered = [](const std::string &it) { return contains(it, "200"); };
    for (auto *it : {&first, &second})
        CHECK(contains(fixture.sendAndRead(*it, head + "\r\n", answered), "200"));
}

TEST_CASE("corrupted requests never reach the handler partially read and do not stop the server")
{
    std::mt19937 random(20261204);
    ServerFixture fixture;
    const std::string validRequest =
        "POST /p HTTP/1.1\r\nHost: h\r\nX-Request-Id: 1\r\nContent-Length: 5\r\n\r\nhello";
    for (int i = 0; i < 400; ++i) {
        auto text = validRequest;
        for (unsigned n = 1 + random() % 3; n > 0; --n)
            text[random() % text.size()] = static_cast<char>(random() % 256);
        auto socket = fixture.connect();
        boost::system::error_code ec;
        socket.write_some(asio::buffer(text), ec);
        socket.shutdown(tcp::socket::shutdown_send, ec);
        fixture.io.restart();
        fixture.io.run_for(1ms);
    }
    for (const auto &it : fixture.received)
        CHECK(it.size() < validRequest.size());
    CHECK(contains(fixture.sendAndRead(head + "Connection: close\r\n\r\n"), "200 OK"));
}
TEST_CASE("invalid bytes in a request head are detected")
{
    CHECK_FALSE(findHeadError(head + "\r\n"));
    CHECK(findHeadError("GET / HTTP/1.1\n"));
    CHECK(findHeadError(head + " folded\r\n"));
    CHECK(findHeadError(std::string("a\0b", 3)));
    CHECK_FALSE(findHeadError("GET / HTTP/1.1\r"));
}
