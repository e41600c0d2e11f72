#include "policy/config/change_writer.h"
#include "policy/config/document.h"
#include "policy/config/freshness.h"
#include "policy/config/lists.h"

#include <catch2/catch.hpp>
#include <random>
#include <rapidcheck/catch.h>

using namespace goldcrestline;
using namespace goldcrestline::policy::config;
using namespace std::chrono_literals;
using core::ResultCode;
using core::TimePoint;

namespace {

const std::string valid = R"({"customers": {"app": {"plan": "p"}},
    "plans": {"p": {"rate_per_s": 5, "services": {"s": {"prefer": "latency"}}}}})";

ResultCode codeOf(const std::string &text)
{
    const auto lists = parseLists(text);
    return lists.has_value() ? ResultCode::Ok : lists.error().code;
}

Lists listsWithRate(double rate)
{
    Lists lists;
    lists.plans["p"].ratePerSecond = rate;
    lists.planByCustomer["app"] = "p";
    return lists;
}

// Store of one versioned object with conditional writes, whose responses may be lost.
struct FakePlatform
{
    std::uint64_t version = 0;
    std::string text;

    WriteResult write(const WriteLists &request, bool loseResponse)
    {
        const bool matches = request.expected.revision == version;
        if (matches) {
            ++version;
            text = request.text;
        }
        if (loseResponse)
            return WriteResult::Unknown;
        return matches ? WriteResult::Written : WriteResult::Conflict;
    }
};

struct Operator
{
    ChangeWriter writer;
    WriterStep next = ReadLists{};
    std::string changeId;
};

} // namespace

TEST_CASE("invalid lists are rejected with the result code of the error", "[config]")
{
    CHECK(codeOf(valid) == ResultCode::Ok);
    CHECK(codeOf("{") == ResultCode::ListsSyntax);
    CHECK(codeOf("[]") == ResultCode::ListsWrongType);
    CHECK(codeOf(R"({"costumers": {}})") == ResultCode::ListsUnknownField);
    CHECK(codeOf(R"({"plans": {"p": {"rate_per_s": -1}}})") == ResultCode::ListsOutOfRange);
    CHECK(codeOf(R"({"plans": {"p": {"rate_per_s": "x"}}})") == ResultCode::ListsWrongType);
    CHECK(codeOf(R"({"plans": {"p": {"services": {"s": {"prefer": "x"}}}}})")
          == ResultCode::ListsOutOfRange);
    CHECK(codeOf(R"({"customers": {"app": {"plan": "gone"}}})") == ResultCode::ListsUnknownPlan);
    CHECK(codeOf(R"({"customers": {"app": {"plan": 3}}})") == ResultCode::ListsWrongType);
}

TEST_CASE("lists are unchanged by serialization and parsing", "[config]")
{
    const auto lists = parseLists(valid).value();
    const auto next = nextRevision(lists, lists, "c1", "anna", 0, 5);
    const auto again = parseLists(serializeLists(next)).value();
    CHECK(again.revision == 1);
    CHECK(again.containsChange("c1"));
    CHECK(again.planFor("app")->services.at("s").prefer == Preference::Latency);
    CHECK(serializeLists(again) == serializeLists(next));
}

TEST_CASE("the parser of the lists does not crash on arbitrary input", "[config]")
{
    rc::prop("random text and valid lists with one changed byte", [](const std::string &text) {
        parseLists(text);
        auto mutated = valid;
        const auto at = *rc::gen::inRange<std::size_t>(0, mutated.size());
        mutated[at] = *rc::gen::arbitrary<char>();
        parseLists(mutated);
    });
}

TEST_CASE("the revision of a document never decreases", "[config]")
{
    rc::prop("the highest revision is kept, whatever the order of updates",
             [](const std::vector<std::uint8_t> &revisions) {
                 Document document;
                 std::uint64_t highest = 0;
                 for (const auto it : revisions) {
                     const auto before = document.version().revision;
                     document.updateIfNewer({0, it}, std::to_string(it));
                     highest = std::max<std::uint64_t>(highest, it);
                     RC_ASSERT(document.version().revision >= before);
                     RC_ASSERT(document.version().revision == highest);
                     RC_ASSERT(highest == 0 || document.text() == std::to_string(highest));
                 }
             });
}

