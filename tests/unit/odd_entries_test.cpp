#include "daemon/forward/server_list.h"
#include "platform/json_text.h"
#include "platform/store.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace goldcrestline;
using nlohmann::json;
using namespace std::chrono_literals;

// Entries that another writer left among those of the servers.

namespace {

std::string entryWith(const std::string &field, const std::string &value)
{
    std::string out = "{";
    const std::vector<std::pair<std::string, std::string>> fields{
        {"service", "\"s\""}, {"address", "\"127.0.0.1:80\""}, {"zone", "\"a\""},
        {"capacity", "2"},    {"state", "\"ready\""},          {"warmup_left_ms", "0"},
        {"sequence", "4"},    {"born", "1700000000000"}};
    for (const auto &it : fields) {
        if (it.first != field)
            out += "\"" + it.first + "\":" + it.second + ",";
    }
    return out + "\"" + field + "\":" + value + "}";
}

std::string nested(std::size_t depth, const std::string &open, const std::string &close)
{
    std::string out;
    for (std::size_t i = 0; i < depth; ++i)
        out += open;
    out += "1";
    for (std::size_t i = 0; i < depth; ++i)
        out += close;
    return out;
}

// Returns the texts of entries that name no server to use.
std::vector<std::string> oddEntries()
{
    const auto largest = std::to_string(std::numeric_limits<std::uint64_t>::max());
    return {
        entryWith("further", nested(200000, "[", "]")),
        entryWith("further", nested(100000, "{\"a\":", "}")),
        entryWith("service", nested(200000, "[", "]")),
        entryWith("further", "1e999"),
        entryWith("sequence", "-1e999"),
        entryWith("capacity", largest),
        entryWith("capacity", "99999999999999999999999999"),
        entryWith("capacity", "4294967298"),
        entryWith("capacity", "-1"),
        entryWith("sequence", largest),
        entryWith("born", largest),
        entryWith("warmup_left_ms", "1e300"),
        entryWith("warmup_left_ms", largest),
        entryWith("address", "\"127.0.0.1:65536\""),
        entryWith("address", "\"127.0.0.1:99999999999999999999\""),
        entryWith("address", "\"127.0.0.1:-80\""),
        entryWith("address", "\"127.0.0.1:0\""),
        entryWith("address", "\"127.0.0.1:\""),
        entryWith("address", "\"127.0.0.1\""),
        entryWith("address", "\":80\""),
        entryWith("address", "\"127.0.0.1\\u0000\\r\\nX-Header: a:80\""),
        entryWith("address", "\"host.example:80\""),
        entryWith("zone", "\"\xff\xfe\""),
        entryWith("zone", "\"\\ud800\""),
        entryWith("state", "\"resting\""),
        "[]",
        "17",
        "null",
        "tru",
        "",
    };
}

std::string objectOf(const std::string &name, const std::string &spec)
{
    return R"({"meta": {"name": ")" + name + R"(", "revision": 3}, "spec": )" + spec + "}";
}

// Reads the body as that of a list or watch of servers, which arrives in two pieces.
platform::StoreReply read(const std::string &body)
{
    ports::ExchangeResult result;
    result.outcome = ports::ExchangeOutcome::Answered;
    result.status = 200;
    result.bodyReader = platform::listRequest("servers", "").bodyReader;
    const std::string_view bytes(body);
    const auto half = bytes.size() / 2;
    if (!result.bodyReader->read(bytes.substr(0, half))
        || !result.bodyReader->read(bytes.substr(half)))
        result.outcome = ports::ExchangeOutcome::Broken;
    return platform::readReply(result);
}

struct List
{
    policy::forward::BackendTable backends{
        "a", {}, [](const std::string &) { return 1; }, [] { return 0.5; }};
    daemon::forward::ServerList list{backends, 4s};

    void apply(const std::vector<platform::StoreObject> &objects)
    {
        for (const auto &it : objects)
            list.onObject(it.name, it.spec, core::TimePoint{} + 1h);
    }
};

} // namespace

TEST_CASE("an odd entry names no server and hides no other one")
{
    for (const auto &odd : oddEntries()) {
        CAPTURE(odd.substr(0, 200));
        const auto good = entryWith("sequence", "5");
        const auto list =
            objectOf("first", good) + ", " + objectOf("odd", odd) + "," + objectOf("last", good);
        const auto reply =
            read(R"({"items": [)" + list + R"(], "more": false, "store_revision": 9})");
        REQUIRE(reply.outcome == platform::StoreOutcome::Done);
        CHECK(reply.revision == 9);
        REQUIRE(reply.items.size() == 3);
        CHECK(reply.items[1].name == "odd");
        List servers;
        servers.apply(reply.items);
        CHECK(servers.list.toJson().size() == 2);
        CHECK(servers.list.toJson().contains("last"));
    }
}

