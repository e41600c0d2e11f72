#include "platform/configuration.h"
#include "platform/http_messages.h"
#include "platform/records.h"
#include "platform/store.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <random>
#include <rapidcheck/catch.h>

using namespace goldcrestline;
using nlohmann::json;
using policy::forward::ReplyKind;

namespace {

json configSpec()
{
    return json::parse(R"({"version":7,"routes":[
        {"name":"all","host":"a.example","path_prefix":"/x/","route_type":"idempotent",
         "timeout_ms":600,"target_latency_ms":60,"priority":2,"fanout_services":["s1","s2"],
         "max_attempts":2,"top_k":5,"min_shard_share":0.75},
        {"name":"split","host":"b.example","path_prefix":"/y/","route_type":"non_idempotent",
         "timeout_ms":4000,"target_latency_ms":300,"priority":1,"max_attempts":1,
         "traffic_split":[{"service":"s1","weight":3},{"service":"s2","weight":1}]},
        {"name":"plain","host":"b.example","path_prefix":"/","route_type":"idempotent",
         "timeout_ms":4000,"target_latency_ms":300,"priority":1,"max_attempts":2,"service":"s1"}],
        "services":[{"name":"s1","health_path":"/health","max_connections":26}],
        "limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,
                  "idle_timeout_ms":15000}})");
}

json serverSpec()
{
    return json::parse(R"({"service":"s1","address":"10.0.0.1:80","zone":"a","version":"v1",
        "capacity":2,"state":"ready","warmup_left_ms":40,"sequence":4,"born":1700000000000})");
}

ports::ExchangeResult response(int status, ports::Headers headers, std::string body = {})
{
    ports::ExchangeResult out;
    out.outcome = ports::ExchangeOutcome::Answered;
    out.status = status;
    out.headers = std::move(headers);
    out.body = std::move(body);
    return out;
}

} // namespace

TEST_CASE("decodeConfig builds the route table from a platform configuration")
{
    const auto table = platform::decodeConfig(configSpec());
    REQUIRE(table.has_value());
    const auto *all = table.value()->find("a.example", "/x/1");
    REQUIRE(all != nullptr);
    CHECK(all->shards.size() == 2);
    CHECK(all->topRecords == 5);
    CHECK(all->idempotency == policy::forward::Idempotency::Idempotent);
    const auto *split = table.value()->find("b.example", "/y/1");
    CHECK(split->services.size() == 2);
    CHECK(split->idempotency == policy::forward::Idempotency::NonIdempotent);
    CHECK(table.value()->version() == 7);
    CHECK(table.value()->services().at("s1").connections == 26);
    CHECK(table.value()->callerLimits().maxBodyBytes == 262144);
}

TEST_CASE("decodeConfig refuses a route with a missing or mistyped field and names it in the error")
{
    const auto check = [](const json &spec, const char *field) {
        CAPTURE(field);
        const auto table = platform::decodeConfig(spec).value();
        REQUIRE(table->leftOut().size() == 1);
        CHECK(table->leftOut()[0].code == core::ResultCode::ConfigurationPart);
        CHECK(table->leftOut()[0].detail.find(field) != std::string::npos);
        CHECK(table->leftOut()[0].detail.find("route 0") != std::string::npos);
        const auto *route = table->find("a.example", "/x/1");
        CHECK((route == nullptr || !route->usable));
        CHECK(table->find("b.example", "/y/1")->usable);
    };
    for (const char *field : {"name", "host", "path_prefix", "route_type", "timeout_ms",
                              "target_latency_ms", "priority", "max_attempts"}) {
        auto spec = configSpec();
        spec["routes"][0].erase(field);
        check(spec, field);
        spec = configSpec();
        spec["routes"][0][field] = json::array();
        check(spec, field);
    }
    auto spec = configSpec();
    spec["routes"][0]["route_type"] = "sometimes";
    check(spec, "route_type");
    CHECK_FALSE(platform::decodeConfig(json("text")).has_value());
    CHECK_FALSE(platform::decodeConfig(json()).has_value());
}

TEST_CASE("decodeServer reads a server entry and rejects a malformed one")
{
    const auto entry = platform::decodeServer("i-1", serverSpec());
    REQUIRE(entry.has_value());
    CHECK(entry.value().record.slots == 2);
    CHECK(entry.value().record.startedAt == 1700000000000);
    CHECK_FALSE(entry.value().record.leaving);
    const auto complete = serverSpec();
    for (const auto &it : complete.items()) {
        if (it.key() == "version" || it.key() == "born")
            continue;
        auto spec = serverSpec();
        spec.erase(it.key());
        CHECK_FALSE(platform::decodeServer("i-1", spec).has_value());
        spec[it.key()] = json::object();
        CHECK_FALSE(platform::decodeServer("i-1", spec).has_value());
    }
    auto spec = serverSpec();
    spec["state"] = "asleep";
    CHECK_FALSE(platform::decodeServer("i-1", spec).has_value());
    spec["state"] = "draining";
    CHECK(platform::decodeServer("i-1", spec).value().record.leaving);
}

