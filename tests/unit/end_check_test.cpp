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

TEST_CASE("the digest of a request tells callers, targets and bodies apart")
{
    const auto digest = contentOf("10.0.0.1", "/a?b=1", "body")->digest();
    CHECK(contentOf("10.0.0.1", "/a?b=1", "body")->digest() == digest);
    CHECK(contentOf("10.0.0.1", "/a?b=1", "body", "A.Example")->digest() == digest);
    CHECK(contentOf("10.0.0.2", "/a?b=1", "body")->digest() != digest);
    CHECK(contentOf("10.0.0.1", "/a?b=2", "body")->digest() != digest);
    CHECK(contentOf("10.0.0.1", "/a?b=1", "bodY")->digest() != digest);
    CHECK(contentOf("10.0.0.1", "/a?b=1b", "ody")->digest() != digest);
}
