#pragma once

#include "http_loop.h"

#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace standins {

// Stand-ins of the servers of forwarded routes, each on a port of its own, with their entries in
// the platform's store.
class BackendFarm
{
public:
    // `spec`: {"services": {NAME: {"servers": 3, "work_ms": 5}}}. Entries are written to the store
    // at `platform`.
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
        std::string state = "ready";
        // "up", "hang", "fail", "shed", "lose", "garble" or "late-shed", which runs the request and
        // then answers as if it were full.
        std::string mode = "up";
        int runs = 0;
        std::map<std::string, int> runsById;
        std::shared_ptr<asio::ip::tcp::acceptor> acceptor;
    };
    using BackendPtr = std::shared_ptr<Backend>;

    void add(const std::string &service, int number, double workMs);
    void publish(Backend &backend);
    asio::awaitable<Response> serve(const Request &request, std::shared_ptr<Connection> connection,
                                    BackendPtr backend);
    asio::awaitable<Response> admin(const Request &request);
    unsigned sendToStore(http::verb verb, const std::string &target, const nlohmann::json &body);

    asio::io_context &m_io;
    std::string m_platform;
    std::vector<BackendPtr> m_backends;
    std::shared_ptr<asio::ip::tcp::acceptor> m_admin;
};

} // namespace standins
