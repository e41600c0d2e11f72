#include "adapters/loop/exchange_client.h"

#include "loop_helpers.h"
#include "raw_server.h"

#include <catch2/catch.hpp>
#include <optional>

using namespace goldcrestline;
using namespace goldcrestline::adapters::loop;
using namespace std::chrono_literals;
namespace asio = boost::asio;
using ports::ExchangeOutcome;
using unit::head;
using unit::RawServer;
using unit::runUntil;

namespace {

// Runs an HTTP client against a RawServer.
struct ClientFixture
{
    asio::io_context io;
    RawServer server{io};
    ExchangeClient client;

    explicit ClientFixture(ExchangeOptions options = {}) : client(io, options) { }

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
        // Lets the client receive bytes that follow the response.
        io.restart();
        io.run_for(10ms);
        return *result;
    }
};

const std::string responseA = "HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 1\r\n\r\nA";
const std::string responseB = "HTTP/1.1 200 OK\r\nX-Id: b\r\nContent-Length: 1\r\n\r\nB";

} // namespace
TEST_CASE("a connection is reused after a complete response")
{
    ClientFixture it;
    it.server.replies = {{responseA}, {responseB}};
    CHECK(it.get().body == "A");
    CHECK(it.get().body == "B");
    CHECK(it.server.connections == 1);
}

TEST_CASE("a connection is not reused after a shortened idle timeout")
{
    ClientFixture it;
    it.server.replies = {{responseA}, {responseB}};
    it.client.setIdleTimeout(301ms);
    CHECK(it.get().body == "A");
    CHECK(it.get().body == "B");
    CHECK(it.server.connections == 2);
}

TEST_CASE("a connection is not reused after extra bytes behind a response")
{
    ClientFixture it;
    it.server.replies = {{responseA + responseB}, {responseB}};
    CHECK(it.get().body == "A");
    CHECK(it.get().body == "B");
    CHECK(it.server.connections == 2);
}

TEST_CASE("an unsolicited partial response is not matched to the next request")
{
    ClientFixture it;
    it.server.replies = {{responseA + "HTTP/1.1 200 OK\r\nContent-"}, {responseB}};
    CHECK(it.get().body == "A");
    CHECK(it.get().body == "B");
    CHECK(it.server.connections == 2);
}

TEST_CASE("a response to an earlier request is dropped by its identity header")
{
    ClientFixture it;
    it.server.replies = {{responseA + responseB}, {responseA}};
    const auto first = it.get("b");
    CHECK(first.body == "B");
    CHECK(it.get("a").body == "A");
    CHECK(it.server.connections == 2);
}

TEST_CASE("truncated responses end the exchange as broken with every kind of framing")
{
    ClientFixture it;
    const std::string statusLine = "HTTP/1.1 200 OK\r\n";
    it.server.replies = {
        {statusLine + "Content-Length: 10\r\n\r\nabc", true},
        {statusLine + "Transfer-Encoding: chunked\r\n\r\n5\r\nabc", true},
        {statusLine + "X-A", true},
        {"", true},
        {statusLine + "\r\nabc", false, true},
        {"SPAM spam\r\n\r\n", true},
    };
    for (std::size_t i = 0; i < it.server.replies.size(); ++i) {
        CAPTURE(i);
        CHECK(it.get().outcome == ExchangeOutcome::Broken);
    }
}

TEST_CASE("a response whose head is cut off at any byte is no response")
{
    ClientFixture it;
    const std::string framing = GENERATE("", "Content-Length: 0\r\n", "Content-Length: 4\r\n",
                                         "Transfer-Encoding: chunked\r\n");
    const std::string whole = "HTTP/1.1 200 OK\r\n" + framing + "X-Server-Stamp: 3e1b.07\r\n\r\n";
    for (std::size_t n = 1; n < whole.size(); ++n)
        it.server.replies.push_back({whole.substr(0, n), true});
    for (std::size_t n = 1; n < whole.size(); ++n) {
        CAPTURE(framing, n);
        const auto result = it.get();
        CHECK(result.outcome == ExchangeOutcome::Broken);
        CHECK(result.status == 0);
    }
}

