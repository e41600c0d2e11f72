#pragma once

#include "server_standin.h"

#include <nlohmann/json_fwd.hpp>

namespace standins {

// All backend servers of one user in one process, with their listing on the platform and an
// address at which tests switch them.
class ServerFarm
{
public:
    // `spec` is JSON: the services with their shapes. `platform` is the platform's address.
    ServerFarm(asio::io_context &io, const std::string &spec, std::string platform,
               unsigned short adminPort);

    // Writes the list of servers and snapshots to the platform.
    void publish();

    unsigned short adminPort() const { return m_admin->local_endpoint().port(); }

private:
    struct Snapshot
    {
        std::uint64_t indexVersion = 1;
        std::uint32_t shardMap = 1;
        std::map<int, std::uint64_t> documents;
    };
    struct Service
    {
        bool sharded = true;
        std::vector<std::shared_ptr<ServerStandin>> servers;
        std::vector<Snapshot> snapshots;
        std::set<std::string> leaving;
    };

    void addService(const std::string &name, const nlohmann::json &spec);
    asio::awaitable<Response> admin(const Request &request);
    Response counters() const;
    void set(const nlohmann::json &match, const nlohmann::json &changes);
    void apply(ServerStandin &server, const nlohmann::json &changes);
    void addSnapshot(const nlohmann::json &body);
    std::string fleetText() const;

    asio::io_context &m_io;
    std::string m_platform;
    std::map<std::string, Service> m_services;
    std::uint64_t m_revision = 0;
    std::int64_t m_startedAt;
    std::shared_ptr<asio::ip::tcp::acceptor> m_admin;
};

} // namespace standins