TEST_CASE("decoders handle randomly corrupted objects without an exception")
{
    std::mt19937 random(20261204);
    const auto config = configSpec().dump();
    const auto entry = serverSpec().dump();
    for (int i = 0; i < 3000; ++i) {
        for (auto text : {config, entry}) {
            const auto at = random() % text.size();
            text[at] = static_cast<char>(random() % 256);
            if (random() % 3 == 0)
                text.resize(at);
            const auto parsed = json::parse(text, nullptr, false);
            if (parsed.is_discarded())
                continue;
            (void)platform::decodeConfig(parsed);
            (void)platform::decodeServer("i-1", parsed);
            (void)platform::decodeHost("h", parsed);
        }
        auto corrupted = config;
        corrupted[random() % corrupted.size()] = static_cast<char>(random() % 256);
        CHECK_NOTHROW(platform::readReply(response(200, {}, corrupted)));
    }
}

TEST_CASE("a host record is unchanged after encoding and decoding")
{
    policy::membership::Member self;
    self.zone = "a";
    self.callersAddress = "10.0.0.1:1";
    self.controlAddress = "10.0.0.1:2";
    self.peersAddress = "10.0.0.1:3";
    self.incarnation = 99;
    const auto decoded = platform::decodeHost("h", platform::encodeHost(self));
    REQUIRE(decoded.has_value());
    CHECK(decoded.value().peersAddress == self.peersAddress);
    CHECK(decoded.value().incarnation == 99);
}

TEST_CASE("readReply maps store responses to outcomes, objects and changes")
{
    using platform::StoreOutcome;
    CHECK(platform::readReply(response(410, {})).outcome == StoreOutcome::HistoryLost);
    CHECK(platform::readReply(response(409, {}, "{}")).outcome == StoreOutcome::Conflict);
    CHECK(platform::readReply(response(503, {})).outcome == StoreOutcome::Refused);
    const auto rateLimited = platform::readReply(response(429, {{"Retry-After", "0.25"}}));
    CHECK(rateLimited.outcome == StoreOutcome::Refused);
    CHECK(rateLimited.retryAfter == core::Millis(250));
    CHECK(platform::readReply(response(500, {})).outcome == StoreOutcome::Unknown);
    CHECK(platform::readReply({}).outcome == StoreOutcome::Unknown);
    const auto unnamed = platform::readReply(response(200, {}, "{\"items\":[{}]}"));
    CHECK(unnamed.outcome == StoreOutcome::Done);
    CHECK(unnamed.items.empty());
    CHECK(unnamed.unreadableObjects == 1);
    const auto page = platform::readReply(
        response(200, {},
                 R"({"items":[{"meta":{"name":"n","revision":4},"spec":{"a":1},"status":null}],
            "more":true,"store_revision":530})"));
    REQUIRE(page.outcome == StoreOutcome::Done);
    CHECK(page.items.at(0).name == "n");
    CHECK(page.nextAfter == "n");
    CHECK(page.revision == 530);
    const auto changes = platform::readReply(
        response(200, {},
                 R"({"events":[{"deleted":true,"object":{"meta":{"name":"n"},"spec":null}}],
                     "store_revision":531})"));
    REQUIRE(changes.changes.size() == 1);
    CHECK(changes.changes[0].deleted);
}

TEST_CASE("a forwarded request keeps its headers except the hop-by-hop ones")
{
    ports::IncomingRequest request;
    request.method = "POST";
    request.target = "/x/1?q=2";
    request.headers = {{"Host", "a.example:80"},
                       {"X-Request-Id", "r1"},
                       {"X-Deadline-Ms", "300"},
                       {"Connection", "keep-alive, X-Hop"},
                       {"X-Hop", "1"},
                       {"Transfer-Encoding", "chunked"},
                       {"X-Expected-Instance", "i"},
                       {"X-Own", "kept"},
                       {"Content-Length", "99"}};
    request.body = "body";
    CHECK(platform::sharedHead(request)
          == "POST /x/1?q=2 HTTP/1.1\r\nHost: a.example:80\r\nX-Request-Id: r1\r\n"
             "X-Own: kept\r\nContent-Length: 4\r\n");
    const auto metadata = platform::readRequestMetadata(request);
    CHECK(metadata.host == "a.example");
    CHECK(metadata.path == "/x/1");
    CHECK(metadata.requestId == "r1");
    CHECK(metadata.callerTimeout == core::Millis(300));
    CHECK(platform::attemptHead("i-9", core::Millis(250))
          == "X-Deadline-Ms: 250\r\nX-Expected-Instance: i-9\r\n");
}

