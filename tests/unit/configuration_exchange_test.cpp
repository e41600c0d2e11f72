#include "daemon/forward/configuration_exchange.h"

#include "adapters/compression/compression.h"
#include "adapters/peers/codec.h"
#include "core/hash.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <random>
#include <rapidcheck/catch.h>

using namespace goldcrestline;
using daemon::forward::ConfigurationExchange;
using nlohmann::json;
using namespace std::chrono_literals;
using core::TimePoint;

namespace {

const TimePoint start = TimePoint{} + 1h;

// Returns a configuration whose names are as random as those of real ones.
json configuration(std::uint64_t version, int routes)
{
    std::mt19937 random(7);
    const auto word = [&random] {
        std::string out;
        for (int i = 0; i < 8; ++i)
            out += static_cast<char>('a' + random() % 26);
        return out;
    };
    json out{{"version", version}, {"limits", {{"max_header_bytes", 16384}}}, {"routes", {}}};
    for (int i = 0; i < routes; ++i) {
        out["routes"].push_back({{"name", word()},
                                 {"host", word() + ".example"},
                                 {"path_prefix", "/" + word() + "/"},
                                 {"route_type", "idempotent"},
                                 {"timeout_ms", 15000},
                                 {"target_latency_ms", 800},
                                 {"priority", 2},
                                 {"max_attempts", 2},
                                 {"service", word()}});
    }
    return out;
}

// Hosts whose messages are encoded and decoded, and answered at once.
struct Network : ports::PeerLink
{
    std::map<std::string, ConfigurationExchange *> hosts;
    std::vector<std::string> called;
    TimePoint now = start;
    // Bytes of the last response.
    std::size_t responseBytes = 0;
    // Hosts do not answer in time.
    bool silent = false;
    // Hosts know no request at all.
    bool refusing = false;
    // Hosts are of a version that knows no deltas.
    bool earlierVersion = false;
    // Called with each response before it is delivered.
    std::function<void(ports::PeerResponse &)> tamper = [](auto &) {};

    void call(const std::string &address, ports::PeerRequest request, core::Millis,
              ports::PeerHandler done) override
    {
        called.push_back(address);
        const auto it = hosts.find(address);
        const auto *delta = std::get_if<ports::ConfigurationRequest>(&request);
        if (refusing)
            return done({ports::PeerOutcome::Unknown, {}});
        if (it == hosts.end() || silent)
            return done({ports::PeerOutcome::NoResponse, {}});
        if (delta != nullptr && earlierVersion)
            return done({ports::PeerOutcome::Unknown, {}});
        ports::PeerResponse response;
        if (delta != nullptr) {
            response = it->second->handle(*delta);
        } else {
            response = it->second->handleFetch();
        }
        tamper(response);
        const auto bytes = adapters::peers::encode(1, response);
        responseBytes = bytes.size();
        auto decoded = adapters::peers::decode(bytes);
        done({ports::PeerOutcome::Answered, std::get<ports::PeerResponse>(decoded->content)});
    }
};

struct Host
{
    ConfigurationExchange exchange;
    std::string text;

    explicit Host(Network &network)
        : exchange(network,
                   {[] { return 0.5; }, [&network] { return network.now; },
                    [this](std::string it) {
                        const auto parsed = json::parse(it, nullptr, false);
                        if (parsed.is_discarded())
                            return false;
                        apply(parsed);
                        return true;
                    }})
    { }

    void apply(const json &spec)
    {
        text = spec.dump();
        exchange.setInForce({spec.at("version").get<std::uint64_t>(), core::stableHash(text)},
                            text);
    }
};

struct Zone
{
    Network network;
    Host watcher{network};
    Host follower{network};

    Zone() { network.hosts["watcher"] = &watcher.exchange; }

    // Lets the follower hear of the watcher's version and fetch it.
    void follow(TimePoint now = start)
    {
        network.now = now;
        follower.exchange.onReport("watcher", true, watcher.exchange.inForce().version, {}, now);
        follower.exchange.tick(now);
    }
};

} // namespace

TEST_CASE("the bytes of a change do not grow with the routes that stay")
{
    Zone it;
    auto spec = configuration(1, 2851);
    it.watcher.apply(spec);
    it.follow();
    REQUIRE(it.follower.text == it.watcher.text);
    spec["version"] = 2;
    spec["routes"][1400]["service"] = "another";
    it.watcher.apply(spec);
    it.follow();
    CHECK(it.follower.text == it.watcher.text);
    CHECK(it.follower.exchange.inForce() == it.watcher.exchange.inForce());
    CHECK(it.network.responseBytes < 1000);
}

TEST_CASE("the watchers of a zone pass a large configuration on in time over slow links")
{
    // 141 hosts in three zones: two watchers have 45 followers, which poll each 0.7 s. The change
    // is to be in force within 2 s of the watchers.
    constexpr double pollSeconds = 0.7;
    constexpr double changeSeconds = 2;
    constexpr double followersPerWatcher = 22.5;
    constexpr double linkBytesPerSecond = 14e6 / 8;
    Zone it;
    it.watcher.apply(configuration(1, 1451));
    it.follow();
    it.watcher.apply(configuration(2, 2851));
    const bool restarted = GENERATE(false, true);
    Host fresh(it.network);
    if (restarted) {
        fresh.exchange.onReport("watcher", true, 2, {}, start);
        fresh.exchange.tick(start);
        REQUIRE(fresh.text == it.watcher.text);
    } else {
        it.follow();
        REQUIRE(it.follower.text == it.watcher.text);
    }
    const auto bytes = static_cast<double>(it.network.responseBytes);
    CHECK(pollSeconds + bytes * followersPerWatcher / linkBytesPerSecond < changeSeconds);
}

