#include "daemon/forward/request_admission.h"
#include "platform/configuration.h"
#include "platform/http_messages.h"
#include "platform/store.h"
#include "policy/access/key_table.h"
#include "policy/entrypoints/entry_points.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace goldcrestline;
using namespace std::chrono_literals;
using daemon::forward::AdmittedRequest;
using daemon::forward::QuotaDecision;
using daemon::forward::RequestAdmission;
using nlohmann::json;
using policy::access::digestOf;
using policy::access::KeyTable;
using policy::access::WorkspaceKeys;

namespace {

json makeSpec(const json &workspaces)
{
    auto spec = json::parse(R"({"version":7,"routes":[
        {"name":"plain","host":"a.example","path_prefix":"/","route_type":"idempotent",
         "timeout_ms":4000,"target_latency_ms":300,"priority":3,"max_attempts":2,"service":"s1"},
        {"name":"open","host":"a.example","path_prefix":"/open/","route_type":"idempotent",
         "timeout_ms":4000,"target_latency_ms":300,"priority":3,"max_attempts":2,"service":"s1",
         "anonymous":true}],
        "services":[{"name":"s1","health_path":"/health","max_connections":26}],
        "limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,
                  "idle_timeout_ms":15000}})");
    spec["tenants"] = workspaces;
    return spec;
}

json twoWorkspaces()
{
    return json::parse(R"([{"name":"one","api_keys":["key-1","key-2"],"priority":0},
                           {"name":"two","api_keys":["key-3"],"rate_per_s":5,"burst":9}])");
}

WorkspaceKeys keysOf(const std::string &name, const std::vector<std::string> &keys)
{
    WorkspaceKeys out;
    out.workspace.name = name;
    for (const auto &it : keys)
        out.digests.push_back(digestOf(it));
    return out;
}

std::string keyIn(ports::Headers headers)
{
    ports::IncomingRequest request;
    request.headers = std::move(headers);
    return platform::readKey(request);
}

std::vector<std::string> valuesOf(const ports::Headers &headers, const std::string &name)
{
    std::vector<std::string> out;
    for (const auto &it : headers) {
        if (boost::beast::iequals(it.name, name))
            out.push_back(it.value);
    }
    return out;
}

// The admission with a configuration, and what it decided on the requests.
struct AdmissionFixture
{
    bool proven = true;
    std::vector<AdmittedRequest> forwarded;
    std::vector<ports::OutgoingResponse> responses;
    std::vector<std::string> returned;
    std::vector<RequestAdmission::QuotaHandler> quotaCalls;
    RequestAdmission admission;
    std::uint64_t lastId = 0;

    AdmissionFixture() : admission(hooks()) { }

    RequestAdmission::Hooks hooks()
    {
        RequestAdmission::Hooks out;
        out.random = [] { return 0.5; };
        out.configurationProven = [this] { return proven; };
        out.describeProof = [] { return std::string(" version=7 age_ms=1"); };
        out.admitQuota = [this](const policy::access::Workspace &, core::TimePoint,
                                RequestAdmission::QuotaHandler decide) {
            quotaCalls.push_back(std::move(decide));
        };
        out.returnQuota = [this](const std::string &workspace, core::TimePoint) {
            returned.push_back(workspace);
        };
        out.forward = [this](AdmittedRequest request, core::TimePoint) {
            forwarded.push_back(std::move(request));
        };
        return out;
    }

    void configure(const json &workspaces)
    {
        auto table = platform::decodeConfig(makeSpec(workspaces));
        REQUIRE(table.has_value());
        admission.setRoutes(table.value());
    }

    std::uint64_t send(const std::string &path, ports::Headers headers)
    {
        adapters::loop::HttpCall call;
        call.id = ++lastId;
        call.request.method = "GET";
        call.request.target = path;
        call.request.headers = std::move(headers);
        call.request.headers.push_back({"Host", "a.example"});
        call.respond = [this](ports::OutgoingResponse it) { responses.push_back(std::move(it)); };
        admission.handle(std::move(call), core::TimePoint{} + 1h);
        return lastId;
    }

    // Status and result code of the last response.
    void checkRefused(int status, int code) const
    {
        REQUIRE_FALSE(responses.empty());
        CHECK(responses.back().status == status);
        CHECK(json::parse(responses.back().body).dump().find(std::to_string(code))
              != std::string::npos);
    }
};

} // namespace