// Guards against bytes of a server's header that would begin another header for the caller.
TEST_CASE("a response head with control characters is no response")
{
    ClientFixture it;
    const std::string statusLine = "HTTP/1.1 200 OK\r\n";
    const std::string rest = "\r\nContent-Length: 0\r\n\r\n";
    const std::vector<std::string> fields{
        "X-A: b\rX-C: d", "X-A: b\nX-C: d", std::string("X-A: b\0c", 8),
        "X-A: b\x7f",     "X-A\x01: b",     "X A: b"};
    for (const auto &field : fields)
        it.server.replies.push_back({statusLine + field + rest, true});
    for (const auto &field : fields) {
        CAPTURE(field);
        CHECK(it.get().outcome == ExchangeOutcome::Broken);
    }
}

TEST_CASE("a response body without a length is complete only after a clean close")
{
    ClientFixture it;
    it.server.replies = {{"HTTP/1.1 200 OK\r\n\r\nwhole", true}};
    const auto result = it.get();
    CHECK(result.outcome == ExchangeOutcome::Answered);
    CHECK(result.body == "whole");
}

TEST_CASE("an interim 1xx response does not end the exchange")
{
    ClientFixture it;
    it.server.replies = {{"HTTP/1.1 100 Continue\r\n\r\n" + responseA}};
    CHECK(it.get().body == "A");
}

TEST_CASE("a connection is not reused after Connection: close or a Keep-Alive timeout of zero")
{
    ClientFixture it;
    it.server.replies = {{"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"},
                         {"HTTP/1.1 200 OK\r\nKeep-Alive: timeout=0\r\nContent-Length: 0\r\n\r\n"},
                         {responseA}};
    CHECK(it.get().closing);
    it.get();
    CHECK(it.get().body == "A");
    CHECK(it.server.connections == 3);
}

TEST_CASE("an unreachable address is reported and an aborted exchange calls no handler")
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
    CHECK(client.connectionsOpened() == 2);
    client.send("no address", request, core::Clock::now(),
                [&](ports::ExchangeResult it) { result = std::move(it); });
    runUntil(io, [&] { return result.has_value(); });
    CHECK(result->outcome == ExchangeOutcome::NotReached);
}

// Guards against a response for whose successor the client waits, and against one that is passed
// on, although its status is none of HTTP's (RFC 9110, section 15).
TEST_CASE("a response with a status that is none ends its exchange at once")
{
    const std::string id = "X-Id: a\r\n";
    const std::string otherId = "X-Id: b\r\n";
    const std::string promise = "X-Not-Executed: 1\r\n";
    const std::string length = "Content-Length: 2\r\n";
    ClientFixture it;
    std::vector<std::string> cases;
    for (const char *status : {"000", "001", "010", "099", "101", "600", "700", "999"}) {
        for (const auto &headers :
             {std::string(), id, otherId, promise, id + promise, id + length, length,
              id + "Connection: close\r\n", id + "Transfer-Encoding: chunked\r\n"}) {
            cases.push_back("HTTP/1.1 " + std::string(status) + " X\r\n" + headers + "\r\n");
        }
    }
    for (const auto &head : cases) {
        for (const std::string identity : {"a", ""}) {
            CAPTURE(head, identity);
            // The server says no more, and keeps the connection.
            it.server.replies.push_back({head});
            const auto from = core::Clock::now();
            const auto result = it.get(identity);
            CHECK(result.outcome == ExchangeOutcome::Broken);
            CHECK(result.cause == ports::BrokenCause::Malformed);
            CHECK_FALSE(result.connectionEnded());
            CHECK(core::Clock::now() - from < 1s);
        }
    }
    // The next request gets a new connection.
    CHECK(it.server.connections == static_cast<int>(it.server.replies.size()));
    // Interim responses, and the limits of the others.
    for (const char *interim : {"100", "102", "103", "199"}) {
        it.server.replies.push_back(
            {"HTTP/1.1 " + std::string(interim) + " X\r\n\r\n" + responseA});
        CHECK(it.get("a").body == "A");
    }
    for (const int status : {200, 599}) {
        it.server.replies.push_back(
            {"HTTP/1.1 " + std::to_string(status) + " X\r\n" + id + length + "\r\nok"});
        CHECK(it.get("a").status == status);
    }
}

