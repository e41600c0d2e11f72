#include "policy/quarantine/end_check.h"
#include "policy/quarantine/request_content.h"

#include <catch2/catch.hpp>

using namespace goldcrestline;
using namespace goldcrestline::policy::quarantine;
using core::ConnectOutcome;

namespace {

ServerState check(std::vector<std::string> others, const std::vector<ConnectOutcome> &outcomes)
{
    EndCheck it("s", std::move(others));
    for (const auto outcome : outcomes) {
        REQUIRE(it.nextAddress());
        it.onConnect(outcome);
    }
    REQUIRE_FALSE(it.nextAddress());
    return it.result();
}

RequestContentPtr contentOf(const std::string &caller, const std::string &target,
                            const std::string &body, const std::string &host = "a.example")
{
    return std::make_shared<const RequestContent>(caller, "POST", host, target,
                                                  std::make_shared<const std::string>(body));
}

} // namespace

TEST_CASE("a refused connection proves the end of a server only where another one is reached")
{
    using enum ConnectOutcome;
    CHECK(check({"a", "b"}, {Connected}) == ServerState::Alive);
    CHECK(check({"a", "b"}, {Failed}) == ServerState::Unknown);
    CHECK(check({"a", "b"}, {Refused, Connected}) == ServerState::Ended);
    CHECK(check({"a", "b"}, {Refused, Failed, Connected}) == ServerState::Ended);
    CHECK(check({"a", "b"}, {Refused, Refused, Refused}) == ServerState::Unknown);
    CHECK(check({}, {Refused}) == ServerState::Unknown);
}

TEST_CASE("the digests of a request cover its caller, its content and its path")
{
    const auto digests = contentOf("10.0.0.1", "/a?b=1", "body")->digests();
    REQUIRE(digests.size() == 3);
    const auto equalFrom = [&](const RequestContentPtr &other) {
        std::size_t i = 0;
        while (i < digests.size() && digests[i] != other->digests()[i])
            ++i;
        return i;
    };
    CHECK(equalFrom(contentOf("10.0.0.1", "/a?b=1", "body")) == 0);
    CHECK(equalFrom(contentOf("10.0.0.1", "/a?b=1", "body", "A.Example")) == 0);
    CHECK(equalFrom(contentOf("10.0.0.2", "/a?b=1", "body")) == 1);
    CHECK(equalFrom(contentOf("10.0.0.1", "/a?b=2", "body")) == 2);
    CHECK(equalFrom(contentOf("10.0.0.1", "/a?b=1", "bodY")) == 3);
    CHECK(equalFrom(contentOf("10.0.0.1", "/a?b=1b", "ody")) == 3);
    const auto withoutQuery = contentOf("10.0.0.1", "/a", "body")->digests();
    CHECK(withoutQuery.size() == 2);
    CHECK(withoutQuery.back() == digests.back());
}