TEST_CASE("a server whose entry becomes an odd one is not used, and the watch goes on")
{
    for (const auto &odd : oddEntries()) {
        CAPTURE(odd.substr(0, 200));
        List servers;
        servers.apply(
            {{"s1", 2, decltype(platform::StoreObject::spec)::parse(entryWith("sequence", "5"))}});
        const auto event = [](const std::string &name, const std::string &spec) {
            return R"({"object": )" + objectOf(name, spec) + R"(, "deleted": false})";
        };
        const auto reply =
            read(R"({"events": [)" + event("s1", odd) + ","
                 + event("s2", entryWith("sequence", "1")) + R"(], "store_revision": 12})");
        REQUIRE(reply.changes.size() == 2);
        CHECK(reply.revision == 12);
        for (const auto &it : reply.changes)
            servers.apply({it.object});
        CHECK(servers.backends.pick("s", {}, core::TimePoint{} + 1h)->record.id == "s2");
    }
}

// Guards against an entry whose name adds a header, or a request, to those sent to its address.
TEST_CASE("a server whose id cannot be sent in a header is not used")
{
    const auto spec = decltype(platform::StoreObject::spec)::parse(entryWith("sequence", "5"));
    for (const auto &id :
         {std::string(), std::string(" i-1"), std::string("i-1 "),
          std::string("i-1\r\nX-Header: a"), std::string("i-1\n"), std::string("i\t1"),
          std::string("i-1\x7f"), std::string("i\0a", 3), std::string(300, 'i')}) {
        CAPTURE(id);
        List servers;
        servers.apply({{id, 3, spec}});
        CHECK(servers.list.toJson().empty());
        CHECK(servers.backends.pick("s", {}, core::TimePoint{} + 1h) == nullptr);
    }
    for (const std::string id : {"i-1", "i 1", "i:1,\"2\"", "\xc3\xbc"}) {
        CAPTURE(id);
        List servers;
        servers.apply({{id, 3, spec}});
        CHECK(servers.list.toJson().size() == 1);
    }
}

TEST_CASE("an object without a readable name is counted and hides no other one")
{
    const auto good = objectOf("good", entryWith("sequence", "5"));
    for (const std::string odd : {R"({"spec": {}})", R"({"meta": 1})", R"({"meta": {"name": 7}})",
                                  R"({"meta": {"name": "\xff"}})", "[]", "\"a\""}) {
        CAPTURE(odd);
        const auto reply = read(R"({"items": [)" + odd + "," + good + "]}");
        CHECK(reply.items.size() == 1);
        CHECK(reply.unreadableObjects == 1);
    }
}

// Guards against a list that ends at an object whose name cannot be decoded, as if it were whole.
TEST_CASE("a list continues after the name of its last object, also if that cannot be decoded")
{
    const auto nextAfter = [](const std::string &last) {
        const auto good = objectOf("good", entryWith("sequence", "5"));
        return read(R"({"items": [)" + good + "," + last + R"(], "more": true})").nextAfter;
    };
    CHECK(nextAfter(objectOf("last", "{}")) == "last");
    CHECK(nextAfter(objectOf("a\\u0020b", "{}")) == "a b");
    CHECK(nextAfter(objectOf("a\xff", "{}")) == "a\xff");
    // Such an object is on the next page again, with those behind it.
    CHECK(nextAfter(objectOf("a\xff\\n", "{}")) == "good");
    CHECK(nextAfter("{}") == "good");
    CHECK(nextAfter(R"({"meta": {"name": 7}})") == "good");
    CHECK(read(R"({"items": [{}], "more": true})").nextAfter == "");
    CHECK(read(R"({"items": [], "more": true})").nextAfter == "");
    CHECK_FALSE(read(R"({"items": [], "more": false})").nextAfter);
}

TEST_CASE("a body whose brackets or quotes do not match is an unreadable answer")
{
    for (const std::string body : {"", "{", R"({"items": [})", R"({"items": [{]})", "[]", "{} {}",
                                   R"({"items": {}})", R"({"a)", R"({"a": "\)", R"({a: 1})"}) {
        CAPTURE(body);
        CHECK(read(body).outcome == platform::StoreOutcome::Unknown);
    }
    rc::prop("arbitrary bytes are read without an exception",
             [](const std::string &body) { (void)read("{" + body + "}"); });
}

TEST_CASE("the parts of a JSON text are those that a decoder finds")
{
    rc::prop("objects and arrays of strings with quotes, brackets and commas",
             [](const std::vector<std::string> &values) {
                 json array = json::array();
                 json object = json::object();
                 for (const auto &it : values) {
                     std::string clean;
                     for (const char c : it)
                         clean += "\"\\{}[],: a"[static_cast<unsigned char>(c) % 10];
                     array.push_back(clean);
                     object["n" + std::to_string(array.size())] = {clean, json{{clean, clean}}};
                 }
                 for (const int indent : {-1, 2}) {
                     const auto text = array.dump(indent);
                     const auto elements = platform::elementsOf(text);
                     RC_ASSERT(elements && elements->size() == array.size());
                     for (std::size_t i = 0; i < array.size(); ++i)
                         RC_ASSERT(platform::decodeText((*elements)[i]) == array[i]);
                     const auto objectText = object.dump(indent);
                     const auto members = platform::membersOf(objectText);
                     RC_ASSERT(members && members->size() == object.size());
                     for (const auto &it : *members)
                         RC_ASSERT(platform::decodeText(it.value) == object[std::string(it.name)]);
                 }
             });
}
