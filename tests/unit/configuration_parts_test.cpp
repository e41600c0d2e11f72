#include "platform/configuration.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

// Parts of a configuration that cannot be used: they are left out, and all else comes into force.

using namespace goldcrestline;
using nlohmann::json;
using policy::access::digestOf;
using policy::forward::RouteTablePtr;

namespace {

json makeSpec()
{
    return json::parse(R"({"version":7,"routes":[
        {"name":"all","host":"a.example","path_prefix":"/all/","route_type":"idempotent",
         "timeout_ms":600,"target_latency_ms":60,"priority":2,"fanout_services":["s1","s2"],
         "max_attempts":2,"top_k":5,"min_shard_share":0.75},
        {"name":"split","host":"a.example","path_prefix":"/split/","route_type":"non_idempotent",
         "timeout_ms":4000,"target_latency_ms":300,"priority":1,"max_attempts":1,
         "traffic_split":[{"service":"s1","weight":3},{"service":"s2","weight":1}]},
        {"name":"one","host":"a.example","path_prefix":"/one/","route_type":"idempotent",
         "timeout_ms":4000,"target_latency_ms":300,"priority":1,"max_attempts":2,"service":"s1",
         "anonymous":false,"allowed_regions":["r"]},
        {"name":"rest","host":"a.example","path_prefix":"/","route_type":"idempotent",
         "timeout_ms":4000,"target_latency_ms":300,"priority":1,"max_attempts":2,"service":"s2"}],
        "services":[{"name":"s1","max_connections":26,"warmup_s":2,"warmup_per_s":4},
                    {"name":"s2","max_connections":27}],
        "limits":{"max_header_bytes":4096,"max_body_bytes":8192,"header_timeout_ms":300,
                  "idle_timeout_ms":500},
        "tenants":[{"name":"one","api_keys":["key-1","key-2"],"priority":0,"rate_per_s":50,
                    "burst":10,"allowed_regions":["r"]},
                   {"name":"two","api_keys":["key-3"]}]})");
}

const std::vector<std::string> paths{"/all/x", "/split/x", "/one/x", "/rest"};
// "key-0" is not in the configuration.
const std::vector<std::string> keys{"key-0", "key-1", "key-2", "key-3"};

// What a table does with requests: for each path of `paths`, the prefix of the route that it finds,
// in brackets if that is unusable; for each key the workspace, "refused" or "unknown".
struct Outcome
{
    std::vector<std::string> routes{"/all/", "/split/", "/one/", "/"};
    std::vector<std::string> workspaces{"unknown", "one", "one", "two"};
    int connections1 = 26;
    int connections2 = 27;
    double warmupPerSecond = 4;
    std::uint64_t headerBytes = 4096;
    std::uint64_t bodyBytes = 8192;
    core::Millis headerTimeout{300};
    core::Millis idleTimeout{500};
    bool complete = true;

    bool operator==(const Outcome &) const = default;
};

std::string workspaceOf(const policy::access::KeyTable &table, const std::string &key)
{
    const auto digest = digestOf(key);
    if (table.isUnusable(digest))
        return table.findByDigest(digest) == nullptr ? "refused" : "both";
    const auto *workspace = table.findByDigest(digest);
    return workspace == nullptr ? "unknown" : workspace->name;
}

Outcome outcomeOf(const RouteTablePtr &table)
{
    Outcome out;
    out.routes.clear();
    for (const auto &it : paths) {
        const auto *route = table->find("A.example", it);
        const auto prefix = route == nullptr ? "none" : route->prefix;
        out.routes.push_back(route != nullptr && !route->usable ? "[" + prefix + "]" : prefix);
    }
    out.workspaces.clear();
    for (const auto &it : keys) {
        out.workspaces.push_back(table->workspaces() ? workspaceOf(*table->workspaces(), it)
                                                     : "not needed");
    }
    const auto traits = [&](const char *name) {
        const auto it = table->services().find(name);
        return it == table->services().end() ? policy::forward::ServiceTraits{} : it->second;
    };
    out.connections1 = traits("s1").connections;
    out.connections2 = traits("s2").connections;
    out.warmupPerSecond = traits("s1").warmupPerSecond;
    const auto &limits = table->callerLimits();
    out.headerBytes = limits.maxHeaderBytes;
    out.bodyBytes = limits.maxBodyBytes;
    out.headerTimeout = limits.headerTimeout;
    out.idleTimeout = limits.idleTimeout;
    out.complete = table->leftOut().empty();
    return out;
}