TEST_CASE("concurrent changes with lost responses are applied once or not at all, as reported",
          "[config]")
{
    rc::prop("accepted changes are in the history once, the others are not", [] {
        std::mt19937 random(*rc::gen::inRange(1U, 1000000U));
        FakePlatform platform;
        std::vector<Operator> operators;
        const int count = *rc::gen::inRange(2, 6);
        for (int i = 0; i < count; ++i) {
            std::optional<std::uint64_t> base;
            if (random() % 2 == 0)
                base = random() % 3;
            const auto id = "c" + std::to_string(i);
            operators.push_back({ChangeWriter(listsWithRate(i), base, id, "op"), ReadLists{}, id});
        }
        std::map<std::string, std::uint64_t> accepted;
        std::set<std::string> refused;
        for (int step = 0; step < 400; ++step) {
            auto &it = operators[random() % operators.size()];
            if (std::holds_alternative<ReadLists>(it.next)) {
                it.next = it.writer.onRead({0, platform.version}, platform.text, 1);
            } else if (const auto *request = std::get_if<WriteLists>(&it.next)) {
                const auto copy = *request;
                it.next = it.writer.onWritten(platform.write(copy, random() % 2 == 0));
            } else if (const auto *done = std::get_if<Accepted>(&it.next)) {
                accepted[it.changeId] = done->version.revision;
            } else {
                refused.insert(it.changeId);
            }
        }
        const auto final = platform.version == 0 ? Lists{} : parseLists(platform.text).value();
        std::map<std::string, int> times;
        for (const auto &change : final.history)
            ++times[change.changeId];
        for (const auto &[id, revision] : accepted) {
            RC_ASSERT(times[id] == 1);
            RC_ASSERT(final.history[revision - 1].changeId == id);
        }
        for (const auto &id : refused)
            RC_ASSERT(times[id] == 0);
        RC_ASSERT(final.history.size() == final.revision);
    });
}

TEST_CASE("a host without responses from the platform and from peers stops serving", "[freshness]")
{
    const TimePoint start = TimePoint{} + 1h;
    Freshness freshness(4s);
    CHECK_FALSE(freshness.mayServe(9, start));
    freshness.onPlatformResponse(start);
    CHECK(freshness.mayServe(9, start + 4s));
    CHECK_FALSE(freshness.mayServe(9, start + 5s));
}

TEST_CASE("a confirmation received from a peer counts with its age", "[freshness]")
{
    const TimePoint start = TimePoint{} + 1h;
    Freshness freshness(4s);
    freshness.onPeerResponse("b", 3s, start);
    CHECK(freshness.mayServe(9, start + 1s));
    CHECK_FALSE(freshness.mayServe(9, start + 2s));
}

TEST_CASE("during a platform outage a majority of hosts serves and a minority does not",
          "[freshness]")
{
    const TimePoint start = TimePoint{} + 1h;
    Freshness majority(4s);
    Freshness minority(4s);
    for (const char *peer : {"b", "c", "d", "e"})
        majority.onPeerResponse(peer, 1h, start);
    for (const char *peer : {"b", "c"})
        minority.onPeerResponse(peer, 1h, start);
    CHECK(majority.mayServe(9, start + 1s));
    CHECK_FALSE(minority.mayServe(9, start + 1s));
    CHECK_FALSE(majority.mayServe(9, start + 5s));
}

TEST_CASE("lists of a later era of the store are newer, whatever their revision", "[config]")
{
    ChangeWriter writer(listsWithRate(1), std::nullopt, "c1", "op");
    // The restored store holds revision 3 of the lists, while revision 7 was in force before.
    auto restored = listsWithRate(2);
    restored.era = 1;
    restored.revision = 3;
    const auto step = writer.onRead({2, 40}, serializeLists(restored), 1);
    const auto *request = std::get_if<WriteLists>(&step);
    REQUIRE(request != nullptr);
    CHECK(request->expected == core::Version{2, 40});
    const auto written = parseLists(request->text).value();
    CHECK(written.version() == core::Version{2, 4});
    Document document;
    CHECK(document.updateIfNewer({1, 7}, "in force"));
    CHECK_FALSE(document.updateIfNewer(restored.version(), "restored"));
    CHECK(document.updateIfNewer(written.version(), "new"));
}
