#include "daemon/forward/copy_follower.h"

#include <catch2/catch.hpp>

using namespace goldcrestline;
using daemon::forward::CopyFollower;
using namespace std::chrono_literals;
using policy::membership::Member;

namespace {

// Answers each call at once, and records the addresses called.
struct FakeLink : ports::PeerLink
{
    ports::CopyResponse response;
    bool answers = true;
    std::vector<std::string> called;

    void call(const std::string &address, ports::PeerRequest, core::Millis,
              ports::PeerHandler done) override
    {
        called.push_back(address);
        done({answers ? ports::PeerOutcome::Answered : ports::PeerOutcome::NoResponse, response});
    }
};

struct Fixture
{
    FakeLink link;
    policy::mirror::WatchRole role{{}};
    bool accepted = true;
    CopyFollower follower{link,
                          role,
                          {[] {
                               return core::Version{1, 1};
                           },
                           [this](const ports::CopyResponse &, const std::string &,
                                  core::TimePoint) { return accepted; }}};
    core::TimePoint now = core::Clock::now();

    Fixture()
    {
        std::vector<Member> hosts;
        for (int i = 0; i < 10; ++i) {
            Member it;
            it.name = it.peersAddress = "h" + std::to_string(i);
            hosts.push_back(it);
        }
        for (std::size_t i = 0; role.watchers().empty(); ++i)
            role.update(hosts, hosts[i], {true, true}, now);
        link.response.version = {1, 1};
        link.response.confirmationAge = core::Millis(100);
    }

    void run(core::Duration length)
    {
        for (const auto end = now + length; now < end; now += 100ms)
            follower.tick(now);
    }
};

} // namespace

TEST_CASE("a follower polls its watchers in turn and takes their confirmations")
{
    Fixture it;
    it.run(3s);
    REQUIRE(it.link.called.size() >= 4);
    CHECK(it.link.called.size() <= 6);
    CHECK(it.link.called[0] != it.link.called[1]);
    CHECK(it.link.called[0] == it.link.called[2]);
    CHECK(it.role.confirmationAge(it.now));
}

TEST_CASE("a response of an earlier era of the store confirms nothing")
{
    Fixture it;
    it.accepted = false;
    it.run(3s);
    CHECK_FALSE(it.role.confirmationAge(it.now));
}

TEST_CASE("a watcher that does not answer confirms nothing, nor one without a list")
{
    Fixture it;
    SECTION("no answer")
    {
        it.link.answers = false;
    }
    SECTION("no list")
    {
        it.link.response.version = {};
    }
    it.run(3s);
    CHECK_FALSE(it.role.confirmationAge(it.now));
}
