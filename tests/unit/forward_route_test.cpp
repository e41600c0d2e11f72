#include "policy/forward/records.h"
#include "policy/forward/route.h"
#include "policy/forward/weighted_round_robin.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <rapidcheck/catch.h>

using namespace goldcrestline::policy::forward;

namespace {

Route routeTo(const std::string &name, const std::string &prefix)
{
    Route route;
    route.name = name;
    route.host = "Shop.example";
    route.prefix = prefix;
    route.services = {{name, 1}};
    return route;
}

} // namespace

TEST_CASE("the route with the longest matching prefix is selected")
{
    const RouteTable table(3, {routeTo("root", "/"), routeTo("deep", "/a/b/"), routeTo("a", "/a/")},
                           {}, {});
    CHECK(table.find("shop.example", "/a/b/c")->name == "deep");
    CHECK(table.find("SHOP.example", "/a/x")->name == "a");
    CHECK(table.find("shop.example", "/ab")->name == "root");
    CHECK(table.find("other.example", "/a/") == nullptr);
    const RouteTable without(4, {routeTo("a", "/a/")}, {}, {});
    CHECK(without.find("shop.example", "/a") == nullptr);
}

TEST_CASE("a traffic split keeps its shares over every sequence of requests")
{
    rc::prop("shares", [](std::vector<unsigned char> raw) {
        Route route;
        route.name = "split";
        for (std::size_t i = 0; i < std::min<std::size_t>(raw.size(), 5); ++i)
            route.services.push_back({"s" + std::to_string(i), 1.0 + raw[i] % 90});
        RC_PRE(!route.services.empty());
        double total = 0;
        for (const auto &it : route.services)
            total += it.weight;
        WeightedRoundRobin chooser;
        std::map<std::string, int> counts;
        constexpr int requests = 500;
        for (int i = 1; i <= requests; ++i) {
            ++counts[chooser.next(route)];
            for (const auto &it : route.services) {
                const double due = i * it.weight / total;
                RC_ASSERT(std::abs(counts[it.service] - due)
                          <= static_cast<double>(route.services.size()));
            }
        }
    });
}

TEST_CASE("a merged response contains the greatest records in descending order")
{
    rc::prop("top records", [](std::vector<std::string> raw, unsigned char topByte) {
        const std::size_t top = topByte % 40;
        std::vector<std::string_view> parts(raw.begin(), raw.end());
        std::vector<std::string> all;
        for (const auto &it : raw) {
            for (std::size_t at = 0; at + recordBytes <= it.size(); at += recordBytes)
                all.push_back(it.substr(at, recordBytes));
        }
        std::sort(all.rbegin(), all.rend());
        std::string expected;
        for (std::size_t i = 0; i < std::min(top, all.size()); ++i)
            expected += all[i];
        RC_ASSERT(mergeTop(parts, top) == expected);
    });
    const std::string low(recordBytes, '\x01');
    const std::string high(recordBytes, '\xff');
    CHECK(mergeTop({low + "rest", high + low}, 2) == high + low);
    CHECK(mergeTop({"short"}, 5).empty());
}
