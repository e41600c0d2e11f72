#include "adapters/loop/exchange_client.h"
#include "adapters/loop/front_server.h"
#include "adapters/loop/request_head.h"

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
using ports::ExchangeOutcome;

namespace {

// Longest time that any of these exchanges over loopback may take.
constexpr auto patience = 3s;

void runUntil(asio::io_context &io, const std::function<bool()> &done)
{
    const auto until = core::Clock::now() + patience;
    while (!done() && core::Clock::now() < until) {
        io.restart();
        io.run_for(2ms);
    }
}

// A server that echoes what it was asked, after `hold` says so.
struct Front
{
    asio::io_context io;
    std::vector<FrontCall> held;
    std::vector<std::uint64_t> gone;
    std::vector<std::string> seen;
    bool hold = false;
    FrontServer server;

    explicit Front(FrontLimits limits = {})
        : server(io, "127.0.0.1:0", limits,
                 {[this](FrontCall call, core::TimePoint) { take(std::move(call)); },
                  [this](std::uint64_t id, core::TimePoint) { gone.push_back(id); },
                  [](int status, const std::string &why) {
                      return ports::OutgoingResponse{status, {}, why};
                  }})
    { }

    void take(FrontCall call)
    {
        seen.push_back(call.request.method + " " + call.request.target + " " + call.request.body);
        if (hold)
            return held.push_back(std::move(call));
        call.respond({200, {}, seen.back()});
    }

    tcp::socket connect()
    {
        tcp::socket socket(io);
        socket.connect({asio::ip::make_address("127.0.0.1"), server.port()});
        socket.non_blocking(true);
        return socket;
    }

    // Sends bytes and returns what comes back until `done` says so or the connection ends.
    std::string talk(tcp::socket &socket, std::string bytes,
                     const std::function<bool(const std::string &)> &done)
    {
        std::string answer;
        bool ended = false;
        std::size_t sent = 0;
        runUntil(io, [&] {
            boost::system::error_code ec;
            if (sent < bytes.size()) {
                sent +=
                    socket.write_some(asio::buffer(bytes.data() + sent, bytes.size() - sent), ec);
            }
            std::array<char, 4096> buf;
            const auto n = socket.read_some(asio::buffer(buf), ec);
            answer.append(buf.data(), n);
            ended = ec && ec != asio::error::would_block;
            return ended || done(answer);
        });
        return answer;
    }

    std::string talk(const std::string &bytes)
    {
        auto socket = connect();
        return talk(socket, bytes, [](const std::string &) { return false; });
    }
};

bool has(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

const std::string head = "GET /a HTTP/1.1\r\nHost: h\r\n";

// A raw server that answers each request with the next script entry; empty closes at once.
struct RawServer
{
    struct Reply
    {
        std::string bytes;
        bool closeAfter = false;
        bool reset = false;
    };

    asio::io_context &io;
    tcp::acceptor acceptor;
    std::vector<Reply> script;
    std::size_t next = 0;
    int connections = 0;
    std::vector<std::string> requests;

    explicit RawServer(asio::io_context &io)
        : io(io), acceptor(io, {asio::ip::make_address("127.0.0.1"), 0})
    {
        accept();
    }

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
    }

    void accept()
    {
        acceptor.async_accept([this](boost::system::error_code ec, tcp::socket socket) {
            if (ec)
                return;
            ++connections;
            serve(std::make_shared<tcp::socket>(std::move(socket)));
            accept();
        });
    }

    void serve(const std::shared_ptr<tcp::socket> &socket)
    {
        const auto buf = std::make_shared<std::array<char, 8192>>();
        socket->async_read_some(asio::buffer(*buf),
                                [this, socket, buf](boost::system::error_code ec, std::size_t n) {
                                    if (ec)
                                        return;
                                    requests.emplace_back(buf->data(), n);
                                    answer(socket);
                                });
    }

    void answer(const std::shared_ptr<tcp::socket> &socket)
    {
        if (next >= script.size())
            return;
        const auto reply = script[next++];
        boost::system::error_code ec;
        asio::write(*socket, asio::buffer(reply.bytes), ec);
        if (reply.reset)
            socket->set_option(asio::socket_base::linger(true, 0), ec);
        if (reply.closeAfter || reply.reset)
            return socket->close(ec), void();
        serve(socket);
    }
};

struct Client
{
    asio::io_context io;
    RawServer server{io};
    ExchangeClient client{io, {}};

    ports::ExchangeResult get(const std::string &identity = {})
    {
        ports::ExchangeRequest request;
        request.commonHead = std::make_shared<const std::string>(head);
        if (!identity.empty()) {
            request.identityHeader = "X-Id";
            request.identity = identity;
        }
        std::optional<ports::ExchangeResult> result;
        client.send(server.address(), std::move(request), core::Clock::now(),
                    [&](ports::ExchangeResult it) { result = std::move(it); });
        runUntil(io, [&] { return result.has_value(); });
        REQUIRE(result);
        // Bytes that follow the answer arrive.
        io.restart();
        io.run_for(10ms);
        return *result;
    }
};

const std::string okA = "HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 1\r\n\r\nA";
const std::string okB = "HTTP/1.1 200 OK\r\nX-Id: b\r\nContent-Length: 1\r\n\r\nB";

} // namespace