TEST_CASE("readServerReply classifies a response by status, headers and execution stamp")
{
    const ports::Header stamp{"X-Server-Stamp", "p"};
    CHECK(platform::readServerReply(response(200, {stamp})).kind == ReplyKind::Success);
    CHECK_FALSE(platform::readServerReply(response(200, {})).usable);
    CHECK(platform::readServerReply(response(503, {{"X-Not-Executed", "1"}})).kind
          == ReplyKind::NotExecuted);
    CHECK(platform::readServerReply(response(421, {})).kind == ReplyKind::Misdirected);
    CHECK(platform::readServerReply(response(500, {stamp})).kind == ReplyKind::Failure);
    CHECK(platform::readServerReply(response(404, {stamp})).kind == ReplyKind::NonRetryable);
    CHECK(platform::readServerReply(response(503, {stamp})).kind == ReplyKind::Failure);
    CHECK_FALSE(platform::readServerReply(response(503, {})).usable);
    const auto load =
        platform::readServerReply(response(200, {stamp, {"X-Server-Load", "3, 0,8"}}));
    REQUIRE(load.load);
    CHECK(load.load->running == 3);
    CHECK(load.load->slots == 8);
    CHECK_FALSE(platform::readServerReply(response(200, {stamp, {"X-Server-Load", "3,x"}})).load);
}

TEST_CASE("readServerReply reads that a server is leaving and for how long it wants no requests")
{
    const ports::Header stamp{"X-Server-Stamp", "p"};
    const ports::Header leaving{"Server-Leaving", "1"};
    CHECK_FALSE(platform::readServerReply(response(200, {stamp})).leaving);
    CHECK(platform::readServerReply(response(200, {stamp, leaving})).leaving);
    CHECK(platform::readServerReply(response(503, {leaving})).leaving);
    CHECK_FALSE(platform::readServerReply(response(200, {{"Server-Leaving", "0"}})).leaving);
    // Another server answered.
    CHECK_FALSE(platform::readServerReply(response(421, {leaving})).leaving);
    const auto restFor = [](int status, const std::string &value) {
        return platform::readServerReply(response(status, {{"Retry-After", value}})).restFor;
    };
    CHECK(restFor(503, "1.25") == core::Millis(1250));
    CHECK(restFor(503, "1e12") == core::Millis(60000));
    CHECK_FALSE(restFor(429, "1.25"));
    for (const char *it : {"", "-1", "soon", "nan", "1s"})
        CHECK_FALSE(restFor(503, it));
}

TEST_CASE("readServerReply reads the request rate that a server accepts")
{
    const auto limit = [](int status, const std::string &value) {
        return platform::readServerReply(response(status, {{"Server-Limit", value}})).requestLimit;
    };
    CHECK(limit(200, "38.8") == 38.8);
    CHECK(limit(503, "0") == 0.0);
    CHECK(limit(200, " 12 ") == std::nullopt);
    for (const char *it : {"", "-1", "few", "nan", "inf", "1/s"}) {
        CHECK_FALSE(limit(200, it));
        CHECK(
            platform::readServerReply(response(200, {{"Server-Limit", it}})).requestLimitMalformed);
    }
    CHECK_FALSE(platform::readServerReply(response(200, {})).requestLimit);
    CHECK_FALSE(platform::readServerReply(response(200, {})).requestLimitMalformed);
}

TEST_CASE("readReply reads the store's era from every response")
{
    CHECK_FALSE(platform::readReply(response(200, {}, "{}")).era);
    CHECK(platform::readReply(response(200, {{"Store-Era", "3"}}, "{}")).era == 3u);
    CHECK(platform::readReply(response(410, {{"Store-Era", "3"}})).era == 3u);
    CHECK(platform::readReply(response(200, {{"Store-Era", "3"}}, "broken")).era == 3u);
    for (const char *it : {"", "-1", "x", "3.5"})
        CHECK_FALSE(platform::readReply(response(200, {{"Store-Era", it}}, "{}")).era);
}

TEST_CASE("resolve, merged and error responses have the platform's format")
{
    ports::IncomingRequest request;
    request.method = "GET";
    request.target = "/resolve?name=a.example&region=r&zone=z%2Da";
    const auto resolve = platform::readResolveRequest(request);
    REQUIRE(resolve);
    CHECK(resolve->zone == "z-a");
    const auto response = platform::resolveResponse({"10.0.0.1:1"}, core::Millis(1500));
    CHECK(json::parse(response.body) == json{{"addrs", {"10.0.0.1:1"}}, {"ttl_s", 1.5}});
    const auto merged = platform::mergedResponse({"p1", "p2"}, 1, "records");
    CHECK(*ports::findHeader(merged.headers, "x-part-stamps") == "p1, p2");
    CHECK(*ports::findHeader(merged.headers, "x-missing-parts") == "1");
    const auto error = platform::errorResponse(503, 2025, "none", core::Millis(75));
    CHECK(*ports::findHeader(error.headers, "retry-after") == "0.075");
}

