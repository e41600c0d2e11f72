#include "policy/mirror/document_delta.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <rapidcheck/catch.h>

using namespace goldcrestline::policy::mirror;
using nlohmann::json;

namespace {

constexpr std::size_t maxBytes = 1 << 20;

// A document with a list, whose elements have these names, and a member that is no list.
std::string document(const std::vector<std::string> &names, int version)
{
    json out{{"routes", json::array()}, {"version", version}, {"limits", {{"a", 1}, {"b", 2}}}};
    for (const auto &it : names)
        out["routes"].push_back({{"name", it}, {"services", {"s", "t"}}, {"weight", 1}});
    return out.dump();
}

} // namespace

TEST_CASE("a delta turns any document into any other")
{
    rc::prop("names that contain quotes, braces and escapes included",
             [](const std::vector<std::string> &from, const std::vector<std::string> &to) {
                 const auto clean = [](std::vector<std::string> names) {
                     for (auto &it : names) {
                         for (auto &c : it)
                             c = static_cast<char>(' ' + (static_cast<unsigned char>(c) % 95));
                     }
                     return names;
                 };
                 const auto base = document(clean(from), 1);
                 const auto text = document(clean(to), 2);
                 const auto delta = makeDelta(pieceHashes(base), text);
                 RC_ASSERT(applyDelta(base, delta, maxBytes) == text);
             });
}

TEST_CASE("a delta of one changed element of a long list is short")
{
    std::vector<std::string> names;
    for (int i = 0; i < 3000; ++i)
        names.push_back("route-" + std::to_string(i));
    const auto base = document(names, 1);
    names[1500] = "changed";
    names.erase(names.begin() + 20);
    names.push_back("added");
    const auto text = document(names, 2);
    const auto delta = makeDelta(pieceHashes(base), text);
    CHECK(delta.size() < 500);
    CHECK(applyDelta(base, delta, maxBytes) == text);
}

TEST_CASE("a malformed delta, or one of another base, makes no document or another one")
{
    const auto base = document({"a", "b", "c"}, 1);
    for (const char *it :
         {"=", "=0", "=0,", "=0,1", "=99,1\n", "=0,99\n", "=18446744073709551615,2\n",
          "=0,18446744073709551615\n", "+5\nabc", "+\nabc", "x", "=-1,1\n"})
        CHECK_FALSE(applyDelta(base, it, maxBytes));
    const auto text = document({"a", "d"}, 2);
    const auto delta = makeDelta(pieceHashes(base), text);
    CHECK_FALSE(applyDelta(base, delta, text.size() - 1));
    CHECK(applyDelta(document({"e", "f", "g"}, 1), delta, maxBytes) != text);
    rc::prop("arbitrary bytes are never an error of memory", [&](const std::string &bytes) {
        (void)applyDelta(base, bytes, maxBytes);
        (void)applyDelta(bytes, delta, maxBytes);
    });
}
