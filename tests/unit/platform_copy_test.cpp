#include "daemon/forward/configuration_prover.h"
#include "daemon/forward/platform_copy.h"
#include "throttled_server.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace goldcrestline;
using daemon::forward::PlatformCopy;
using nlohmann::json;
using namespace std::chrono_literals;

namespace {

// Time within which a change must be in force on a fleet of this size.
constexpr auto changeTime = 5s;

json configuration(std::uint64_t version, int routes)
{
    auto out = json::parse(R"({"services": [{"name": "s", "max_connections": 10}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000}, "routes": []})");
    out["version"] = version;
    for (int i = 0; i < routes; ++i) {
        out["routes"].push_back({{"name", "r" + std::to_string(i)},
                                 {"host", "h.example"},
                                 {"path_prefix", "/p" + std::to_string(i) + "/"},
                                 {"route_type", "idempotent"},
                                 {"timeout_ms", 1000},
                                 {"target_latency_ms", 100},
                                 {"priority", 0},
                                 {"max_attempts", 2},
                                 {"service", "s"}});
    }
    return out;
}

// Leaves each request without an answer, and counts the requests for the configuration.
struct SilentLink : ports::PeerLink
{
    int fetches = 0;

    void call(const std::string &, ports::PeerRequest, core::Millis, ports::PeerHandler) override
    {
        ++fetches;
    }
};

// A host whose store holds version 1, and version 2 from the second call on.
struct Host
{
    boost::asio::io_context io;
    unit::ThrottledServer store;
    adapters::loop::ExchangeClient client{io, {}};
    policy::forward::BackendTable backends{
        "a", {}, [](const std::string &) { return 1; }, [] { return 0.5; }};
    SilentLink link;
    std::uint64_t inForce = 0;
    // The store's configuration changes; otherwise version 1 has all routes, and keys.
    bool changes = true;
    int objectsSent = 0;
    bool answersServerWatches = true;
    bool rejectsConfigWatches = false;
    // Another object fills the first page of the list of configurations.
    bool hasOddObject = false;
    PlatformCopy copy{client,
                      backends,
                      link,
                      5s,
                      core::Millis(0),
                      {[this] { return store.address(); }, [] { return 0.5; },
                       [this](policy::forward::RouteTablePtr table) { inForce = table->version(); },
                       [](core::TimePoint) {}}};

    Host(std::size_t bytesPerMillisecond, int routes)
        : store(io, bytesPerMillisecond,
                [this, routes](const std::string &line) { return reply(line, routes); })
    { }

    unit::ThrottledServer::Reply reply(const std::string &line, int routes)
    {
        if (line.find("/objects/config") == std::string::npos) {
            const bool waits = line.find("wait_ms=") != std::string::npos
                && line.find("wait_ms=1 ") == std::string::npos;
            return {R"({"items": [], "events": [], "more": false, "store_revision": 5})",
                    waits && !answersServerWatches ? 60s : 100ms};
        }
        const bool watch = line.find("watch=") != std::string::npos;
        if (watch && rejectsConfigWatches)
            return {"{}", 0s, "400 Bad Request"};
        if (!watch && hasOddObject && line.find("after=copy%20of%20main") == std::string::npos)
            return {R"({"items": [{"meta": {"name": "copy of main"}, "spec": {}}], "more": true,
                        "store_revision": 5})"};
        const auto version = inForce == 0 || !changes ? 1 : 2;
        auto spec = configuration(version, changes && version == 1 ? 1 : routes);
        if (!changes) {
            spec["tenants"] =
                json::array({{{"name", "w"}, {"api_keys", json::array({"0123456789"})}}});
        }
        const json object = {{"meta", {{"name", "main"}, {"revision", 5 + version}}},
                             {"spec", std::move(spec)}};
        // The watch that was waiting when the change was made is on a silent connection.
        const bool waits = watch && line.find("wait_ms=1 ") == std::string::npos;
        if (watch && !changes)
            return {R"({"events": [], "store_revision": 7})", waits ? 60s : 0s};
        ++objectsSent;
        if (line.find("/objects/config/main") != std::string::npos)
            return {object.dump()};
        if (!watch)
            return {
                json{{"items", {object}}, {"more", false}, {"store_revision", 5 + version}}.dump()};
        return {json{{"events", {{{"object", object}, {"deleted", false}}}}, {"store_revision", 7}}
                    .dump(),
                waits ? 60s : 0s};
    }

