#include "policy/routing/fleet.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace goldcrestline::policy::routing {

using nlohmann::json;

namespace {

ServerRecord readServer(const json &object)
{
    ServerRecord server;
    server.id = object.at("id").get<std::string>();
    server.zone = object.at("zone").get<std::string>();
    server.address = object.at("address").get<std::string>();
    server.group = object.value("group", 0);
    server.startedAt = object.value("started_at_ms", core::WallMillis{0});
    server.connections = object.value("connections", 1);
    server.leaving = object.value("state", "live") == "leaving";
    return server;
}

Snapshot readSnapshot(const json &object)
{
    Snapshot snapshot;
    snapshot.id.indexVersion = object.at("index_version").get<std::uint64_t>();
    snapshot.id.shardMap = object.at("shard_map").get<std::uint32_t>();
    for (const auto &it : object.at("documents").items())
        snapshot.documentsByGroup[std::stoi(it.key())] = it.value().get<std::uint64_t>();
    return snapshot;
}

ServiceRecord readService(const json &object)
{
    ServiceRecord service;
    service.sharded = object.value("sharded", true);
    for (const auto &it : object.at("servers"))
        service.servers.push_back(readServer(it));
    for (const auto &it : object.value("snapshots", json::array()))
        service.snapshots.push_back(readSnapshot(it));
    std::sort(service.snapshots.begin(), service.snapshots.end(),
              [](const Snapshot &a, const Snapshot &b) { return a.id < b.id; });
    return service;
}

} // namespace

std::uint64_t Snapshot::documents() const
{
    std::uint64_t sum = 0;
    for (const auto &it : documentsByGroup)
        sum += it.second;
    return sum;
}

core::Result<Fleet> parseFleet(std::string_view text)
{
    try {
        const json object = json::parse(text);
        Fleet fleet;
        fleet.revision = object.at("revision").get<std::uint64_t>();
        for (const auto &it : object.at("services").items())
            fleet.services[it.key()] = readService(it.value());
        return fleet;
    } catch (const std::exception &e) {
        return core::Error{core::ResultCode::ListsSyntax, e.what()};
    }
}

} // namespace goldcrestline::policy::routing