TEST_CASE("requests on one connection are answered in their order")
{
    Front front;
    auto socket = front.connect();
    const auto answer = front.talk(
        socket,
        head + "\r\nPOST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nxyz" + head + "\r\n",
        [](const std::string &it) { return it.rfind("GET /a ") > it.find("POST /b xyz"); });
    CHECK(front.seen == std::vector<std::string>{"GET /a ", "POST /b xyz", "GET /a "});
    CHECK(answer.find("POST /b xyz") < answer.rfind("GET /a "));
}

TEST_CASE("a chunked body is put together")
{
    Front front;
    auto socket = front.connect();
    front.talk(socket,
               "POST /c HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
               "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n",
               [](const std::string &it) { return has(it, "abcde"); });
    CHECK(front.seen == std::vector<std::string>{"POST /c abcde"});
}

TEST_CASE("requests that two parsers could read differently are refused and not passed on")
{
    const std::string post = "POST /p HTTP/1.1\r\nHost: h\r\n";
    const std::vector<std::string> bad{
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
    for (const auto &it : bad) {
        Front front;
        const auto answer = front.talk(it);
        CAPTURE(it, answer);
        CHECK(has(answer, "HTTP/1.1 4"));
        CHECK(front.seen.empty());
    }
}

TEST_CASE("requests past the limits are refused with the status that says so")
{
    FrontLimits limits;
    limits.headerBytes = 1024;
    limits.bodyBytes = 100;
    Front front(limits);
    CHECK(has(front.talk(head + "X-A: " + std::string(2000, 'a') + "\r\n\r\n"), "HTTP/1.1 431"));
    CHECK(has(front.talk(head + "X-A: " + std::string(2000, 'a')), "HTTP/1.1 431"));
    CHECK(has(front.talk("POST /p HTTP/1.1\r\nHost: h\r\nContent-Length: 101\r\n\r\n"),
              "HTTP/1.1 413"));
    CHECK(has(front.talk("POST /p HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nff\r\n"
                         + std::string(255, 'a') + "\r\n0\r\n\r\n"),
              "HTTP/1.1 413"));
    CHECK(front.seen.empty());
}

TEST_CASE("a request that comes too slowly is refused and an idle connection is closed")
{
    Front front;
    auto slow = front.connect();
    auto idle = front.connect();
    asio::write(slow, asio::buffer(head));
    front.io.run_for(20ms);
    front.server.tick(core::Clock::now() + 4s);
    CHECK(has(front.talk(slow, "", [](const auto &) { return false; }), "HTTP/1.1 408"));
    front.server.tick(core::Clock::now() + 16s);
    CHECK(front.talk(idle, "", [](const auto &) { return false; }).empty());
    boost::system::error_code ec;
    char byte = 0;
    idle.read_some(asio::buffer(&byte, 1), ec);
    CHECK(ec == asio::error::eof);
}

TEST_CASE("a caller that closes while it waits is reported, and its late answer goes to nobody")
{
    Front front;
    front.hold = true;
    {
        auto socket = front.connect();
        asio::write(socket, asio::buffer(head + "\r\n"));
        runUntil(front.io, [&] { return !front.held.empty(); });
    }
    runUntil(front.io, [&] { return !front.gone.empty(); });
    REQUIRE(front.gone.size() == 1);
    CHECK(front.gone[0] == front.held[0].id);
    auto other = front.connect();
    front.held[0].respond({200, {}, "late"});
    CHECK(front.talk(other, "", [](const auto &) { return false; }).empty());
}

TEST_CASE("answers close their connections while the host stops, and none is cut")
{
    Front front;
    front.hold = true;
    auto socket = front.connect();
    asio::write(socket, asio::buffer(head + "\r\n"));
    runUntil(front.io, [&] { return !front.held.empty(); });
    front.server.finishConnections();
    front.server.closeIdle();
    CHECK(front.server.busy() == 1);
    front.held[0].respond({200, {}, "whole"});
    const auto answer = front.talk(socket, "", [](const auto &) { return false; });
    CHECK(has(answer, "Connection: close"));
    CHECK(has(answer, "whole"));
}

TEST_CASE("damaged requests never reach the handler half read, nor stop the server")
{
    std::mt19937 random(20261204);
    Front front;
    const std::string whole =
        "POST /p HTTP/1.1\r\nHost: h\r\nX-Request-Id: 1\r\nContent-Length: 5\r\n\r\nhello";
    for (int i = 0; i < 400; ++i) {
        auto text = whole;
        for (unsigned n = 1 + random() % 3; n > 0; --n)
            text[random() % text.size()] = static_cast<char>(random() % 256);
        auto socket = front.connect();
        boost::system::error_code ec;
        socket.write_some(asio::buffer(text), ec);
        socket.shutdown(tcp::socket::shutdown_send, ec);
        front.io.restart();
        front.io.run_for(1ms);
    }
    for (const auto &it : front.seen)
        CHECK(it.size() < whole.size());
    CHECK(has(front.talk(head + "Connection: close\r\n\r\n"), "200 OK"));
}

TEST_CASE("a connection is used again after a whole answer")
{
    Client it;
    it.server.script = {{okA}, {okB}};
    CHECK(it.get().body == "A");
    CHECK(it.get().body == "B");
    CHECK(it.server.connections == 1);
}

TEST_CASE("a connection is given back soon once idle ones are not wanted")
{
    Client it;
    it.server.script = {{okA}, {okB}};
    it.client.setIdleTime(301ms);
    CHECK(it.get().body == "A");
    CHECK(it.get().body == "B");
    CHECK(it.server.connections == 2);
}

TEST_CASE("bytes after an answer condemn the connection")
{
    Client it;
    it.server.script = {{okA + okB}, {okB}};
    CHECK(it.get().body == "A");
    CHECK(it.get().body == "B");
    CHECK(it.server.connections == 2);
}

TEST_CASE("an answer that comes unasked on an idle connection is not taken for the next")
{
    Client it;
    it.server.script = {{okA + "HTTP/1.1 200 OK\r\nContent-"}, {okB}};
    CHECK(it.get().body == "A");
    CHECK(it.get().body == "B");
    CHECK(it.server.connections == 2);
}

TEST_CASE("an answer to an earlier request is dropped by its identity")
{
    Client it;
    it.server.script = {{okA + okB}, {okA}};
    const auto first = it.get("b");
    CHECK(first.body == "B");
    CHECK(it.get("a").body == "A");
    CHECK(it.server.connections == 2);
}

TEST_CASE("answers that end early are broken, whatever their framing")
{
    Client it;
    const std::string start = "HTTP/1.1 200 OK\r\n";
    it.server.script = {
        {start + "Content-Length: 10\r\n\r\nabc", true},
        {start + "Transfer-Encoding: chunked\r\n\r\n5\r\nabc", true},
        {start + "X-A", true},
        {"", true},
        {start + "\r\nabc", false, true},
        {"SPAM spam\r\n\r\n", true},
    };
    for (std::size_t i = 0; i < it.server.script.size(); ++i) {
        CAPTURE(i);
        CHECK(it.get().outcome == ExchangeOutcome::Broken);
    }
}

TEST_CASE("a body without a length ends with a clean close only")
{
    Client it;
    it.server.script = {{"HTTP/1.1 200 OK\r\n\r\nwhole", true}};
    const auto result = it.get();
    CHECK(result.outcome == ExchangeOutcome::Answered);
    CHECK(result.body == "whole");
}

TEST_CASE("an interim answer is not the answer")
{
    Client it;
    it.server.script = {{"HTTP/1.1 100 Continue\r\n\r\n" + okA}};
    CHECK(it.get().body == "A");
}

TEST_CASE("a server that asks to close, or states a short idle time, is asked on a new connection")
{
    Client it;
    it.server.script = {{"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"},
                        {"HTTP/1.1 200 OK\r\nKeep-Alive: timeout=0\r\nContent-Length: 0\r\n\r\n"},
                        {okA}};
    CHECK(it.get().closing);
    it.get();
    CHECK(it.get().body == "A");
    CHECK(it.server.connections == 3);
}

TEST_CASE("an address without a server is not reached, and an exchange given up stays silent")
{
    asio::io_context io;
    ExchangeClient client(io, {});
    std::optional<ports::ExchangeResult> result;
    ports::ExchangeRequest request;
    request.commonHead = std::make_shared<const std::string>(head);
    client.send("127.0.0.1:1", request, core::Clock::now(),
                [&](ports::ExchangeResult it) { result = std::move(it); });
    runUntil(io, [&] { return result.has_value(); });
    REQUIRE(result);
    CHECK(result->outcome == ExchangeOutcome::NotReached);
    result.reset();
    const auto id = client.send("127.0.0.1:1", request, core::Clock::now(),
                                [&](ports::ExchangeResult it) { result = std::move(it); });
    client.abort(id);
    io.restart();
    io.run_for(20ms);
    CHECK_FALSE(result);
    CHECK(client.opened() == 2);
    client.send("no address", request, core::Clock::now(),
                [&](ports::ExchangeResult it) { result = std::move(it); });
    runUntil(io, [&] { return result.has_value(); });
    CHECK(result->outcome == ExchangeOutcome::NotReached);
}

TEST_CASE("faults in a head's bytes are found")
{
    CHECK_FALSE(faultInHead(head + "\r\n"));
    CHECK(faultInHead("GET / HTTP/1.1\n"));
    CHECK(faultInHead(head + " folded\r\n"));
    CHECK(faultInHead(std::string("a\0b", 3)));
    CHECK_FALSE(faultInHead("GET / HTTP/1.1\r"));
}
