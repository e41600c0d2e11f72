#include "daemon/forward/host_registry.h"
#include "loop_helpers.h"
#include "platform/records.h"
#include "throttled_server.h"

#include <catch2/catch.hpp>

using namespace goldcrestline;
using namespace unit;
using nlohmann::json;

namespace {

constexpr std::size_t bytesPerMillisecond = 1000000;

policy::membership::Member memberNamed(const std::string &name)
{
    policy::membership::Member out;
    out.name = name;
    out.zone = "a";
    out.callersAddress = out.controlAddress = out.peersAddress = "127.0.0.1:80";
    return out;
}

// A host whose calls the store answers as `answer` decides.
struct Registration
{
    boost::asio::io_context io;
    ThrottledServer store;
    adapters::loop::ExchangeClient client{io, {}};
    std::vector<std::string> found;
    std::vector<std::string> calls;
    daemon::forward::HostRegistry registry{
        memberNamed("self"),
        false,
        client,
        {[this] { return store.address(); },
         [](std::optional<std::uint64_t>) { return policy::mirror::EraOrder::Current; },
         [this](const std::vector<policy::membership::Member> &hosts) {
             for (const auto &it : hosts)
                 found.push_back(it.name);
         }}};

    explicit Registration(ThrottledServer::Handler answer)
        : store(io, bytesPerMillisecond, [this, answer](const std::string &line) {
              calls.push_back(line);
              return answer(line);
          })
    { }

    // Makes calls until `n` hosts were found.
    void run(std::size_t n)
    {
        runUntil(io, [&] {
            registry.tick(core::Clock::now());
            return found.size() >= n;
        });
    }
};

json page(const std::string &name, const json &spec, bool more)
{
    return {{"items", {{{"meta", {{"name", name}}}, {"spec", spec}}}}, {"more", more}};
}

} // namespace

// Guards against a host that repeats a rejected registration and never learns of the others.
TEST_CASE("a host whose registration is rejected finds the other hosts")
{
    Registration it([](const std::string &line) -> ThrottledServer::Reply {
        if (line.starts_with("PUT"))
            return {"{}", {}, "413 Payload Too Large"};
        return {page("other", platform::encodeHost(memberNamed("other")), false).dump()};
    });
    it.run(1);
    CHECK(it.found == std::vector<std::string>{"other"});
    CHECK(it.registry.hostsRead());
    CHECK(it.calls.size() == 2);
}

TEST_CASE("hosts behind a name that the store rejects are found")
{
    Registration it([](const std::string &line) -> ThrottledServer::Reply {
        if (line.starts_with("PUT"))
            return {"{}"};
        if (line.find("after=") == std::string::npos)
            return {page("copy of a", {}, true).dump()};
        if (line.find("after=copy%20") != std::string::npos)
            return {"{}", {}, "400 Bad Request"};
        return {page("other", platform::encodeHost(memberNamed("other")), false).dump()};
    });
    it.run(1);
    CHECK(it.found == std::vector<std::string>{"other"});
    CHECK(it.calls.size() == 4);
}
