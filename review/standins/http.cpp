#include "http.h"

#include <arpa/inet.h>
#include <cerrno>
#include <charconv>
#include <chrono>
#include <cstring>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdexcept>
#include <strings.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace review {

namespace {

constexpr int serverReadTimeoutMs = 60000;
constexpr std::size_t readBytes = 64 * 1024;

sockaddr_in parseAddress(const std::string &address)
{
    const auto colon = address.rfind(':');
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
    if (inet_pton(AF_INET, address.substr(0, colon).c_str(), &out.sin_addr) != 1)
        throw std::runtime_error("malformed address " + address);
    return out;
}

std::string formatAddress(const sockaddr_in &address)
{
    char text[INET_ADDRSTRLEN] = {};
    inet_ntop(AF_INET, &address.sin_addr, text, sizeof text);
    return std::string(text) + ":" + std::to_string(ntohs(address.sin_port));
}

std::vector<std::string> split(const std::string &text, const std::string &separator)
{
    std::vector<std::string> out;
    std::size_t begin = 0;
    for (;;) {
        const auto end = text.find(separator, begin);
        out.push_back(text.substr(begin, end - begin));
        if (end == std::string::npos)
            return out;
        begin = end + separator.size();
    }
}

Headers parseHeaders(const std::vector<std::string> &lines)
{
    Headers out;
    for (std::size_t i = 1; i < lines.size(); ++i) {
        const auto colon = lines[i].find(':');
        if (colon == std::string::npos)
            continue;
        const auto begin = lines[i].find_first_not_of(" \t", colon + 1);
        out.emplace_back(lines[i].substr(0, colon),
                         begin == std::string::npos ? "" : lines[i].substr(begin));
    }
    return out;
}

std::string decodePercent(const std::string &text)
{
    std::string out;
    for (std::size_t i = 0; i < text.size(); ++i) {
        unsigned value = 0;
        if (text[i] == '%' && i + 2 < text.size()
            && std::from_chars(text.data() + i + 1, text.data() + i + 3, value, 16).ptr
                == text.data() + i + 3) {
            out += static_cast<char>(value);
            i += 2;
        } else {
            out += text[i] == '+' ? ' ' : text[i];
        }
    }
    return out;
}

} // namespace

std::string headerOf(const Headers &headers, const std::string &name)
{
    for (const auto &it : headers) {
        if (strcasecmp(it.first.c_str(), name.c_str()) == 0)
            return it.second;
    }
    return {};
}

std::optional<std::string> Request::parameter(const std::string &name) const
{
    const auto mark = target.find('?');
    if (mark == std::string::npos)
        return std::nullopt;
    for (const auto &it : split(target.substr(mark + 1), "&")) {
        const auto equals = it.find('=');
        if (equals != std::string::npos && it.substr(0, equals) == name)
            return decodePercent(it.substr(equals + 1));
    }
    return std::nullopt;
}

std::string encode(const Response &response)
{
    std::string out = "HTTP/1.1 " + std::to_string(response.status) + " -\r\n";
    for (const auto &it : response.headers)
        out += it.first + ": " + it.second + "\r\n";
    return out + "Content-Length: " + std::to_string(response.body.size()) + "\r\n\r\n"
        + response.body;
}

std::string encode(const Request &request)
{
    std::string out = request.method + " " + request.target + " HTTP/1.1\r\n";
    for (const auto &it : request.headers)
        out += it.first + ": " + it.second + "\r\n";
    if (!request.body.empty() || request.method == "POST" || request.method == "PUT")
        out += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
    return out + "\r\n" + request.body;
}

Connection::~Connection()
{
    ::close(m_fd);
}

void Connection::shutDown()
{
    ::shutdown(m_fd, SHUT_RDWR);
}

bool Connection::ended() const
{
    pollfd it{m_fd, POLLIN, 0};
    return ::poll(&it, 1, 0) != 0;
}

bool Connection::fill(int timeoutMs)
{
    pollfd it{m_fd, POLLIN, 0};
    if (timeoutMs <= 0 || ::poll(&it, 1, timeoutMs) != 1)
        return false;
    std::string bytes(readBytes, '\0');
    const auto n = ::recv(m_fd, bytes.data(), bytes.size(), 0);
    m_endOfStream = n == 0;
    if (n <= 0)
        return false;
    m_buffer.append(bytes, 0, static_cast<std::size_t>(n));
    return true;
}

std::optional<std::string> Connection::readHead(int timeoutMs)
{
    const auto until = std::chrono::steady_clock::now() + std::chrono::milliseconds(timeoutMs);
    for (;;) {
        const auto end = m_buffer.find("\r\n\r\n");
        if (end != std::string::npos) {
            auto head = m_buffer.substr(0, end);
            m_buffer.erase(0, end + 4);
            return head;
        }
        const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
            until - std::chrono::steady_clock::now());
        if (!fill(static_cast<int>(left.count())))
            return std::nullopt;
    }
}

