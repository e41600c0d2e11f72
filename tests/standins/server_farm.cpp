#include "server_farm.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace standins {

using nlohmann::json;

namespace {

std::int64_t wallClockMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

ServerParameters parseParameters(const json &spec)
{
    ServerParameters parameters;
    parameters.sharded = spec.value("sharded", true);
    parameters.slots = spec.value("slots", parameters.slots);
    parameters.queue = spec.value("queue", parameters.queue);
    parameters.connections = spec.value("connections", parameters.connections);
    parameters.connectMs = spec.value("connect_ms", parameters.connectMs);
    parameters.serviceMs = spec.value("service_ms", parameters.serviceMs);
    parameters.zoneDelayMs = spec.value("zone_delay_ms", parameters.zoneDelayMs);
    parameters.tailShare = spec.value("tail_share", parameters.tailShare);
    parameters.tailFactor = spec.value("tail_factor", parameters.tailFactor);
    parameters.loadReportDelayMs = spec.value("load_lag_ms", parameters.loadReportDelayMs);
    return parameters;
}

bool matches(const ServerParameters &parameters, const json &match)
{
    return match.value("service", parameters.service) == parameters.service
        && match.value("group", parameters.group) == parameters.group
        && match.value("zone", parameters.zone) == parameters.zone
        && match.value("id", parameters.id) == parameters.id;
}

} // namespace

ServerFarm::ServerFarm(asio::io_context &io, const std::string &spec, std::string platform,
                       unsigned short adminPort)
    : m_io(io), m_platform(std::move(platform)), m_startedAt(wallClockMs())
{
    const auto services = json::parse(spec).at("services");
    for (const auto &it : services.items())
        addService(it.key(), it.value());
    ListenerHooks hooks;
    hooks.handle = [this](const Request &request, std::shared_ptr<Connection>) {
        return admin(request);
    };
    m_admin = listen(io, adminPort, std::move(hooks));
}

void ServerFarm::addService(const std::string &name, const json &spec)
{
    auto &service = m_services[name];
    service.sharded = spec.value("sharded", true);
    const auto zones = spec.value("zones", std::vector<std::string>{"a", "b", "c"});
    const int groups = service.sharded ? spec.value("groups", 10) : 1;
    const int spareGroups = spec.value("spare_groups", 0);
    const int perGroup = spec.value("servers_per_group", 3);
    const auto documents = spec.value("documents_per_group", std::uint64_t{1000});
    Snapshot first;
    unsigned seed = 1;
    for (int group = 0; group < groups + spareGroups; ++group) {
        if (group < groups)
            first.documents[group] = documents;
        for (int i = 0; i < perGroup; ++i) {
            auto parameters = parseParameters(spec);
            parameters.service = name;
            parameters.group = group;
            parameters.zone = zones[static_cast<std::size_t>(i) % zones.size()];
            parameters.id = name + "-" + std::to_string(group) + "-" + std::to_string(i);
            auto server = std::make_shared<ServerStandin>(m_io, parameters, seed++);
            server->startedAt = m_startedAt;
            if (service.sharded && group < groups)
                server->snapshots["1.1"] = documents;
            service.servers.push_back(std::move(server));
        }
    }
    if (service.sharded)
        service.snapshots.push_back(std::move(first));
}

std::string ServerFarm::serializeFleet() const
{
    json out{{"revision", m_revision}, {"services", json::object()}};
    for (const auto &[name, service] : m_services) {
        auto &entry = out["services"][name];
        entry = {
            {"sharded", service.sharded}, {"servers", json::array()}, {"snapshots", json::array()}};
        for (const auto &it : service.servers) {
            const auto &parameters = it->parameters();
            entry["servers"].push_back(
                {{"id", parameters.id},
                 {"zone", parameters.zone},
                 {"address", "127.0.0.1:" + std::to_string(it->port())},
                 {"group", parameters.group},
                 {"started_at_ms", it->startedAt},
                 {"connections", parameters.connections},
                 {"state", service.leaving.count(parameters.id) != 0 ? "leaving" : "live"}});
        }
        for (const auto &it : service.snapshots) {
            json documents = json::object();
            for (const auto &[group, n] : it.documents)
                documents[std::to_string(group)] = n;
            entry["snapshots"].push_back({{"index_version", it.indexVersion},
                                          {"shard_map", it.shardMap},
                                          {"documents", documents}});
        }
    }
    return out.dump();
}

