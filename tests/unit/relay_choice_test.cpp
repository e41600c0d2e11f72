#include "policy/reach/relay_choice.h"

#include <catch2/catch.hpp>

using namespace goldcrestline;
using namespace goldcrestline::policy::reach;
using namespace std::chrono_literals;

namespace {

std::string choose(const std::vector<RelayCandidate> &candidates)
{
    const auto chosen = chooseRelay(candidates, "a", [] { return 0.5; });
    return chosen ? candidates[*chosen].name : "";
}

} // namespace

TEST_CASE("requests are relayed to the least busy host that reaches servers, of the own zone first")
{
    CHECK(choose({}).empty());
    CHECK(choose({{"b", "b", 0, 1s}, {"a", "a", 0, 1s}}) == "a");
    CHECK(choose({{"a", "a", 3, 1s}, {"b", "b", 0, 1s}}) == "b");
    CHECK(choose({{"a", "a", 0, 5s}, {"b", "b", 1, 1s}}) == "b");
    CHECK(choose({{"a", "a", 0, std::nullopt}, {"b", "b", 1, 1s}}) == "b");
    CHECK(choose({{"a", "a", 0, std::nullopt}}) == "a");
}

TEST_CASE("what a zone's only connected host can't take alone goes to other zones too")
{
    std::vector<RelayCandidate> candidates{{"a", "a", 0, 1s}, {"b", "b", 0, 1s}, {"c", "c", 0, 1s}};
    for (int i = 0; i < 35; ++i) {
        const auto chosen = chooseRelay(candidates, "a", [] { return 0.5; });
        ++candidates[*chosen].inFlight;
    }
    CHECK(candidates[0].inFlight == 15);
    CHECK(candidates[1].inFlight == 10);
    CHECK(candidates[2].inFlight == 10);
}