TEST_CASE("a response without end is broken off at a bound of bytes")
{
    ExchangeOptions options;
    options.maxBodyBytes = 256 << 10;
    ClientFixture it(options);
    const std::string block(4096, 'x');
    const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    const auto endless = [&](const std::string &start, const std::string &repeated) {
        return RawServer::Reply{start, false, false, repeated, {}, {}};
    };
    it.server.replies = {
        endless("", block),
        endless("HTTP/1.1 200 OK\r\nX-A: ", block),
        endless("HTTP/1.1 200 OK\r\n", "X-A: b\r\n"),
        endless("HTTP/1.1 200 OK\r\n\r\n", block),
        endless("HTTP/1.1 200 OK\r\nContent-Length: 1000000000\r\n\r\n", block),
        endless(chunked, "1000\r\n" + block + "\r\n"),
        endless(chunked + "5;", block),
        endless(chunked + "0\r\n", "X-A: b\r\n"),
        endless("", "HTTP/1.1 100 Continue\r\n\r\n"),
    };
    const auto replies = it.server.replies.size();
    // The kernel buffers bytes that the client has not read when it closes the connection.
    constexpr std::size_t kernelBufferBytes = 16 << 20;
    for (std::size_t i = 0; i < replies; ++i) {
        CAPTURE(i);
        it.server.repeatedBytes = 0;
        CHECK(it.get().outcome == ExchangeOutcome::Broken);
        runUntil(it.io, [&] { return it.server.endedRepetitions == static_cast<int>(i) + 1; });
        CHECK(it.server.endedRepetitions == static_cast<int>(i) + 1);
        CHECK(it.server.repeatedBytes < kernelBufferBytes);
    }
}

TEST_CASE("a response that comes a byte at a time is broken off at the deadline")
{
    ClientFixture it;
    it.server.replies = {{"HTTP/1.1 200 OK\r\nX-A: "}};
    ports::ExchangeRequest request;
    request.commonHead = std::make_shared<const std::string>(head);
    request.deadline = core::Clock::now() + 50ms;
    std::optional<ports::ExchangeResult> result;
    it.client.send(it.server.address(), std::move(request), core::Clock::now(),
                   [&](ports::ExchangeResult done) { result = std::move(done); });
    runUntil(it.io, [&] {
        it.client.tick(core::Clock::now());
        return result.has_value();
    });
    REQUIRE(result);
    CHECK(result->outcome == ExchangeOutcome::TimedOut);
}

TEST_CASE("large unfinished responses are broken off while all of them exceed their memory")
{
    ExchangeOptions options;
    options.maxBufferedBytes = 64 << 10;
    ClientFixture it(options);
    const std::string lengthHead = "HTTP/1.1 200 OK\r\nContent-Length: 40000\r\n\r\n";
    for (int i = 0; i < 3; ++i)
        it.server.replies.push_back({lengthHead + std::string(30 << 10, 'x')});
    it.server.replies.push_back({responseA});
    std::vector<ports::ExchangeResult> results;
    for (int i = 0; i < 3; ++i) {
        ports::ExchangeRequest request;
        request.commonHead = std::make_shared<const std::string>(head);
        it.client.send(it.server.address(), std::move(request), core::Clock::now(),
                       [&](ports::ExchangeResult done) { results.push_back(std::move(done)); });
    }
    runUntil(it.io, [&] { return !results.empty(); });
    REQUIRE(results.size() == 1);
    CHECK(results.front().outcome == ExchangeOutcome::Broken);
    CHECK(it.get().body == "A");
}