TEST_CASE("the key table finds each workspace by its keys", "[access]")
{
    std::vector<core::Error> errors;
    const auto table = KeyTable::make({keysOf("one", {"a", "b"}), keysOf("two", {"c"})}, errors);
    CHECK(errors.empty());
    CHECK(table->findByDigest(digestOf("b"))->name == "one");
    CHECK(table->findByDigest(digestOf("c"))->name == "two");
    CHECK(table->find("two")->name == "two");
    // A key is not its own digest.
    CHECK(table->findByDigest("b") == nullptr);
    CHECK(table->findByDigest(digestOf("d")) == nullptr);
    CHECK(table->findByDigest("") == nullptr);
    CHECK_FALSE(table->isUnusable(""));
}

// Guards against requests that run for a workspace whose key theirs may not be.
TEST_CASE("the key table refuses keys of two workspaces and the second of the same name",
          "[access]")
{
    std::vector<core::Error> errors;
    auto malformed = keysOf("", {"e"});
    malformed.usable = false;
    const auto table = KeyTable::make({keysOf("one", {"a", "a", "b"}), keysOf("two", {"b", "c"}),
                                       keysOf("one", {"a", "d"}), malformed, keysOf("six", {"b"})},
                                      errors);
    CHECK(errors.size() == 3);
    for (const auto &it : errors)
        CHECK(it.code == core::ResultCode::ConfigurationPart);
    CHECK(table->findByDigest(digestOf("c"))->name == "two");
    for (const char *key : {"a", "b", "d", "e"}) {
        CAPTURE(key);
        CHECK(table->findByDigest(digestOf(key)) == nullptr);
        CHECK(table->isUnusable(digestOf(key)));
    }
    REQUIRE(table->workspaces().size() == 3);
    CHECK(table->workspaces()[1].name == "two");
}

// Guards against keys in the copies that hosts send each other, and against copies that other hosts
// reject: a workspace without keys had the digests null.
TEST_CASE("copies for other hosts hold digests in place of keys", "[access]")
{
    auto workspaces = twoWorkspaces();
    workspaces.push_back({{"name", "none"}, {"api_keys", json::array()}});
    workspaces.push_back({{"name", "missing"}});
    const auto spec = makeSpec(workspaces);
    const auto copy = platform::withKeyDigests(spec);
    for (const char *it : {"key-1", "key-2", "key-3", "api_keys"})
        CHECK(copy.dump().find(it) == std::string::npos);
    CHECK(platform::withKeyDigests(copy) == copy);
    const auto decoded = platform::decodeConfig(copy);
    REQUIRE(decoded.has_value());
    const auto &table = *decoded.value()->workspaces();
    CHECK(table.findByDigest(digestOf("key-2"))->name == "one");
    CHECK(table.findByDigest(digestOf("key-3"))->requestsPerSecond == 5);
    CHECK(table.find("none") != nullptr);
    const auto without = json::parse(R"({"version":1})");
    CHECK(platform::withKeyDigests(without) == without);
}

// Guards against keys in the log: the parser's messages quote the text at which it stopped.
TEST_CASE("the detail of an unreadable answer does not quote it", "[access]")
{
    ports::ExchangeResult result;
    result.outcome = ports::ExchangeOutcome::Answered;
    result.status = 200;
    result.body = R"({"spec":{"tenants":[{"api_keys":["secret-key)";
    const auto reply = platform::readReply(result);
    CHECK(reply.outcome == platform::StoreOutcome::Unknown);
    CHECK(reply.detail.find("secret") == std::string::npos);
}

TEST_CASE("the key is read from the Authorization header with scheme Token", "[access]")
{
    CHECK(keyIn({{"Authorization", "Token key-1"}}) == "key-1");
    CHECK(keyIn({{"aUTHORIZATION", "tOKEN key-1"}}) == "key-1");
    CHECK(keyIn({{"Authorization", "Token   key-1  "}}) == "key-1");
    CHECK(keyIn({}).empty());
    for (const char *it : {"", "Token", "Token ", "Token    ", "key-1", "Bearer key-1",
                           "Tokenkey-1", "Basic Token key-1", " "})
        CHECK(keyIn({{"Authorization", it}}).empty());
    // What is not a key as a whole is not one.
    CHECK(keyIn({{"Authorization", "Token key-1 key-2"}}) == "key-1 key-2");
}

