#pragma once

#include "server_standin.h"

#include <nlohmann/json_fwd.hpp>

namespace standins {

// Stand-ins of all backend servers in one process, with their list in the platform's store and an
// admin address at which tests inject faults. Not thread-safe: runs on the event loop of `io`.
class ServerFarm
{
public:
    // `spec` is the JSON specification of the services. `platform` is the address of the platform's
    // store. Throws std::exception if `spec` is invalid.
    ServerFarm(asio::io_context &io, const std::string &spec, std::string platform,
               unsigned short adminPort);

    // Writes the list of servers and snapshots to the platform's store. Throws std::exception if
    // that fails.
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
        // Ids of servers that the list marks as leaving.
        std::set<std::string> leaving;
    };

    void addService(const std::string &name, const nlohmann::json &spec);
    asio::awaitable<Response> admin(const Request &request);
    Response counters() const;
    void changeServers(const nlohmann::json &match, const nlohmann::json &changes);
    void applyChanges(ServerStandin &server, const nlohmann::json &changes);
    void addSnapshot(const nlohmann::json &body);
    std::string serializeFleet() const;

    asio::io_context &m_io;
    std::string m_platform;
    std::map<std::string, Service> m_services;
    std::uint64_t m_revision = 0;
    std::int64_t m_startedAt;
    std::shared_ptr<asio::ip::tcp::acceptor> m_admin;
};

} // namespace standins