// Values of a field that is then left out, and what the table does.
struct Row
{
    const char *field;
    std::vector<json> values;
    Outcome expected;
};

// Stands for a field that is missing.
const json missing("(missing)");
const json odd("a\r\nX-Tenant: two");
const std::string nul("a\0b", 3);

Outcome routes(std::vector<std::string> expected)
{
    Outcome out;
    out.routes = std::move(expected);
    out.complete = false;
    return out;
}

Outcome workspaces(std::vector<std::string> expected)
{
    Outcome out;
    out.workspaces = std::move(expected);
    out.complete = false;
    return out;
}

template <typename T>
Outcome changed(T Outcome::*member, T value)
{
    Outcome out;
    out.*member = value;
    out.complete = false;
    return out;
}

std::vector<Row> workspaceRows()
{
    const auto refused = workspaces({"unknown", "refused", "refused", "two"});
    const auto unknown = workspaces({"unknown", "unknown", "unknown", "two"});
    const auto none = workspaces({"unknown", "unknown", "unknown", "unknown"});
    const std::string tooLong(platform::maxWorkspaceNameBytes + 1, 'n');
    const std::string longKey(policy::access::maxKeyBytes + 1, 'k');
    return {
        {"/tenants/0/name",
         {missing, 7, json(), json::array(), true, "", " ", " one", "one ", "a\tb", "\x7f", odd,
          nul, tooLong},
         refused},
        {"/tenants/0/priority", {"high", json(), json::array(), 1e300, true}, refused},
        {"/tenants/0/rate_per_s", {"5", json(), json::array(), -1, -1e300, true}, refused},
        {"/tenants/0/burst", {"5", json(), json::object(), -1, false}, refused},
        {"/tenants/0/allowed_regions", {"r", json(), json::parse("[2]"), 7}, refused},
        {"/tenants/0/api_keys", {"key-1", 7, json(), json::object(), true}, unknown},
        {"/tenants/0/api_keys/0",
         {7, json(), json::array(), "", " ", " key", "key ", "k\n", odd, nul, longKey},
         workspaces({"unknown", "unknown", "one", "two"})},
        {"/tenants/0", {7, json(), json::array(), "one"}, unknown},
        {"/tenants", {json(), json::object(), "x", 3, true}, none},
        // Twice.
        {"/tenants/1/name", {"one"}, workspaces({"unknown", "one", "one", "refused"})},
        {"/tenants/0/api_keys/0", {"key-3"}, workspaces({"unknown", "unknown", "one", "refused"})},
    };
}

