#pragma once

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

// A small blocking HTTP/1.1 server and client over TCP, with one thread for each connection.
namespace review {

using Headers = std::vector<std::pair<std::string, std::string>>;

// Returns the value of the first header with this name, in any case; empty if there is none.
std::string headerOf(const Headers &headers, const std::string &name);

struct Request
{
    std::string method;
    std::string target;
    Headers headers;
    std::string body;

    std::string header(const std::string &name) const { return headerOf(headers, name); }
    // Returns the target without its query.
    std::string path() const { return target.substr(0, target.find('?')); }
    // Returns the decoded value of a query parameter; nothing if it is absent.
    std::optional<std::string> parameter(const std::string &name) const;
};

struct Response
{
    int status = 0;
    Headers headers;
    std::string body;

    std::string header(const std::string &name) const { return headerOf(headers, name); }
};

// Returns the bytes of a response with a Content-Length.
std::string encode(const Response &response);

// One TCP connection. Used by one thread, except for shutDown().
class Connection
{
public:
    explicit Connection(int fd) : m_fd(fd) { }
    ~Connection();
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    // Reads the next request. Nothing if the connection ended; a request without a method if the
    // request line is malformed.
    std::optional<Request> readRequest();
    // Reads the next final response within the time; nothing if none arrived completely.
    std::optional<Response> readResponse(int timeoutMs);
    bool write(const std::string &bytes);
    // Ends reads and writes of any thread.
    void shutDown();
    // Returns whether the peer closed the connection, or sent bytes that were not asked for.
    bool ended() const;
    // Returns whether the last read met the end of the stream and not a reset, which the other end
    // causes if it closes with bytes that it has not read.
    bool endedOrderly() const { return m_endOfStream; }

    // Bytes that a faulty server sends before its next response.
    std::string pendingBytes;

private:
    bool fill(int timeoutMs);
    std::optional<std::string> readHead(int timeoutMs);
    std::optional<std::string> readBody(const Headers &headers, int timeoutMs);

    int m_fd;
    std::string m_buffer;
    bool m_endOfStream = false;
};

// Listens on an address and handles requests, each connection on a thread of its own.
class Listener
{
public:
    // Returns the bytes to send, or nothing to close the connection without an answer.
    using Handler = std::function<std::optional<std::string>(const Request &, Connection &)>;

    // Listens on "IP:PORT"; port 0 selects a free one. Throws std::runtime_error on failure.
    Listener(const std::string &address, Handler handler);
    ~Listener() { stop(); }

    const std::string &address() const { return m_address; }
    // Closes the listening socket and all connections.
    void stop();
    // Closes all connections.
    void closeConnections();

private:
    void accept();

    int m_fd = -1;
    std::string m_address;
    Handler m_handler;
    std::mutex m_mutex;
    bool m_stopped = false;
    std::set<std::shared_ptr<Connection>> m_connections;
};

// Returns whether nothing listens on "IP:PORT".
bool isFree(const std::string &address);

// Opens a connection; null if that fails within the time.
std::unique_ptr<Connection> connectTo(const std::string &address, int timeoutMs);

// Sends a request on a new connection and returns the response; nothing if none arrived.
std::optional<Response> call(const std::string &address, const Request &request, int timeoutMs);

// Returns the bytes of a request, with a Content-Length if it has a body.
std::string encode(const Request &request);

} // namespace review