TEST_CASE("a host of an earlier version passes its whole configuration on")
{
    Zone it;
    it.network.earlierVersion = true;
    it.watcher.apply(configuration(1, 10));
    it.follow();
    CHECK(it.follower.text == it.watcher.text);
    it.watcher.apply(configuration(2, 10));
    it.follow(start + 1s);
    CHECK(it.follower.text == it.watcher.text);
    CHECK(it.follower.exchange.failedFetches() == 0);
    // If it does not know that request either, the transfer has failed.
    it.network.refusing = true;
    it.watcher.apply(configuration(3, 10));
    it.follow(start + 2s);
    CHECK(it.follower.exchange.failedFetches() == 1);
}

TEST_CASE("a delta that does not lead to the stated configuration is dropped")
{
    Zone it;
    it.watcher.apply(configuration(1, 10));
    it.follow();
    it.watcher.apply(configuration(2, 20));
    it.network.tamper = [](ports::PeerResponse &response) {
        if (auto *delta = std::get_if<ports::ConfigurationResponse>(&response))
            ++delta->digest;
    };
    it.follow();
    CHECK(it.follower.exchange.inForce().version == 1);
    CHECK(it.follower.exchange.failedFetches() == 1);
    // The next request states no base, so that the response is the whole configuration.
    it.network.tamper = [](ports::PeerResponse &response) {
        CHECK(std::get<ports::ConfigurationResponse>(response).baseDigest == 0);
    };
    it.follow(start + 1s);
    CHECK(it.follower.text == it.watcher.text);
}

TEST_CASE("a transfer over a slow link that failed is not repeated with the whole configuration")
{
    Zone it;
    auto spec = configuration(1, 2851);
    it.watcher.apply(spec);
    it.follow();
    spec["version"] = 2;
    spec["routes"][7]["timeout_ms"] = 1;
    it.watcher.apply(spec);
    it.network.silent = true;
    it.follow();
    REQUIRE(it.follower.exchange.failedFetches() == 1);
    it.network.silent = false;
    it.follow(start + 1s);
    CHECK(it.follower.text == it.watcher.text);
    CHECK(it.network.responseBytes < 1000);
}

TEST_CASE("a delta of a configuration that was replaced meanwhile is no failure")
{
    Zone it;
    it.watcher.apply(configuration(1, 10));
    it.follow();
    it.watcher.apply(configuration(3, 30));
    it.network.tamper = [&it](ports::PeerResponse &) { it.follower.apply(configuration(2, 20)); };
    it.follow();
    CHECK(it.follower.exchange.failedFetches() == 0);
    it.network.tamper = [](ports::PeerResponse &) {};
    it.follow(start + 10ms);
    CHECK(it.follower.text == it.watcher.text);
}

TEST_CASE("a host without a configuration is not taken for one that has it")
{
    Zone it;
    Host restarted(it.network);
    it.network.hosts["restarted"] = &restarted.exchange;
    it.watcher.apply(configuration(1, 10));
    it.follower.exchange.onReport("restarted", true, 1, 1s, start);
    SECTION("it has told since that it has none")
    {
        it.follower.exchange.onReport("restarted", true, 0, 1s, start + 500ms);
        it.follower.exchange.tick(start + 1s);
        CHECK(it.network.called.empty());
    }
    SECTION("its response shows it")
    {
        it.follower.exchange.tick(start + 1s);
        CHECK(it.follower.exchange.failedFetches() == 1);
    }
    it.follow(start + 2s);
    CHECK(it.follower.text == it.watcher.text);
}

TEST_CASE("one transfer is in flight, however often peers report a newer version")
{
    policy::mirror::FetchSchedule schedule({}, [] { return 0.5; });
    for (int i = 0; i < 100; ++i)
        schedule.onReport("h" + std::to_string(i % 5), i % 5 < 2, 7, 400ms, start + i * 10ms);
    CHECK_FALSE(schedule.next(start + 399ms));
    const auto first = schedule.next(start + 400ms);
    REQUIRE(first);
    CHECK((*first == "h0" || *first == "h1"));
    for (int i = 0; i < 100; ++i) {
        schedule.onReport("h0", true, 8, 400ms, start + 1s + i * 100ms);
        CHECK_FALSE(schedule.next(start + 1s + i * 100ms));
    }
    // After failures the delay grows, and the host that failed is not used until it reports again.
    auto now = start + 20s;
    core::Duration last{};
    for (int i = 0; i < 4; ++i) {
        schedule.onEnded(false, now);
        const auto failedAt = now;
        std::optional<std::string> next;
        while (!next) {
            now += 10ms;
            for (int host = 0; host < 5; ++host)
                schedule.onReport("h" + std::to_string(host), false, 8, 400ms, now);
            next = schedule.next(now);
        }
        CHECK(now - failedAt > last);
        last = now - failedAt;
    }
    schedule.onOwnVersion(8);
    schedule.onEnded(true, now);
    CHECK_FALSE(schedule.next(now + 10s));
}

TEST_CASE("compressed bytes are restored, and malformed ones are not")
{
    using adapters::compression::compress;
    using adapters::compression::decompress;
    constexpr std::size_t maxBytes = 1 << 20;
    rc::prop("any bytes", [](const std::string &bytes) {
        RC_ASSERT(decompress(compress(bytes), maxBytes) == bytes);
        (void)decompress(bytes, maxBytes);
    });
    const std::string large(maxBytes, 'x');
    CHECK(decompress(compress(large), maxBytes) == large);
    CHECK_FALSE(decompress(compress(large + "x"), maxBytes));
    const auto cut = compress(large);
    CHECK_FALSE(decompress(cut.substr(0, cut.size() - 1), maxBytes));
}