void ServerFarm::publish()
{
    ++m_revision;
    const auto colon = m_platform.rfind(':');
    asio::ip::tcp::socket socket(m_io);
    socket.connect({asio::ip::make_address(m_platform.substr(0, colon)),
                    static_cast<unsigned short>(std::stoi(m_platform.substr(colon + 1)))});
    const auto send = [&](http::verb verb, const std::string &target) {
        Request request{verb, target, 11};
        request.set(http::field::host, m_platform);
        request.body() =
            json{{"meta", {{"name", "servers"}}}, {"spec", json::parse(serializeFleet())}}.dump();
        request.prepare_payload();
        http::write(socket, request);
        boost::beast::flat_buffer buffer;
        Response response;
        http::read(socket, buffer, response);
        return response.result_int();
    };
    const std::string kind = "/objects/goldcrestline-fleet";
    auto status = send(http::verb::put, kind + "/servers");
    if (status == 404)
        status = send(http::verb::post, kind);
    if (status != 200)
        throw std::runtime_error("the platform rejected the list of servers");
}

asio::awaitable<Response> ServerFarm::admin(const Request &request)
{
    if (request.target() == "/admin/counters")
        co_return counters();
    const auto body = json::parse(request.body(), nullptr, false);
    if (body.is_discarded())
        co_return makeResponse(400);
    if (request.target() == "/admin/servers")
        changeServers(body.at("match"), body.at("set"));
    else if (request.target() == "/admin/snapshot")
        addSnapshot(body);
    else if (request.target() == "/admin/publish")
        publish();
    else
        co_return makeResponse(404);
    co_return makeResponse(200);
}

void ServerFarm::changeServers(const json &match, const json &changes)
{
    for (auto &service : m_services) {
        for (auto &server : service.second.servers) {
            if (!matches(server->parameters(), match))
                continue;
            applyChanges(*server, changes);
            const auto state = changes.value("listed", "");
            if (state == "leaving")
                service.second.leaving.insert(server->parameters().id);
            if (state == "live")
                service.second.leaving.erase(server->parameters().id);
        }
    }
}

void ServerFarm::applyChanges(ServerStandin &server, const json &changes)
{
    auto &it = server.faults;
    it.slowdownFactor = changes.value("straggle", it.slowdownFactor);
    it.shedding = changes.value("shedding", it.shedding);
    it.silentShare = changes.value("silent_share", it.silentShare);
    it.lostResponseShare = changes.value("lose_answer_share", it.lostResponseShare);
    it.truncateShare = changes.value("truncate_share", it.truncateShare);
    it.wrongQueryShare = changes.value("wrong_query_share", it.wrongQueryShare);
    if (changes.contains("draining")) {
        it.draining = changes.at("draining").get<bool>();
        server.drainingSince = std::chrono::steady_clock::now();
    }
    if (changes.contains("cold_ms")) {
        it.warmUpMs = changes.at("cold_ms").get<double>();
        server.warmUpStartedAt = std::chrono::steady_clock::now();
    }
    if (changes.contains("silence"))
        server.silenceConnections(changes.at("silence").get<double>());
    if (changes.contains("down"))
        server.setDown(changes.at("down").get<bool>());
    if (changes.value("restarted", false))
        server.startedAt = wallClockMs();
    const auto heldSnapshots = changes.value("hold", json::object());
    for (const auto &hold : heldSnapshots.items())
        server.snapshots[hold.key()] = hold.value().get<std::uint64_t>();
    for (const auto &drop : changes.value("drop", std::vector<std::string>{}))
        server.snapshots.erase(drop);
}

void ServerFarm::addSnapshot(const json &body)
{
    Snapshot snapshot;
    snapshot.indexVersion = body.at("index_version").get<std::uint64_t>();
    snapshot.shardMap = body.at("shard_map").get<std::uint32_t>();
    for (const auto &it : body.at("documents").items())
        snapshot.documents[std::stoi(it.key())] = it.value().get<std::uint64_t>();
    m_services.at(body.at("service").get<std::string>()).snapshots.push_back(std::move(snapshot));
}

Response ServerFarm::counters() const
{
    json out = json::object();
    for (const auto &[name, service] : m_services) {
        for (const auto &server : service.servers) {
            const auto &it = server->counters();
            out[name][server->parameters().id] = {{"started", it.started},
                                                  {"finished", it.finished},
                                                  {"cancelled", it.cancelled},
                                                  {"shed", it.shed},
                                                  {"drained", it.rejectedDraining},
                                                  {"after_drain", it.rejectedLateInDrain},
                                                  {"expired", it.expiredInQueue},
                                                  {"connections_refused", it.connectionsRefused},
                                                  {"connections_opened", it.connectionsOpened},
                                                  {"connections_peak", it.connectionsPeak},
                                                  {"executions", server->executions()}};
        }
    }
    return makeResponse(200, out.dump());
}

} // namespace standins