// Guards against the sum of many unfinished responses, each of which is within its own limits.
TEST_CASE("unfinished responses of many servers stay within a bound together")
{
    ExchangeOptions options;
    options.maxBufferedBytes = 256 << 10;
    const std::string lengthHead = "HTTP/1.1 200 OK\r\nContent-Length: 40000\r\n\r\n";
    std::string headerLines;
    while (headerLines.size() < (30U << 10))
        headerLines += "X-" + std::to_string(headerLines.size()) + ": value\r\n";
    const std::vector<std::string> unfinished{
        lengthHead + std::string(30 << 10, 'x'),
        "HTTP/1.1 200 OK\r\n" + headerLines,
        "HTTP/1.1 200 OK\r\nX-A: " + std::string(30 << 10, 'x'),
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;" + std::string(30 << 10, 'x'),
    };
    constexpr int exchanges = 40;
    for (const auto &it : unfinished) {
        CAPTURE(it.substr(0, 60));
        ClientFixture fixture(options);
        fixture.server.replies.assign(exchanges, {it});
        fixture.server.replies.push_back({responseA});
        std::vector<ports::ExchangeResult> results;
        for (int i = 0; i < exchanges; ++i) {
            ports::ExchangeRequest request;
            request.commonHead = std::make_shared<const std::string>(head);
            fixture.client.send(
                fixture.server.address(), std::move(request), core::Clock::now(),
                [&](ports::ExchangeResult done) { results.push_back(std::move(done)); });
        }
        // Those that are left fit into the bound.
        const auto most = options.maxBufferedBytes / it.size();
        runUntil(fixture.io, [&] { return results.size() >= exchanges - most; });
        CHECK(results.size() >= exchanges - most);
        CHECK(results.size() < exchanges);
        for (const auto &result : results) {
            CHECK(result.outcome == ExchangeOutcome::Broken);
            CHECK(result.cause == ports::BrokenCause::TooLong);
        }
        CHECK(fixture.get().body == "A");
    }
}

TEST_CASE("a success without the identity header is not taken for the response")
{
    ClientFixture it;
    const std::string unnamed = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nX";
    // A second copy of an earlier response arrives on a connection that is in use again.
    it.server.replies = {{responseA}, {unnamed + responseB}, {responseA}};
    CHECK(it.get("a").body == "A");
    CHECK(it.get("b").body == "B");
    CHECK(it.get("a").body == "A");
    CHECK(it.server.connections == 2);
}

TEST_CASE("a connection that is checked is kept for the next request")
{
    asio::io_context io;
    RawServer server(io);
    server.replies = {{"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"}};
    ExchangeClient client(io, {});
    std::optional<core::ConnectOutcome> checked;
    client.checkConnect(server.address(), core::Clock::now(),
                        [&](core::ConnectOutcome it) { checked = it; });
    CHECK_FALSE(checked);
    runUntil(io, [&] { return checked.has_value(); });
    CHECK(checked == core::ConnectOutcome::Connected);
    std::optional<ports::ExchangeResult> result;
    ports::ExchangeRequest request;
    request.commonHead = std::make_shared<const std::string>(head);
    client.send(server.address(), std::move(request), core::Clock::now(),
                [&](ports::ExchangeResult it) { result = std::move(it); });
    runUntil(io, [&] { return result.has_value(); });
    REQUIRE(result);
    CHECK(result->outcome == ExchangeOutcome::Answered);
    CHECK(server.connections == 1);
}

TEST_CASE("a checked address where nothing listens is reported as refused")
{
    asio::io_context io;
    std::string address;
    {
        RawServer server(io);
        address = server.address();
        boost::system::error_code ec;
        server.acceptor.close(ec);
    }
    ExchangeClient client(io, {});
    std::optional<core::ConnectOutcome> checked;
    client.checkConnect(address, core::Clock::now(),
                        [&](core::ConnectOutcome it) { checked = it; });
    runUntil(io, [&] { return checked.has_value(); });
    CHECK(checked == core::ConnectOutcome::Refused);
}

TEST_CASE("a connection that the server ends before its response is told from a bad response")
{
    asio::io_context io;
    RawServer server(io);
    server.replies = {{"", true}, {"no http\r\n\r\n"}};
    ExchangeClient client(io, {});
    for (const bool ended : {true, false}) {
        std::optional<ports::ExchangeResult> result;
        ports::ExchangeRequest request;
        request.commonHead = std::make_shared<const std::string>(head);
        client.send(server.address(), std::move(request), core::Clock::now(),
                    [&](ports::ExchangeResult it) { result = std::move(it); });
        runUntil(io, [&] { return result.has_value(); });
        REQUIRE(result);
        CHECK(result->outcome == ExchangeOutcome::Broken);
        CHECK(result->connectionEnded() == ended);
    }
}
