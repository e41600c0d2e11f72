#include "daemon/control/routes.h"

#include "daemon/engine/responses.h"
#include "policy/entrypoints/entry_points.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <random>
#include <sstream>

namespace goldcrestline::daemon::control {

using nlohmann::json;

namespace {

constexpr int mostKeys = 100;
constexpr int statusUnavailable = 503;

// Returns the value of `name` in "?a=b&c=d", or an empty string.
std::string parameter(const std::string &query, const std::string &name)
{
    std::size_t at = 0;
    while (at < query.size()) {
        const auto start = at + (query[at] == '?' || query[at] == '&' ? 1 : 0);
        auto end = query.find('&', start);
        end = end == std::string::npos ? query.size() : end;
        const auto pair = query.substr(start, end - start);
        if (pair.starts_with(name + "="))
            return pair.substr(name.size() + 1);
        at = end == at ? end + 1 : end;
    }
    return {};
}

ports::HttpResponse jsonResponse(const json &body, int status = 200)
{
    ports::HttpResponse response;
    response.status = status;
    response.headers["content-type"] = "application/json";
    response.body = body.dump(-1, ' ', false, json::error_handler_t::replace);
    return response;
}

unsigned below(unsigned n)
{
    thread_local std::mt19937 generator{std::random_device{}()};
    return std::uniform_int_distribution<unsigned>(0, n - 1)(generator);
}

json memberJson(const policy::membership::Member &it)
{
    return {{"host", it.name},
            {"zone", it.zone},
            {"callers", it.callersAddress},
            {"control", it.controlAddress},
            {"peers", it.peersAddress},
            {"incarnation", it.incarnation},
            {"state", core::nameIn(policy::membership::memberStateNames, it.state)},
            {"leaving", it.leaving},
            {"load", it.load}};
}

} // namespace

Routes::Routes(const engine::StatusBoard &board,
               std::shared_ptr<const policy::idempotency::KeyIssuer> keys, std::size_t entryPoints,
               core::Millis keyLife)
    : m_board(board), m_keys(std::move(keys)), m_entryPoints(entryPoints), m_keyLife(keyLife)
{ }

ports::HttpResponse Routes::answer(const ports::HttpRequest &request) const
{
    const auto mark = request.target.find('?');
    const auto path = request.target.substr(0, mark);
    const auto query = mark == std::string::npos ? std::string() : request.target.substr(mark);
    if (request.method == "GET" && path == "/v1/entry-points")
        return entryPoints(query);
    if (request.method == "GET" && path == "/v1/keys")
        return keysFor(query);
    if (request.method == "GET" && path == "/v1/health")
        return health();
    if (request.method == "GET" && path == "/v1/status")
        return status();
    if (request.method == "GET" && path == "/v1/metrics")
        return metrics();
    return engine::answerFor(core::ResultCode::UnknownPath, request.method + " " + path);
}

ports::HttpResponse Routes::entryPoints(const std::string &query) const
{
    const auto board = m_board.read();
    auto zone = parameter(query, "zone");
    if (zone.empty())
        zone = board->zone;
    auto members = board->members;
    // A host that may hold old lists does not offer itself.
    if (!board->serving)
        std::erase_if(members, [&](const auto &it) { return it.name == board->name; });
    json body{{"keep_ms", board->keepFor.count()}, {"entry_points", json::array()}};
    for (const auto &it :
         policy::entrypoints::selectEntryPoints(members, {zone, {}}, m_entryPoints, below)) {
        body["entry_points"].push_back({{"host", it.name},
                                        {"zone", it.zone},
                                        {"callers", it.callersAddress},
                                        {"control", it.controlAddress}});
    }
    return jsonResponse(body);
}

ports::HttpResponse Routes::keysFor(const std::string &query) const
{
    const auto customer = parameter(query, "customer");
    if (customer.empty()) {
        return engine::answerFor(core::ResultCode::MissingCustomer,
                                 "parameter customer is missing");
    }
    const auto board = m_board.read();
    if (board->leaving)
        return engine::answerFor(core::ResultCode::HostStopping, "");
    int count = 1;
    const auto text = parameter(query, "count");
    std::from_chars(text.data(), text.data() + text.size(), count);
    count = std::clamp(count, 1, mostKeys);
    const auto expiresAt = core::wallNow() + m_keyLife.count();
    json body{{"expires_at_ms", expiresAt}, {"keys", json::array()}};
    for (int i = 0; i < count; ++i)
        body["keys"].push_back(m_keys->issue(customer, expiresAt));
    return jsonResponse(body);
}

ports::HttpResponse Routes::health() const
{
    const auto board = m_board.read();
    const bool well = board->serving && !board->leaving;
    return jsonResponse({{"serving", board->serving}, {"leaving", board->leaving}},
                        well ? 200 : statusUnavailable);
}

ports::HttpResponse Routes::status() const
{
    const auto board = m_board.read();
    json body{{"host", board->name},
              {"zone", board->zone},
              {"incarnation", board->incarnation},
              {"leaving", board->leaving},
              {"serving", board->serving},
              {"lists_revision", board->listsRevision},
              {"fleet_revision", board->fleetRevision},
              {"watching", board->watching},
              {"confirmation_age_ms", board->confirmationAgeMs},
              {"platform_calls", board->platformCalls},
              {"peer_calls", board->peerCalls},
              {"silent_connections", board->silentConnections},
              {"false_deaths", board->falseDeaths},
              {"running", board->running},
              {"keys", board->keys},
              {"members", json::array()},
              {"services", json::parse(board->servicesJson)},
              {"levels", json::parse(board->levelsJson)}};
    for (const auto &it : board->members)
        body["members"].push_back(memberJson(it));
    return jsonResponse(body);
}

ports::HttpResponse Routes::metrics() const
{
    const auto board = m_board.read();
    std::stringstream text;
    const auto gauge = [&](const char *name, double value) {
        text << "goldcrestline_" << name << ' ' << value << '\n';
    };
    gauge("serving", board->serving ? 1 : 0);
    gauge("leaving", board->leaving ? 1 : 0);
    gauge("lists_revision", static_cast<double>(board->listsRevision));
    gauge("fleet_revision", static_cast<double>(board->fleetRevision));
    gauge("platform_calls_total", static_cast<double>(board->platformCalls));
    gauge("peer_calls_total", static_cast<double>(board->peerCalls));
    gauge("silent_connections_total", static_cast<double>(board->silentConnections));
    gauge("running", static_cast<double>(board->running));
    gauge("keys", static_cast<double>(board->keys));
    const auto services = json::parse(board->servicesJson);
    for (const auto &service : services.items()) {
        for (const auto &it : service.value().items()) {
            if (it.value().is_number()) {
                text << "goldcrestline_service_" << it.key() << "{service=\"" << service.key()
                     << "\"} " << it.value().dump() << '\n';
            }
        }
    }
    ports::HttpResponse response;
    response.headers["content-type"] = "text/plain";
    response.body = text.str();
    return response;
}

} // namespace goldcrestline::daemon::control