// Guards against callers that name the workspace of others, or hide their own.
TEST_CASE("servers see one X-Tenant header, set by the host, and no key", "[access]")
{
    ports::IncomingRequest request;
    request.method = "GET";
    request.target = "/";
    request.headers = {{"X-Tenant", "other"},
                       {"x-tenant", "third"},
                       {"X-TENANT", ""},
                       {"authorization", "Token key-1"},
                       {"AUTHORIZATION", "Basic x"},
                       {"Accept", "*/*"},
                       {"Connection", "x-tenant, close"}};
    platform::setWorkspace(request, "one");
    CHECK(valuesOf(request.headers, "X-Tenant") == std::vector<std::string>{"one"});
    CHECK(valuesOf(request.headers, "Authorization").empty());
    CHECK(valuesOf(request.headers, "Accept").size() == 1);
    CHECK(platform::sharedHead(request).find("X-Tenant: one\r\n") != std::string::npos);
    platform::setWorkspace(request, "");
    CHECK(valuesOf(request.headers, "X-Tenant").empty());
}

TEST_CASE("requests need a key where the configuration has workspaces", "[access]")
{
    AdmissionFixture it;
    it.send("/x", {{"Authorization", "Token key-1"}});
    CHECK(it.responses.back().status == 503);
    it.configure(twoWorkspaces());
    it.send("/x", {{"Authorization", "Token key-1"}, {"X-Tenant", "two"}});
    REQUIRE(it.forwarded.size() == 1);
    CHECK(it.forwarded[0].workspace == "one");
    CHECK(it.forwarded[0].priority == 0);
    const auto &headers = it.forwarded[0].call.request.headers;
    CHECK(valuesOf(headers, "X-Tenant") == std::vector<std::string>{"one"});
    CHECK(valuesOf(headers, "Authorization").empty());
    for (const char *value : {"Token key-4", "Token KEY-1", "Bearer key-1", "Token"}) {
        it.send("/x", {{"Authorization", value}});
        it.checkRefused(401, 2050);
    }
    it.send("/x", {});
    it.checkRefused(401, 2050);
    it.send("/x", {{"Authorization", "Token " + std::string(5000, 'k')}});
    it.checkRefused(401, 2050);
    CHECK(it.admission.counters().unknownKey == 6);
    CHECK(it.forwarded.size() == 1);
    it.send("/open/x", {{"X-Tenant", "two"}});
    it.send("/open/x", {{"Authorization", "Token nonsense"}});
    REQUIRE(it.forwarded.size() == 3);
    for (std::size_t i = 1; i < 3; ++i) {
        CHECK(it.forwarded[i].workspace.empty());
        CHECK(it.forwarded[i].priority == 3);
        CHECK(valuesOf(it.forwarded[i].call.request.headers, "X-Tenant").empty());
        CHECK(valuesOf(it.forwarded[i].call.request.headers, "Authorization").empty());
    }
}

// Guards against requests of a malformed workspace or route that run without its limits, and
// against a 401 or 404 for what the configuration holds.
TEST_CASE("requests of malformed workspaces and routes are refused as not run", "[access]")
{
    AdmissionFixture it;
    auto workspaces = twoWorkspaces();
    workspaces[1]["rate_per_s"] = "5";
    it.configure(workspaces);
    for (const char *path : {"/x", "/open/x"}) {
        it.send(path, {{"Authorization", "Token key-3"}});
        it.checkRefused(503, 2052);
        CHECK(valuesOf(it.responses.back().headers, "Retry-After").size() == 1);
    }
    CHECK(it.quotaCalls.empty());
    CHECK_FALSE(it.admission.accessAllowed(digestOf("key-3")));
    it.send("/x", {{"Authorization", "Token key-4"}});
    it.checkRefused(401, 2050);
    it.send("/x", {{"Authorization", "Token key-1"}});
    REQUIRE(it.forwarded.size() == 1);
    it.proven = false;
    it.send("/x", {{"Authorization", "Token key-3"}});
    it.checkRefused(503, 2023);
    it.proven = true;
    auto spec = makeSpec(twoWorkspaces());
    spec["routes"][1]["anonymous"] = "yes";
    it.admission.setRoutes(platform::decodeConfig(spec).value());
    it.send("/open/x", {{"Authorization", "Token key-1"}});
    it.checkRefused(503, 2053);
    it.send("/x", {{"Authorization", "Token key-1"}});
    CHECK(it.forwarded.size() == 2);
    CHECK(it.admission.counters().unusable == 3);
}

