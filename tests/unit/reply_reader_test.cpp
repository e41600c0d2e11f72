#include "adapters/loop/exchange_client.h"
#include "loop_helpers.h"
#include "platform/configuration.h"
#include "platform/json_text.h"
#include "platform/reply_reader.h"
#include "platform/store.h"
#include "policy/mirror/mirror.h"
#include "raw_server.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

// Responses of the store that are read in passing.

using namespace goldcrestline;
using namespace std::chrono_literals;
using nlohmann::json;
using platform::JsonStream;
using platform::ReplyReader;
using platform::StoreOutcome;

namespace {

constexpr std::size_t oneMegabyte = 1000000;

json serverSpec(int sequence)
{
    return {{"service", "s"},   {"address", "127.0.0.1:80"}, {"zone", "a"},         {"capacity", 2},
            {"state", "ready"}, {"warmup_left_ms", 0},       {"sequence", sequence}};
}

std::string event(const std::string &name, const json &spec, bool deleted = false)
{
    return json{{"object", {{"meta", {{"name", name}, {"revision", 3}}}, {"spec", spec}}},
                {"deleted", deleted}}
        .dump();
}

// Returns the result of an exchange whose body the reader received in pieces of `pieceBytes`.
ports::ExchangeResult resultOf(const ports::ExchangeRequest &request, std::string_view body,
                               std::size_t pieceBytes)
{
    ports::ExchangeResult result;
    result.outcome = ports::ExchangeOutcome::Answered;
    result.status = 200;
    result.bodyReader = request.bodyReader;
    for (; !body.empty(); body.remove_prefix(std::min(pieceBytes, body.size()))) {
        if (!request.bodyReader->read(body.substr(0, pieceBytes))) {
            result.outcome = ports::ExchangeOutcome::Broken;
            break;
        }
    }
    return result;
}

// The parts that a stream found, and whether it accepted the text.
struct Parts
{
    std::vector<std::pair<std::string, std::string>> members;
    std::vector<std::string> elements;
    int oversized = 0;
    bool accepted = true;
    bool operator==(const Parts &) const = default;
};

Parts partsOf(std::string_view text, std::size_t pieceBytes, std::size_t maxPartBytes = 1 << 20)
{
    Parts out;
    JsonStream stream(
        {"items"}, maxPartBytes,
        {[&](std::string_view name, std::string_view value) {
             out.members.emplace_back(name, value);
         },
         [&](std::string_view, std::string_view element) { out.elements.emplace_back(element); },
         [&] { ++out.oversized; }});
    for (; !text.empty() && out.accepted; text.remove_prefix(std::min(pieceBytes, text.size())))
        out.accepted = stream.read(text.substr(0, pieceBytes));
    out.accepted = out.accepted && stream.complete();
    return out;
}

// The same by a decoder of whole texts.
Parts partsOfWhole(const std::string &text)
{
    Parts out;
    const auto members = platform::membersOf(text);
    out.accepted = members.has_value();
    for (std::size_t i = 0; members && i < members->size(); ++i) {
        const auto &it = (*members)[i];
        if (it.name != "items" || !it.value.starts_with('[')) {
            out.members.emplace_back(it.name, it.value);
            continue;
        }
        const auto elements = platform::elementsOf(it.value);
        out.accepted = out.accepted && elements.has_value();
        for (std::size_t n = 0; elements && n < elements->size(); ++n)
            out.elements.emplace_back((*elements)[n]);
    }
    return out;
}

} // namespace

TEST_CASE("a stream finds the parts of an object, however its text is split", "[store][stream]")
{
    rc::prop("objects with odd strings, lists and nested values",
             [](const std::vector<std::string> &values) {
                 json object = {{"items", json::array()}, {"more", true}};
                 for (const auto &it : values) {
                     std::string clean;
                     for (const char c : it)
                         clean += "\"\\{}[],: a"[static_cast<unsigned char>(c) % 10];
                     object["items"].push_back({{"a" + clean, {clean, 1, {clean}}}});
                     object["n" + clean] = {clean, json{{clean, json::array()}}};
                 }
                 for (const int indent : {-1, 2}) {
                     const auto text = object.dump(indent);
                     const auto expected = partsOfWhole(text);
                     RC_ASSERT(expected.accepted);
                     const auto pieceBytes = *rc::gen::inRange<std::size_t>(1, 40);
                     RC_ASSERT(partsOf(text, pieceBytes) == expected);
                     RC_ASSERT(partsOf(text, text.size()) == expected);
                 }
             });
    for (const std::string it : {"{}", " { } ", R"({"items":[]})", R"({"items": [ ] , "a":1})"}) {
        CAPTURE(it);
        CHECK(partsOf(it, 1).accepted);
        CHECK(partsOf(it, 1) == partsOf(it, it.size()));
    }
    for (const std::string it :
         {"", "{", "[]", "{} {}", "x", R"({"items": [})", R"({"items": [{]})", R"({"a)",
          R"({"items": []]})", R"({"items": [1] 2})", R"({"a" "b"})", R"({"a"})", R"({a: 1})",
          R"({"a": 1,})", R"({,})", R"({"a": "\)", R"("a")"}) {
        CAPTURE(it);
        CHECK_FALSE(partsOf(it, 1).accepted);
        CHECK_FALSE(partsOf(it, 100).accepted);
    }
    rc::prop("arbitrary bytes", [](const std::string &bytes) {
        (void)partsOf("{" + bytes + "}", 1);
        (void)partsOf("{\"items\": [" + bytes + "]}", 3);
    });
}