std::vector<Row> routeRows()
{
    const auto all = routes({"[/all/]", "/split/", "/one/", "/"});
    const auto split = routes({"/all/", "[/split/]", "/one/", "/"});
    const auto one = routes({"/all/", "/split/", "[/one/]", "/"});
    const auto notFound = routes({"/all/", "/split/", "/", "/"});
    return {
        {"/routes/2/name", {missing, 7, json(), json::array()}, one},
        {"/routes/2/host", {missing, 7, json(), json::array(), nul, odd}, notFound},
        {"/routes/2/path_prefix", {missing, 7, json(), "", nul, odd}, notFound},
        {"/routes/2/route_type", {missing, 7, json(), "sometimes", odd}, one},
        {"/routes/2/timeout_ms", {missing, "9", json(), 0, -1, 1e300, json::array()}, one},
        {"/routes/2/target_latency_ms", {missing, "9", json(), -1, 1e300, true}, one},
        {"/routes/2/priority", {missing, "9", json(), 1e300, -1e300, true}, one},
        {"/routes/2/max_attempts", {missing, "9", json(), 1e300, json::object()}, one},
        {"/routes/2/service", {missing, 7, json(), json::array()}, one},
        {"/routes/2/anonymous", {"yes", 1, json(), json::array()}, one},
        {"/routes/2/allowed_regions", {"r", json(), json::parse("[1]"), true}, one},
        {"/routes/2", {7, json(), json::array(), "x", true}, notFound},
        {"/routes/0/fanout_services",
         {json(), json::array(), json::object(), "s1", json::parse(R"(["s1",2])")},
         all},
        {"/routes/0/top_k", {missing, -1, json(), 1.5, "5", 1e300}, all},
        {"/routes/0/min_shard_share", {missing, -0.1, 1.1, json(), "1"}, all},
        {"/routes/1/traffic_split", {json(), json::array(), json::object(), "s1", 7}, split},
        {"/routes/1/traffic_split/0", {json(), json::object(), "s1", 7}, split},
        {"/routes/1/traffic_split/0/service", {missing, json(), 7}, split},
        {"/routes/1/traffic_split/0/weight", {missing, json(), -1, "3", true}, split},
        {"/routes",
         {missing, json(), json::object(), "x", 7},
         routes({"none", "none", "none", "none"})},
        // Twice: the first route with a host and prefix counts.
        {"/routes/2/path_prefix", {"/all/", "/split/"}, notFound},
    };
}

std::vector<Row> otherRows()
{
    const auto one = [](int Outcome::*member) { return changed(member, 1); };
    auto noServices = changed(&Outcome::connections1, 1);
    noServices.connections2 = 1;
    noServices.warmupPerSecond = 0;
    auto noFirstService = noServices;
    noFirstService.connections2 = 27;
    auto noLimits = changed(&Outcome::headerBytes, std::uint64_t{16384});
    noLimits.bodyBytes = 262144;
    noLimits.headerTimeout = core::Millis(3000);
    noLimits.idleTimeout = core::Millis(15000);
    return {
        {"/services", {missing, json(), json::object(), "x", 7}, noServices},
        {"/services/0", {json(), json::array(), "s1", 7}, noFirstService},
        {"/services/0/name", {missing, json(), 7, json::array()}, noFirstService},
        {"/services/1/max_connections",
         {missing, json(), "27", -1, 1.5, 1e300},
         one(&Outcome::connections2)},
        {"/services/0/warmup_per_s",
         {json(), "4", -1, true},
         changed(&Outcome::warmupPerSecond, 0.0)},
        {"/services/1/name", {"s1"}, one(&Outcome::connections2)},
        {"/limits", {missing, json(), json::array(), "x", 7}, noLimits},
        {"/limits/max_header_bytes",
         {missing, json(), "1", -1, 1.5},
         changed(&Outcome::headerBytes, std::uint64_t{16384})},
        {"/limits/max_body_bytes",
         {missing, json(), "1", -1, 1.5},
         changed(&Outcome::bodyBytes, std::uint64_t{262144})},
        {"/limits/header_timeout_ms",
         {missing, json(), "1", -1, 1e300},
         changed(&Outcome::headerTimeout, core::Millis(3000))},
        {"/limits/idle_timeout_ms",
         {missing, json(), "1", -1, 1e300},
         changed(&Outcome::idleTimeout, core::Millis(15000))},
    };
}

json specWith(const char *field, const json &value)
{
    auto spec = makeSpec();
    const json::json_pointer at(field);
    if (value == missing) {
        spec.at(at.parent_pointer()).erase(at.back());
    } else {
        spec[at] = value;
    }
    return spec;
}

