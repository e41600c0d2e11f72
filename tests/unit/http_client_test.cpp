#include "adapters/curl/blocking.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <thread>

using namespace goldcrestline;
using namespace goldcrestline::adapters::curl;
using boost::asio::ip::tcp;

namespace {

// Answers one request on each connection with the next of the replies, and closes the connection.
// If `repeated` is set, sends that after each reply until the client closes the connection.
class ClosingServer
{
public:
    explicit ClosingServer(std::vector<std::string> replies, std::string repeated = {})
        : m_acceptor(m_io, {boost::asio::ip::address_v4::loopback(), 0}),
          m_url("http://127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port()) + "/"),
          m_repeated(std::move(repeated)),
          m_thread([this, replies = std::move(replies)] { serve(replies); })
    { }
    ~ClosingServer() { m_thread.join(); }

    const std::string &url() const { return m_url; }

private:
    void serve(const std::vector<std::string> &replies)
    {
        for (const auto &it : replies) {
            tcp::socket socket(m_io);
            m_acceptor.accept(socket);
            boost::system::error_code ec;
            boost::asio::streambuf request;
            boost::asio::read_until(socket, request, "\r\n\r\n", ec);
            boost::asio::write(socket, boost::asio::buffer(it), ec);
            while (!ec && !m_repeated.empty())
                boost::asio::write(socket, boost::asio::buffer(m_repeated), ec);
        }
    }

    boost::asio::io_context m_io;
    tcp::acceptor m_acceptor;
    std::string m_url;
    std::string m_repeated;
    std::thread m_thread;
};

} // namespace

TEST_CASE("the command line's client takes no response whose head is cut off for a whole one")
{
    const std::string whole = "HTTP/1.1 200 OK\r\nX-Part: 1\r\nContent-Length: 4\r\n\r\n";
    std::vector<std::string> replies;
    for (std::size_t n = 1; n < whole.size(); ++n)
        replies.push_back(whole.substr(0, n));
    replies.push_back(whole + "body");
    ClosingServer server(replies);
    HttpClient client;
    for (std::size_t n = 1; n <= replies.size(); ++n) {
        Transfer transfer;
        transfer.url = server.url();
        transfer.freshConnection = true;
        const auto result = fetch(client, std::move(transfer));
        CAPTURE(n, result.status, result.body);
        const bool complete = n == replies.size();
        CHECK((result.outcome == TransferOutcome::Answered) == complete);
    }
}

// Guards against a status that is none of HTTP's (RFC 9110, section 15) in a report of the command
// line.
TEST_CASE("the command line's client takes no response with a status that is none")
{
    std::vector<std::string> replies;
    for (const char *status : {"000", "001", "099", "600", "999"}) {
        replies.push_back("HTTP/1.1 " + std::string(status) + " X\r\nContent-Length: 2\r\n\r\nok");
    }
    ClosingServer server(replies);
    HttpClient client;
    for (std::size_t n = 0; n < replies.size(); ++n) {
        Transfer transfer;
        transfer.url = server.url();
        transfer.freshConnection = true;
        const auto result = fetch(client, std::move(transfer));
        CAPTURE(replies[n], result.status);
        CHECK(result.outcome == TransferOutcome::Broken);
    }
}

// Guards against a server that fills the memory of the command line.
TEST_CASE("the command line's client breaks off a response without end")
{
    const std::string block(65536, 'x');
    const std::vector<std::pair<std::string, std::string>> cases{
        {"HTTP/1.1 200 OK\r\n", "X-" + block.substr(0, 20) + ": b\r\n"},
        {"HTTP/1.1 200 OK\r\nX-A: ", block},
        {"", "HTTP/1.1 100 Continue\r\nX-A: b\r\n\r\n"},
        {"", block},
        {"HTTP/1.1 200 OK\r\n\r\n", block},
        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "10000\r\n" + block + "\r\n"},
    };
    for (const auto &[start, repeated] : cases) {
        CAPTURE(start, repeated.substr(0, 40));
        ClosingServer server({start}, repeated);
        HttpClient client;
        Transfer transfer;
        transfer.url = server.url();
        transfer.freshConnection = true;
        transfer.timeout = core::Millis(20000);
        const auto result = fetch(client, std::move(transfer));
        // The bound of bytes ends it, not the time-out.
        CHECK(result.outcome == TransferOutcome::Broken);
    }
}
