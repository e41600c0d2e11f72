#include "platform/document_store.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace goldcrestline;
using nlohmann::json;
using namespace std::chrono_literals;

namespace {

ports::ExchangeResult answer(int status, const json &body = json::object())
{
    ports::ExchangeResult out;
    out.outcome = ports::ExchangeOutcome::Answered;
    out.status = status;
    out.body = body.dump();
    return out;
}

json object(const std::string &name)
{
    return {{"meta", {{"name", name}, {"revision", 7}}}, {"spec", {{"a", 1}}}};
}

} // namespace

// Guards against a document that is taken as absent because another object fills the first page.
TEST_CASE("a document behind the first page of its kind is found, and watched from that page on")
{
    std::vector<std::string> lines;
    platform::DocumentStore store(
        [&](const ports::ExchangeRequest &request, core::Millis,
            const platform::DocumentStore::Done &done) {
            const auto &head = *request.commonHead;
            lines.push_back(head.substr(0, head.find(" HTTP")));
            const bool watch = head.find("watch=") != std::string::npos;
            const bool further = head.find("after=") != std::string::npos;
            if (watch)
                return done(answer(400));
            done(answer(200,
                        {{"items", {object(further ? "lists" : "copy of lists")}},
                         {"more", !further},
                         {"store_revision", further ? 12 : 9}}));
        },
        1s);
    for (int i = 0; i < 2; ++i) {
        std::string text;
        store.watch("config/lists", {}, 1s, [&](const core::Result<ports::StoredObject> &result) {
            REQUIRE(result.has_value());
            text = result.value().text;
        });
        CHECK(text == R"({"a":1})");
    }
    const std::string list = "GET /objects/goldcrestline-config";
    CHECK(lines
          == std::vector<std::string>{list, list + "?after=copy%20of%20lists",
                                      list + "?watch=9&wait_ms=1000", list,
                                      list + "?after=copy%20of%20lists"});
}