std::optional<std::string> Connection::readBody(const Headers &headers, int timeoutMs)
{
    const auto text = headerOf(headers, "Content-Length");
    const std::size_t length = text.empty() ? 0 : std::stoul(text);
    const auto until = std::chrono::steady_clock::now() + std::chrono::milliseconds(timeoutMs);
    while (m_buffer.size() < length) {
        const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
            until - std::chrono::steady_clock::now());
        if (!fill(static_cast<int>(left.count())))
            return std::nullopt;
    }
    auto body = m_buffer.substr(0, length);
    m_buffer.erase(0, length);
    return body;
}

std::optional<Request> Connection::readRequest()
{
    const auto head = readHead(serverReadTimeoutMs);
    if (!head)
        return std::nullopt;
    const auto lines = split(*head, "\r\n");
    const auto words = split(lines.front(), " ");
    Request request;
    request.headers = parseHeaders(lines);
    // A request line has three words: a blank inside of the target makes it malformed.
    if (words.size() != 3)
        return request;
    request.method = words[0];
    request.target = words[1];
    auto body = readBody(request.headers, serverReadTimeoutMs);
    if (!body)
        return std::nullopt;
    request.body = std::move(*body);
    return request;
}

std::optional<Response> Connection::readResponse(int timeoutMs)
{
    const auto head = readHead(timeoutMs);
    if (!head)
        return std::nullopt;
    const auto lines = split(*head, "\r\n");
    const auto words = split(lines.front(), " ");
    if (words.size() < 2 || words[0] != "HTTP/1.1")
        return std::nullopt;
    Response response;
    response.status = std::stoi(words[1]);
    response.headers = parseHeaders(lines);
    auto body = readBody(response.headers, timeoutMs);
    if (!body)
        return std::nullopt;
    response.body = std::move(*body);
    return response;
}

bool Connection::write(const std::string &bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const auto n = ::send(m_fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (n <= 0)
            return false;
        sent += static_cast<std::size_t>(n);
    }
    return true;
}

Listener::Listener(const std::string &address, Handler handler) : m_handler(std::move(handler))
{
    m_fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(m_fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    auto bound = parseAddress(address);
    socklen_t size = sizeof bound;
    if (::bind(m_fd, reinterpret_cast<sockaddr *>(&bound), size) != 0 || ::listen(m_fd, 512) != 0)
        throw std::runtime_error("cannot listen on " + address + ": " + std::strerror(errno));
    ::getsockname(m_fd, reinterpret_cast<sockaddr *>(&bound), &size);
    m_address = formatAddress(bound);
    std::thread([this] { accept(); }).detach();
}

void Listener::accept()
{
    for (;;) {
        const int fd = ::accept4(m_fd, nullptr, nullptr, SOCK_CLOEXEC);
        const std::scoped_lock lock(m_mutex);
        if (m_stopped) {
            if (fd >= 0)
                ::close(fd);
            return;
        }
        if (fd < 0)
            continue;
        const int on = 1;
        ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        auto connection = std::make_shared<Connection>(fd);
        m_connections.insert(connection);
        std::thread([this, connection] {
            while (const auto request = connection->readRequest()) {
                const auto bytes = request->method.empty()
                    ? std::optional(encode(Response{400, {}, ""}))
                    : m_handler(*request, *connection);
                if (!bytes || !connection->write(*bytes))
                    break;
            }
            connection->shutDown();
            const std::scoped_lock closing(m_mutex);
            m_connections.erase(connection);
        }).detach();
    }
}

void Listener::stop()
{
    const std::scoped_lock lock(m_mutex);
    if (std::exchange(m_stopped, true))
        return;
    ::shutdown(m_fd, SHUT_RDWR);
    ::close(m_fd);
    for (const auto &it : m_connections)
        it->shutDown();
}

bool isFree(const std::string &address)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto bound = parseAddress(address);
    const bool free = ::bind(fd, reinterpret_cast<const sockaddr *>(&bound), sizeof bound) == 0;
    ::close(fd);
    return free;
}

void Listener::closeConnections()
{
    const std::scoped_lock lock(m_mutex);
    for (const auto &it : m_connections)
        it->shutDown();
}

std::unique_ptr<Connection> connectTo(const std::string &address, int timeoutMs)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    auto connection = std::make_unique<Connection>(fd);
    const auto to = parseAddress(address);
    if (::connect(fd, reinterpret_cast<const sockaddr *>(&to), sizeof to) != 0) {
        pollfd it{fd, POLLOUT, 0};
        int error = 0;
        socklen_t size = sizeof error;
        if (errno != EINPROGRESS || ::poll(&it, 1, timeoutMs) != 1
            || ::getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0)
            return nullptr;
    }
    ::fcntl(fd, F_SETFL, ::fcntl(fd, F_GETFL) & ~O_NONBLOCK);
    const int on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return connection;
}

std::optional<Response> call(const std::string &address, const Request &request, int timeoutMs)
{
    const auto connection = connectTo(address, timeoutMs);
    if (!connection || !connection->write(encode(request)))
        return std::nullopt;
    return connection->readResponse(timeoutMs);
}

} // namespace review
