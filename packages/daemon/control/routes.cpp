#include "daemon/control/routes.h"

#include "core/metric_label.h"
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

constexpr int maxKeysPerRequest = 100;
constexpr int statusUnavailable = 503;

// Returns the value of `name` in "?a=b&c=d", or an empty string.
std::string queryParameter(const std::string &query, const std::string &name)
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

// Returns a uniform number in [0, n). Precondition: n > 0.
unsigned randomBelow(unsigned n)
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

Routes::Routes(const engine::PublishedStatus &status,
               std::shared_ptr<const policy::idempotency::KeyIssuer> keys, std::size_t entryPoints,
               core::Millis keyLifetime)
    : m_status(status), m_keys(std::move(keys)), m_entryPoints(entryPoints),
      m_keyLifetime(keyLifetime)
{ }

ports::HttpResponse Routes::handle(const ports::HttpRequest &request) const
{
    const auto queryStart = request.target.find('?');
    const auto path = request.target.substr(0, queryStart);
    const auto query =
        queryStart == std::string::npos ? std::string() : request.target.substr(queryStart);
    if (request.method == "GET" && path == "/v1/entry-points")
        return entryPoints(query);
    if (request.method == "GET" && path == "/v1/keys")
        return issueKeys(query);
    if (request.method == "GET" && path == "/v1/health")
        return health();
    if (request.method == "GET" && path == "/v1/status")
        return status();
    if (request.method == "GET" && path == "/v1/metrics")
        return metrics();
    return engine::responseFor(core::ResultCode::UnknownPath, request.method + " " + path);
}

ports::HttpResponse Routes::entryPoints(const std::string &query) const
{
    const auto host = m_status.latest();
    auto zone = queryParameter(query, "zone");
    if (zone.empty())
        zone = host->zone;
    auto members = host->members;
    // A host whose lists may be stale does not offer itself as an entry point.
    if (!host->serving)
        std::erase_if(members, [&](const auto &it) { return it.name == host->name; });
    json body{{"keep_ms", host->entryPointTtl.count()}, {"entry_points", json::array()}};
    for (const auto &it :
         policy::entrypoints::selectEntryPoints(members, {zone, {}}, m_entryPoints, randomBelow)) {
        body["entry_points"].push_back({{"host", it.name},
                                        {"zone", it.zone},
                                        {"callers", it.callersAddress},
                                        {"control", it.controlAddress}});
    }
    return jsonResponse(body);
}

ports::HttpResponse Routes::issueKeys(const std::string &query) const
{
    const auto customer = queryParameter(query, "customer");
    if (customer.empty()) {
        return engine::responseFor(core::ResultCode::MissingCustomer,
                                   "query parameter 'customer' is missing");
    }
    const auto host = m_status.latest();
    if (host->leaving)
        return engine::responseFor(core::ResultCode::HostStopping, "");
    int count = 1;
    const auto text = queryParameter(query, "count");
    std::from_chars(text.data(), text.data() + text.size(), count);
    count = std::clamp(count, 1, maxKeysPerRequest);
    const auto expiresAt = core::wallNow() + m_keyLifetime.count();
    json body{{"expires_at_ms", expiresAt}, {"keys", json::array()}};
    for (int i = 0; i < count; ++i)
        body["keys"].push_back(m_keys->issue(customer, expiresAt));
    return jsonResponse(body);
}

ports::HttpResponse Routes::health() const
{
    const auto host = m_status.latest();
    const bool healthy = host->serving && !host->leaving;
    return jsonResponse({{"serving", host->serving}, {"leaving", host->leaving}},
                        healthy ? 200 : statusUnavailable);
}

ports::HttpResponse Routes::status() const
{
    const auto host = m_status.latest();
    json body{{"host", host->name},
              {"zone", host->zone},
              {"incarnation", host->incarnation},
              {"leaving", host->leaving},
              {"serving", host->serving},
              {"lists_revision", host->listsVersion.revision},
              {"lists_era", host->listsVersion.era},
              {"store_era", host->storeEra},
              {"fleet_revision", host->fleetRevision},
              {"watching", host->watching},
              {"confirmation_age_ms", host->confirmationAgeMs},
              {"platform_calls", host->platformCalls},
              {"peer_calls", host->peerCalls},
              {"silent_connections", host->silentConnections},
              {"false_deaths", host->falseDeaths},
              {"running", host->running},
              {"keys", host->keys},
              {"members", json::array()},
              {"services", json::parse(host->servicesJson)},
              {"levels", json::parse(host->serviceLevelsJson)}};
    for (const auto &it : host->members)
        body["members"].push_back(memberJson(it));
    return jsonResponse(body);
}

ports::HttpResponse Routes::metrics() const
{
    const auto host = m_status.latest();
    std::stringstream text;
    const auto gauge = [&](const char *name, double value) {
        text << "goldcrestline_" << name << ' ' << value << '\n';
    };
    gauge("serving", host->serving ? 1 : 0);
    gauge("leaving", host->leaving ? 1 : 0);
    gauge("lists_revision", static_cast<double>(host->listsVersion.revision));
    gauge("fleet_revision", static_cast<double>(host->fleetRevision));
    gauge("store_era", static_cast<double>(host->storeEra));
    gauge("platform_calls_total", static_cast<double>(host->platformCalls));
    gauge("peer_calls_total", static_cast<double>(host->peerCalls));
    gauge("silent_connections_total", static_cast<double>(host->silentConnections));
    gauge("running", static_cast<double>(host->running));
    gauge("keys", static_cast<double>(host->keys));
    const auto services = json::parse(host->servicesJson);
    for (const auto &service : services.items()) {
        for (const auto &it : service.value().items()) {
            if (it.value().is_number()) {
                text << "goldcrestline_service_" << it.key() << "{service=\""
                     << core::escapeLabel(service.key()) << "\"} " << it.value().dump() << '\n';
            }
        }
    }
    ports::HttpResponse response;
    response.headers["content-type"] = "text/plain";
    response.body = text.str();
    return response;
}

} // namespace goldcrestline::daemon::control