    // Lets peers report a newer server list than this host's.
    void reportNewerServers(core::TimePoint now)
    {
        policy::membership::Member peer;
        peer.name = "peer";
        peer.peersAddress = "127.0.0.1:9";
        ports::Gossip gossip;
        copy.fillGossip(gossip, now);
        ++gossip.fleetRevision;
        ++gossip.serverDigest;
        copy.onGossip(gossip, peer, now);
    }

    // Runs until the version is in force, at most for `limit`; returns whether it is. Peers report
    // version 2 three times per second.
    bool runUntil(std::uint64_t version, core::Duration limit)
    {
        policy::membership::Member self;
        self.name = "self";
        policy::membership::Member peer;
        peer.name = "peer";
        peer.peersAddress = "127.0.0.1:9";
        const auto end = core::Clock::now() + limit;
        core::TimePoint gossipAt{};
        while (inForce < version && core::Clock::now() < end) {
            io.restart();
            io.run_for(20ms);
            const auto now = core::Clock::now();
            client.tick(now);
            copy.updateRole({self}, self, now);
            copy.tick(now);
            if (version < 2 || now < gossipAt)
                continue;
            gossipAt = now + 300ms;
            ports::Gossip gossip;
            gossip.listsVersion.revision = 2;
            copy.onGossip(gossip, peer, now);
        }
        return inForce >= version;
    }
};

} // namespace

TEST_CASE("a host that is late with a large configuration goes on with the transfer it began")
{
    // The response takes about 1.2 s, longer than peers' reports of the version are apart.
    Host it(400, 2851);
    REQUIRE(it.runUntil(1, changeTime));
    CHECK(it.runUntil(2, changeTime));
    CHECK(it.link.fetches <= 2);
}

TEST_CASE("a proof does not lapse while the store answers, however long its configuration takes")
{
    // The configuration takes about 1.2 s, twice the time-out of a read.
    Host it(400, 2851);
    it.changes = false;
    adapters::settings::Settings settings;
    settings.access.strictRevocation.value = 1;
    settings.access.revokeMs.value = 5000;
    daemon::forward::ConfigurationProver prover(
        settings, it.client, it.copy,
        {[&it] { return it.store.address(); }, [] { return 0.5; }, [](bool) {}});
    REQUIRE(it.runUntil(1, changeTime));
    const auto end = core::Clock::now() + changeTime;
    while (core::Clock::now() < end) {
        it.io.restart();
        it.io.run_for(20ms);
        it.client.tick(core::Clock::now());
        it.copy.tick(core::Clock::now());
        prover.tick(core::Clock::now(), core::BootClock::now());
    }
    CHECK(prover.proven(core::BootClock::now()));
    CHECK(prover.status(core::BootClock::now()).lapses == 0);
    // The responses say that nothing changed.
    CHECK(it.objectsSent <= 2);
}

// Guards against a read that the store rejects for good and that is repeated as it was.
TEST_CASE("a proof does not lapse while the store rejects watches and lists an odd object first")
{
    Host it(4000, 10);
    it.changes = false;
    it.hasOddObject = true;
    adapters::settings::Settings settings;
    settings.access.strictRevocation.value = 1;
    settings.access.revokeMs.value = 2000;
    daemon::forward::ConfigurationProver prover(
        settings, it.client, it.copy,
        {[&it] { return it.store.address(); }, [] { return 0.5; }, [](bool) {}});
    REQUIRE(it.runUntil(1, changeTime));
    it.rejectsConfigWatches = true;
    const auto end = core::Clock::now() + changeTime;
    while (core::Clock::now() < end) {
        it.io.restart();
        it.io.run_for(20ms);
        it.client.tick(core::Clock::now());
        prover.tick(core::Clock::now(), core::BootClock::now());
    }
    CHECK(prover.proven(core::BootClock::now()));
    CHECK(prover.status(core::BootClock::now()).lapses == 0);
}

TEST_CASE("a change is in force although the store left the watches of all hosts unanswered")
{
    // The watches that wait for changes are not answered. Peers have the version neither, but one
    // of them has read a newer server list by a call of its own.
    Host it(4000, 10);
    it.answersServerWatches = false;
    REQUIRE(it.runUntil(1, changeTime));
    policy::membership::Member self;
    self.name = "self";
    const auto end = core::Clock::now() + changeTime;
    while (it.inForce < 2 && core::Clock::now() < end) {
        it.io.restart();
        it.io.run_for(20ms);
        const auto now = core::Clock::now();
        it.client.tick(now);
        it.copy.updateRole({self}, self, now);
        it.copy.tick(now);
        it.reportNewerServers(now);
    }
    CHECK(it.inForce == 2);
}