// Guards against the use of a key that may have been revoked, and against a 401 for a key that may
// have been added.
TEST_CASE("a host that cannot prove its configuration refuses only requests with a key", "[access]")
{
    AdmissionFixture it;
    it.configure(twoWorkspaces());
    it.proven = false;
    for (const char *key : {"Token key-1", "Token key-3", "Token key-new"}) {
        it.send("/x", {{"Authorization", key}});
        it.checkRefused(503, 2023);
        CHECK(valuesOf(it.responses.back().headers, "Retry-After").size() == 1);
    }
    // No token of a quota is taken for a refused request.
    CHECK(it.quotaCalls.empty());
    it.send("/x", {});
    it.checkRefused(401, 2050);
    CHECK(it.forwarded.empty());
    it.send("/open/x", {});
    CHECK(it.forwarded.size() == 1);
    CHECK_FALSE(it.admission.accessAllowed(digestOf("key-1")));
    it.proven = true;
    CHECK(it.admission.accessAllowed(digestOf("key-1")));
    CHECK_FALSE(it.admission.accessAllowed(digestOf("key-new")));
    // A key that was found is looked for again in a new configuration.
    auto workspaces = twoWorkspaces();
    workspaces[0]["api_keys"] = {"key-2"};
    it.configure(workspaces);
    CHECK_FALSE(it.admission.accessAllowed(digestOf("key-1")));
    CHECK_FALSE(it.admission.accessAllowed(""));
    CHECK(it.admission.accessAllowed(digestOf("key-2")));
}

// Guards against lost tokens and requests that are forwarded for a caller that has left.
TEST_CASE("a request that waits for its quota is dropped when its caller disconnects", "[access]")
{
    AdmissionFixture it;
    it.configure(twoWorkspaces());
    const auto first = it.send("/x", {{"Authorization", "Token key-3"}});
    it.send("/x", {{"Authorization", "Token key-3"}});
    const auto third = it.send("/x", {{"Authorization", "Token key-3"}});
    REQUIRE(it.quotaCalls.size() == 3);
    CHECK(it.admission.onCallerDisconnect(first));
    CHECK_FALSE(it.admission.onCallerDisconnect(first));
    it.quotaCalls[0](QuotaDecision{}, core::TimePoint{} + 1h);
    CHECK(it.returned == std::vector<std::string>{"two"});
    CHECK(it.forwarded.empty());
    it.quotaCalls[1](QuotaDecision{}, core::TimePoint{} + 1h);
    CHECK(it.forwarded.size() == 1);
    it.quotaCalls[2](QuotaDecision{false, 900ms}, core::TimePoint{} + 1h);
    it.checkRefused(429, 2051);
    CHECK_FALSE(it.admission.onCallerDisconnect(third));
    CHECK(it.returned.size() == 1);
}

// Guards against callers who are sent to a host that refuses their requests while others serve
// them.
TEST_CASE("hosts without a proof are no entry points unless all lack one", "[access][entrypoints]")
{
    std::vector<policy::membership::Member> members(4);
    for (std::size_t i = 0; i < members.size(); ++i) {
        members[i].name = "h" + std::to_string(i);
        members[i].unproven = i < 2;
    }
    const auto eligible = policy::entrypoints::eligibleHosts(members);
    REQUIRE(eligible.size() == 2);
    CHECK(eligible[0].name == "h2");
    members[2].unproven = members[3].unproven = true;
    CHECK(policy::entrypoints::eligibleHosts(members).size() == 4);
    // A host that reaches no server is worse than one that refuses requests with a key.
    members[3].cutOff = true;
    members[3].unproven = false;
    CHECK(policy::entrypoints::eligibleHosts(members).size() == 3);
}