TEST_CASE("ConfigDecoder reads the same from a text as decodeConfig, and again after changes")
{
    platform::ConfigDecoder decoder;
    auto spec = configSpec();
    for (int i = 0; i < 20; ++i) {
        auto route = spec["routes"][2];
        route["path_prefix"] = "/p" + std::to_string(i) + "/";
        spec["routes"].push_back(route);
    }
    spec["tenants"] = json::parse(R"([{"name":"w1","api_keys":["k1"]},{"name":"w2"}])");
    std::mt19937 random(3);
    for (int change = 0; change < 200; ++change) {
        spec["version"] = 7 + change;
        const auto at = random() % spec["routes"].size();
        if (change % 3 == 0)
            spec["routes"][at]["timeout_ms"] = 100 + change;
        if (change % 7 == 0 && spec["routes"].size() > 3)
            spec["routes"].erase(at);
        if (change % 5 == 0)
            spec["tenants"][0]["api_keys"] = json::array({"k" + std::to_string(change)});
        if (change % 40 == 39)
            spec.erase("tenants");
        const auto expected = platform::decodeConfig(spec).value();
        const auto table = decoder.decode(platform::configText(spec)).value();
        CHECK(table->version() == expected->version());
        REQUIRE(table->routes().size() == expected->routes().size());
        for (std::size_t i = 0; i < table->routes().size(); ++i) {
            CHECK(table->routes()[i].prefix == expected->routes()[i].prefix);
            CHECK(table->routes()[i].timeout == expected->routes()[i].timeout);
            CHECK(table->routes()[i].shards == expected->routes()[i].shards);
        }
        REQUIRE((table->workspaces() == nullptr) == (expected->workspaces() == nullptr));
        if (!table->workspaces()) {
            spec["tenants"] = json::parse(R"([{"name":"w1","api_keys":["k1"]}])");
            continue;
        }
        const auto key = spec["tenants"][0]["api_keys"][0].get<std::string>();
        CHECK(table->workspaces()->findByDigest(policy::access::digestOf(key)) != nullptr);
        CHECK(table->workspaces()->workspaces().size()
              == expected->workspaces()->workspaces().size());
    }
    for (const char *it :
         {"", "[]", "{}", "{\"routes\":[]}", "{\"routes\":{}}", "{\"routes\":[7]}"})
        CHECK_FALSE(decoder.decode(it).has_value());
}

// Guards against a name that ends the request line or changes the parameters of a call.
TEST_CASE("names of objects are encoded in the request lines of store calls")
{
    const auto lineOf = [](const ports::ExchangeRequest &request) {
        return request.commonHead->substr(0, request.commonHead->find('\n') + 1);
    };
    CHECK(lineOf(platform::listRequest("servers", "copy of i-1"))
          == "GET /objects/servers?after=copy%20of%20i-1 HTTP/1.1\r\n");
    CHECK(lineOf(platform::listRequest("hosts", "a&b+c%d", true))
          == "GET /objects/hosts?serializable=1&after=a%26b%2Bc%25d HTTP/1.1\r\n");
    CHECK(lineOf(platform::getRequest("config", "a/b?c#d"))
          == "GET /objects/config/a%2Fb%3Fc%23d HTTP/1.1\r\n");
    CHECK(lineOf(platform::replaceRequest("hosts", "a\r\nX: b", json::object()))
          == "PUT /objects/hosts/a%0D%0AX%3A%20b HTTP/1.1\r\n");
    CHECK(lineOf(platform::listRequest("servers", "i-7f_3.a~9"))
          == "GET /objects/servers?after=i-7f_3.a~9 HTTP/1.1\r\n");
}

TEST_CASE("a request line consists of three parts, whatever the name of the object")
{
    rc::prop("names of any bytes", [](const std::string &name) {
        const auto head = *platform::listRequest("servers", "n" + name).commonHead;
        const auto line = head.substr(0, head.find("\r\n"));
        RC_ASSERT(line.starts_with("GET /objects/servers?after=n"));
        RC_ASSERT(line.ends_with(" HTTP/1.1"));
        RC_ASSERT(std::count(line.begin(), line.end(), ' ') == 2);
        RC_ASSERT(std::count(line.begin(), line.end(), '&') == 0);
        RC_ASSERT(
            std::all_of(line.begin(), line.end(), [](char c) { return c >= ' ' && c < 0x7f; }));
    });
}