// Guards against objects beyond a limit that make each response with them unusable.
TEST_CASE("a part that is too long is passed over", "[store][stream]")
{
    const std::string text = R"({"long":")" + std::string(200, '\\') + R"(","items":[")"
        + std::string(200, 'x') + R"(",[[")" + std::string(200, ']') + R"("]],7],"a":1})";
    for (const std::size_t pieceBytes : {1, 7, 1000}) {
        const auto parts = partsOf(text, pieceBytes, 100);
        CHECK(parts.accepted);
        CHECK(parts.oversized == 3);
        CHECK(parts.elements == std::vector<std::string>{"7"});
        CHECK(parts.members.size() == 1);
    }
}

// Guards against a change that hosts cannot hear of behind large entries of another writer.
TEST_CASE("a watch reads server entries behind large ones", "[store][stream]")
{
    constexpr int largeEntries = 100;
    const auto request = platform::watchRequest("servers", 5, 1000ms);
    auto &reader = *request.bodyReader;
    REQUIRE(reader.read(R"({"events":[)"));
    for (int i = 0; i < largeEntries; ++i) {
        json spec = {{"note", std::string(oneMegabyte, 'x')}};
        // One that names a server all the same.
        if (i == 7)
            spec.update(serverSpec(4));
        const auto text = event("note-" + std::to_string(i), spec) + ",";
        for (std::size_t at = 0; at < text.size(); at += 32768)
            REQUIRE(reader.read(std::string_view(text).substr(at, 32768)));
    }
    auto draining = serverSpec(9);
    draining["state"] = "draining";
    REQUIRE(reader.read(event("i-1", serverSpec(8)) + "," + event("i-2", serverSpec(1)) + ","));
    REQUIRE(reader.read(event("i-1", draining) + "," + event("i-2", serverSpec(2), true)));
    REQUIRE(reader.read(R"(],"store_revision":400})"));
    const auto reply = platform::readReply(resultOf(request, {}, 1));
    REQUIRE(reply.outcome == StoreOutcome::Done);
    CHECK(reply.revision == 400);
    // The last change of each object.
    REQUIRE(reply.changes.size() == largeEntries + 2);
    CHECK(reply.changes[0].object.spec == json::object());
    CHECK(reply.changes[7].object.spec == serverSpec(4));
    CHECK(reply.changes[largeEntries].object.name == "i-1");
    CHECK(reply.changes[largeEntries].object.spec == draining);
    CHECK(reply.changes[largeEntries + 1].deleted);
}

// Guards against the memory of what other writers put into a response.
TEST_CASE("a response with too much to keep is refused as one that would come again",
          "[store][stream]")
{
    const auto request = platform::watchRequest("goldcrestline-lists", 5, 1000ms);
    std::string body = R"({"events":[)";
    for (std::size_t i = 0; i * oneMegabyte <= ReplyReader::maxKeptBytes; ++i) {
        body += event("o" + std::to_string(i), {{"text", std::string(oneMegabyte, 'x')}}) + ",";
    }
    body += event("last", {}) + "]}";
    const auto reply = platform::readReply(resultOf(request, body, 65536));
    CHECK(reply.outcome == StoreOutcome::Rejected);
    CHECK(reply.detail == "response too long");
    // Changes of one object count once.
    const auto again = platform::watchRequest("config", 5, 1000ms);
    REQUIRE(again.bodyReader->read(R"({"events":[)"));
    for (int version = 1; version <= 40; ++version) {
        const auto text =
            event("main", {{"version", version}, {"text", std::string(oneMegabyte, 'x')}});
        REQUIRE(again.bodyReader->read((version == 1 ? "" : ",") + text));
    }
    const auto latest = platform::readReply(resultOf(again, "]}", 1));
    REQUIRE(latest.outcome == StoreOutcome::Done);
    REQUIRE(latest.changes.size() == 1);
    CHECK(latest.changes[0].object.spec.at("version") == 40);
}

