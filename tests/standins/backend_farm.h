#pragma once

#include "http_server.h"

#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

namespace standins {

// Stand-ins of the backend servers of forwarded routes, each on a port of its own, with their
// entries in the platform's store. Not thread-safe: runs on the event loop of `io`.
class BackendFarm
{
public:
    // `spec` is JSON: {"services": {NAME: {"servers": 3, "work_ms": 5}}}. The entries are written
    // to the store at the address `platform`. Throws std::exception if that fails or `spec` is
    // invalid.
    BackendFarm(asio::io_context &io, const std::string &spec, std::string platform,
                unsigned short adminPort);

    unsigned short adminPort() const { return m_admin->local_endpoint().port(); }

private:
    struct Backend
    {
        std::string id;
        std::string service;
        std::string zone;
        double workMs = 5;
        int sequence = 0;
        // Start time of the process; a restart raises it.
        std::int64_t startedAt = 1700000000000;
        std::string state = "ready";
        // "up", "shed" (rejects without execution), or a fault after the execution has begun:
        // "hang" (no response), "lose" (closes the connection), "garble" (truncated response),
        // "endless-head", "endless-body", "endless-chunks" (bytes until the caller closes),
        // "held-body" (900 kB of a longer body and no more), "fail" (status 500), "status-N"
        // (status N, with the stamp) or "late-shed" (status 503 as if overloaded, but without the
        // guarantee that the request was not executed).
        std::string mode = "up";
        // The server says in each response that it is leaving.
        bool saysLeaving = false;
        // If above 0, the server refuses each request and asks for none for this many seconds.
        double restSeconds = 0;
        // Requests per second that the server names as its limit; 0 for none.
        double limitPerSecond = 0;
        // The process crashes while it runs a request whose target or body contains this text, and
        // starts again after the time. Empty for none.
        std::string crashMarker;
        double downSeconds = 1;
        int crashes = 0;
        std::set<std::shared_ptr<Connection>> connections;
        // Requests that arrived, refused ones included.
        int arrivals = 0;
        // Requests whose execution has begun.
        int executions = 0;
        std::map<std::string, int> executionsById;
        // Headers of the last request by its id, each as "Name: value".
        std::map<std::string, std::vector<std::string>> headersById;
        std::shared_ptr<asio::ip::tcp::acceptor> acceptor;
    };
    using BackendPtr = std::shared_ptr<Backend>;

    void addBackend(const std::string &service, int number, double workMs);
    // Listens at the port, or at any free one if it is 0.
    void startListening(const BackendPtr &backend, unsigned short port);
    // Closes the listener and all connections, and starts the process again later.
    void crash(const BackendPtr &backend);
    asio::awaitable<void> restartLater(BackendPtr backend, unsigned short port);
    void publish(Backend &backend);
    // Sets what a faulty server sends in place of a response.
    static void setRaw(Connection &connection, const std::string &mode, const std::string &id);
    asio::awaitable<Response> respond(const Request &request,
                                      std::shared_ptr<Connection> connection, BackendPtr backend);
    asio::awaitable<Response> serve(const Request &request, std::shared_ptr<Connection> connection,
                                    BackendPtr backend);
    asio::awaitable<Response> admin(const Request &request);
    unsigned writeToStore(http::verb verb, const std::string &target, const nlohmann::json &body);

    asio::io_context &m_io;
    std::string m_platform;
    std::vector<BackendPtr> m_backends;
    std::shared_ptr<asio::ip::tcp::acceptor> m_admin;
};

} // namespace standins
