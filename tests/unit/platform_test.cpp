#include "platform/dialect.h"
#include "platform/records.h"
#include "platform/store.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <random>

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
    out.end = ports::ExchangeEnd::Answered;
    out.status = status;
    out.headers = std::move(headers);
    out.body = std::move(body);
    return out;
}

} // namespace

TEST_CASE("a configuration of the platform becomes routes")
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

TEST_CASE("a configuration with a missing or mistyped field is refused with its name")
{
    for (const char *field : {"name", "host", "path_prefix", "route_type", "timeout_ms",
                              "target_latency_ms", "priority", "max_attempts"}) {
        auto spec = configSpec();
        spec["routes"][0].erase(field);
        auto decoded = platform::decodeConfig(spec);
        REQUIRE_FALSE(decoded.has_value());
        CHECK(decoded.error().code == core::ResultCode::PlatformObject);
        CHECK(decoded.error().detail.find(field) != std::string::npos);
        spec = configSpec();
        spec["routes"][0][field] = json::array();
        CHECK_FALSE(platform::decodeConfig(spec).has_value());
    }
    auto spec = configSpec();
    spec["routes"][0]["route_type"] = "sometimes";
    CHECK_FALSE(platform::decodeConfig(spec).has_value());
    CHECK_FALSE(platform::decodeConfig(json("text")).has_value());
    CHECK_FALSE(platform::decodeConfig(json()).has_value());
}

TEST_CASE("an entry of a server is read, and a malformed one names no server")
{
    const auto entry = platform::decodeServer("i-1", serverSpec());
    REQUIRE(entry.has_value());
    CHECK(entry.value().record.slots == 2);
    CHECK(entry.value().record.startedAt == 1700000000000);
    CHECK_FALSE(entry.value().record.leaving);
    const auto whole = serverSpec();
    for (const auto &it : whole.items()) {
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

TEST_CASE("decoders refuse any damaged object without an exception")
{
    std::mt19937 random(20261204);
    const auto whole = configSpec().dump();
    const auto entry = serverSpec().dump();
    for (int i = 0; i < 3000; ++i) {
        for (auto text : {whole, entry}) {
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
        auto damaged = whole;
        damaged[random() % damaged.size()] = static_cast<char>(random() % 256);
        CHECK_NOTHROW(platform::readReply(response(200, {}, damaged)));
    }
}

TEST_CASE("a host's record survives the store")
{
    policy::membership::Member self;
    self.zone = "a";
    self.callersAddress = "10.0.0.1:1";
    self.controlAddress = "10.0.0.1:2";
    self.peersAddress = "10.0.0.1:3";
    self.incarnation = 99;
    const auto back = platform::decodeHost("h", platform::encodeHost(self));
    REQUIRE(back.has_value());
    CHECK(back.value().peersAddress == self.peersAddress);
    CHECK(back.value().incarnation == 99);
}

TEST_CASE("answers of the store are told apart")
{
    using platform::StoreEnd;
    CHECK(platform::readReply(response(410, {})).end == StoreEnd::HistoryGone);
    CHECK(platform::readReply(response(409, {}, "{}")).end == StoreEnd::Conflict);
    CHECK(platform::readReply(response(503, {})).end == StoreEnd::Refused);
    const auto limited = platform::readReply(response(429, {{"Retry-After", "0.25"}}));
    CHECK(limited.end == StoreEnd::Refused);
    CHECK(limited.retryAfter == core::Millis(250));
    CHECK(platform::readReply(response(500, {})).end == StoreEnd::Unknown);
    CHECK(platform::readReply({}).end == StoreEnd::Unknown);
    CHECK(platform::readReply(response(200, {}, "{\"items\":[{}]}")).end == StoreEnd::Unknown);
    const auto page = platform::readReply(
        response(200, {},
                 R"({"items":[{"meta":{"name":"n","revision":4},"spec":{"a":1},"status":null}],
            "more":true,"store_revision":530})"));
    REQUIRE(page.end == StoreEnd::Done);
    CHECK(page.items.at(0).name == "n");
    CHECK(page.more);
    CHECK(page.revision == 530);
    const auto changes = platform::readReply(
        response(200, {},
                 R"({"events":[{"deleted":true,"object":{"meta":{"name":"n"},"spec":null}}],
                     "store_revision":531})"));
    REQUIRE(changes.changes.size() == 1);
    CHECK(changes.changes[0].deleted);
}

TEST_CASE("a forwarded request keeps its headers but those of one connection")
{
    ports::Incoming request;
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
    CHECK(platform::commonHead(request)
          == "POST /x/1?q=2 HTTP/1.1\r\nHost: a.example:80\r\nX-Request-Id: r1\r\n"
             "X-Own: kept\r\nContent-Length: 4\r\n");
    const auto note = platform::readCaller(request);
    CHECK(note.host == "a.example");
    CHECK(note.path == "/x/1");
    CHECK(note.requestId == "r1");
    CHECK(note.patience == core::Millis(300));
    CHECK(platform::attemptHead("i-9", core::Millis(250))
          == "X-Deadline-Ms: 250\r\nX-Expected-Instance: i-9\r\n");
}

TEST_CASE("a server's response is judged by what it proves")
{
    const ports::Header proof{"X-Server-Stamp", "p"};
    CHECK(platform::readServer(response(200, {proof})).kind == ReplyKind::Success);
    CHECK_FALSE(platform::readServer(response(200, {})).usable);
    CHECK(platform::readServer(response(503, {{"X-Not-Executed", "1"}})).kind
          == ReplyKind::NotExecuted);
    CHECK(platform::readServer(response(421, {})).kind == ReplyKind::Misdirected);
    CHECK(platform::readServer(response(500, {proof})).kind == ReplyKind::Failure);
    CHECK(platform::readServer(response(404, {proof})).kind == ReplyKind::NonRetryable);
    CHECK(platform::readServer(response(503, {proof})).kind == ReplyKind::Failure);
    CHECK_FALSE(platform::readServer(response(503, {})).usable);
    const auto load = platform::readServer(response(200, {proof, {"X-Server-Load", "3, 0,8"}}));
    REQUIRE(load.load);
    CHECK(load.load->running == 3);
    CHECK(load.load->slots == 8);
    CHECK_FALSE(platform::readServer(response(200, {proof, {"X-Server-Load", "3,x"}})).load);
}

TEST_CASE("addresses and merged answers are spelled as the platform reads them")
{
    ports::Incoming request;
    request.method = "GET";
    request.target = "/resolve?name=a.example&region=r&zone=z%2Da";
    const auto question = platform::readResolve(request);
    REQUIRE(question);
    CHECK(question->zone == "z-a");
    const auto answer = platform::resolveAnswer({"10.0.0.1:1"}, core::Millis(1500));
    CHECK(json::parse(answer.body) == json{{"addrs", {"10.0.0.1:1"}}, {"ttl_s", 1.5}});
    const auto merged = platform::mergedAnswer({"p1", "p2"}, 1, "records");
    CHECK(*ports::findHeader(merged.headers, "x-part-stamps") == "p1, p2");
    CHECK(*ports::findHeader(merged.headers, "x-missing-parts") == "1");
    const auto refusal = platform::ownAnswer(503, 2025, "none", core::Millis(75));
    CHECK(*ports::findHeader(refusal.headers, "retry-after") == "0.075");
}