// Guards against bytes that keep a whole configuration out of force.
TEST_CASE("a configuration whose bytes cannot be decoded is read part by part", "[store][parts]")
{
    const auto nested = [](std::size_t depth) {
        return std::string(depth, '[') + std::string(depth, ']');
    };
    for (const std::string &odd :
         {std::string("\"\xff\xfe\""), std::string("1e999"), std::string("tru"),
          std::string("\"\\ud800\""), nested(62), nested(64), nested(70), nested(100000)}) {
        CAPTURE(odd.substr(0, 80));
        const auto request = platform::listRequest("config", "");
        const auto body = R"({"items":[{"meta":{"name":"main","revision":9},"spec":{"version":7,)"
                          R"("odd":)"
            + odd + R"(,"routes":[{"host":"a.example","path_prefix":"/","name":)" + odd
            + R"(}],"tenants":[{"name":)" + odd + R"(},{"name":"two"}]}}]})";
        const auto reply = platform::readReply(resultOf(request, body, 5));
        REQUIRE(reply.items.size() == 1);
        const auto &spec = reply.items[0].spec;
        CHECK(spec.at("version") == 7);
        CHECK_FALSE(spec.at("tenants")[0].at("name").is_string());
        CHECK(spec.at("tenants")[1].at("name") == "two");
        // Another host gets the text, and comes to the same.
        const auto table = platform::decodeConfig(spec).value();
        const auto copy = platform::ConfigDecoder().decode(platform::configText(spec)).value();
        REQUIRE(copy->workspaces());
        CHECK(copy->workspaces()->find("two") != nullptr);
        CHECK(table->workspaces()->find("two") != nullptr);
        REQUIRE(copy->find("a.example", "/x") != nullptr);
        CHECK_FALSE(copy->find("a.example", "/x")->usable);
        CHECK(table->find("a.example", "/x") != nullptr);
    }
    // Other objects of the kind are passed over.
    const auto request = platform::listRequest("config", "");
    const auto body = R"({"items":[{"spec":{"version":7},"meta":{"name":"other"}}]})";
    CHECK(platform::readReply(resultOf(request, body, 5)).items.at(0).spec.is_null());
}

// Guards against a body that is kept whole, and against one that is dropped at the limit of those.
TEST_CASE("a client gives a body to its reader in passing", "[store][stream]")
{
    using namespace adapters::loop;
    boost::asio::io_context io;
    unit::RawServer server(io);
    ExchangeOptions options;
    options.maxBodyBytes = 100000;
    options.maxReadBytes = 50 * oneMegabyte;
    ExchangeClient client(io, options);
    const auto large = event("note", {{"note", std::string(oneMegabyte, 'x')}}) + ",";
    const std::string start = R"({"events":[)";
    const auto tail = event("i-1", serverSpec(1)) + R"(],"store_revision":12})";
    const auto lengthHead = [&](int status, std::size_t bytes) {
        return "HTTP/1.1 " + std::to_string(status)
            + " X\r\nContent-Length: " + std::to_string(bytes) + "\r\n\r\n";
    };
    const auto bytes = start.size() + 40 * large.size() + tail.size();
    server.replies = {
        {lengthHead(200, bytes) + start, false, false, large, 40, tail},
        {lengthHead(410, bytes) + start, false, false, large, 40, tail},
        {lengthHead(200, 60 * oneMegabyte) + start, false, false, large, 40, tail},
        {"HTTP/1.1 200 OK\r\n\r\n" + start, false, false, large, std::nullopt, {}},
        {"HTTP/1.1 200 OK\r\n\r\nno object", false, false, large, std::nullopt, {}},
    };
    const auto get = [&] {
        auto request = platform::watchRequest("servers", 5, 1000ms);
        std::optional<ports::ExchangeResult> result;
        client.send(server.address(), std::move(request), core::Clock::now(),
                    [&](ports::ExchangeResult it) { result = std::move(it); });
        unit::runUntil(io, [&] { return result.has_value(); });
        REQUIRE(result);
        CHECK(result->body.empty());
        return platform::readReply(*result);
    };
    const auto reply = get();
    CHECK(reply.outcome == StoreOutcome::Done);
    CHECK(reply.revision == 12);
    CHECK(reply.changes.size() == 2);
    CHECK(get().outcome == StoreOutcome::HistoryLost);
    for (int i = 0; i < 2; ++i) {
        const auto refused = get();
        CHECK(refused.outcome == StoreOutcome::Rejected);
        CHECK(refused.detail == "response too long");
    }
    const auto malformed = get();
    CHECK(malformed.outcome == StoreOutcome::Unknown);
    CHECK(malformed.detail == "malformed response");
}