void checkRow(const Row &row, const json &value)
{
    const auto spec = specWith(row.field, value);
    CAPTURE(row.field, value.dump().substr(0, 40));
    const auto decoded = platform::decodeConfig(spec);
    REQUIRE(decoded.has_value());
    CHECK(outcomeOf(decoded.value()).routes == row.expected.routes);
    CHECK(outcomeOf(decoded.value()).workspaces == row.expected.workspaces);
    CHECK(outcomeOf(decoded.value()) == row.expected);
    for (const auto &it : decoded.value()->leftOut()) {
        CHECK(it.code == core::ResultCode::ConfigurationPart);
        // Errors are logged, and keys must not be.
        CHECK(it.text().find("key-") == std::string::npos);
    }
    // Another host gets the text, first as the first version that it knows.
    const auto text = platform::configText(spec);
    for (const auto &it : keys)
        CHECK(text.find('"' + it + '"') == std::string::npos);
    platform::ConfigDecoder fresh;
    auto expected = row.expected;
    // Keys that cannot be used are not in the text.
    const auto first = outcomeOf(fresh.decode(text).value());
    expected.complete = first.complete;
    CHECK(first == expected);
    // Then after a whole one, and once more without a change.
    platform::ConfigDecoder decoder;
    CHECK(outcomeOf(decoder.decode(platform::configText(makeSpec())).value()) == Outcome{});
    CHECK(outcomeOf(decoder.decode(text).value()) == first);
    CHECK(outcomeOf(decoder.decode(text).value()) == first);
    CHECK(outcomeOf(decoder.decode(platform::configText(makeSpec())).value()) == Outcome{});
}

} // namespace

// Guards against a field that keeps a whole version out of force, so that a withdrawn key works on,
// and against requests that run elsewhere, unlimited or for another workspace instead.
TEST_CASE("a malformed field of a configuration leaves out its part alone", "[access][parts]")
{
    CHECK(outcomeOf(platform::decodeConfig(makeSpec()).value()) == Outcome{});
    for (const auto &rows : {workspaceRows(), routeRows(), otherRows()}) {
        for (const auto &row : rows) {
            for (const auto &value : row.values)
                checkRow(row, value);
        }
    }
}

// Guards against an old configuration that stays in force although nothing of the new one is known
// to agree with it.
TEST_CASE("a configuration without a version is rejected as a whole", "[access][parts]")
{
    for (const auto &it : {missing, json(), json("7"), json(-7), json(1.5), json::array()}) {
        const auto spec = specWith("/version", it);
        CHECK_FALSE(platform::configVersion(spec));
        const auto decoded = platform::decodeConfig(spec);
        REQUIRE_FALSE(decoded.has_value());
        CHECK(decoded.error().code == core::ResultCode::PlatformObject);
        CHECK_FALSE(platform::ConfigDecoder().decode(platform::configText(spec)).has_value());
    }
    for (const auto &it : {json(), json::array(), json("x"), json(7)})
        CHECK_FALSE(platform::decodeConfig(it).has_value());
}

// Guards against names that keep their workspace out although servers can be told them.
TEST_CASE("a workspace's name may hold blanks and characters beyond ASCII", "[access][parts]")
{
    for (const char *name : {"Lucerna Soglia", "B\xc3\xa2tons Sentier", "a, b; c=\"d\"", "x: y"}) {
        auto spec = makeSpec();
        spec["tenants"][0]["name"] = name;
        spec["tenants"][0]["api_keys"][0] = "key with blanks";
        const auto table = platform::decodeConfig(spec).value();
        CHECK(table->leftOut().empty());
        CHECK(workspaceOf(*table->workspaces(), "key with blanks") == name);
        const auto copy = platform::ConfigDecoder().decode(platform::configText(spec)).value();
        CHECK(workspaceOf(*copy->workspaces(), "key with blanks") == name);
    }
    // A key may be listed twice by its workspace.
    auto spec = makeSpec();
    spec["tenants"][0]["api_keys"] = {"key-1", "key-1"};
    CHECK(platform::decodeConfig(spec).value()->leftOut().empty());
}
