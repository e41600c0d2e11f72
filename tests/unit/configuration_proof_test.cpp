#include "policy/access/configuration_proof.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <rapidcheck/catch.h>

using namespace goldcrestline;
using namespace goldcrestline::policy::access;
using namespace std::chrono_literals;
using Boot = core::BootTimePoint;
using Age = ConfigurationProof::Age;

namespace {

constexpr core::Millis revokeTime{5000};
constexpr core::Millis stepTime{20};
const Boot start = Boot{} + 1h;

struct StoredConfiguration
{
    ConfigurationId id;
    bool hasKey = true;
};

struct SimulatedHost
{
    ConfigurationProof proof{revokeTime};
    std::unique_ptr<ProofReadSchedule> schedule;
    StoredConfiguration inForce;
    bool selected = false;
    bool reachesStore = true;
    bool reachesPeers = true;
    Boot suspendedUntil{};
    Boot probeAt{};
    std::uint64_t readsStarted = 0;
};

// Hosts that read a store and probe each other, in invented time. Each message may be delayed and
// lost; what arrives at a suspended host is handled when it resumes.
struct Simulation
{
    Boot now = start;
    std::mt19937 random;
    std::vector<SimulatedHost> hosts;
    std::multimap<Boot, std::function<void()>> events;
    StoredConfiguration stored{{1, 1}, true};
    std::vector<StoredConfiguration> written{stored};
    std::uint64_t era = 1;
    std::uint64_t digests = 1;
    bool storeUp = true;
    // Peers pass on configurations. After a restore, one that the store lost is not passed on.
    bool peerCopies = true;
    double loss = 0;
    core::Millis maxDelay{3};
    core::Millis storeDelay{40};
    // Time since which the store's configuration lacks the key.
    std::optional<Boot> revokedAt;

    Simulation(std::size_t count, std::size_t selected, unsigned seed) : random(seed), hosts(count)
    {
        for (std::size_t i = 0; i < count; ++i) {
            hosts[i].schedule = std::make_unique<ProofReadSchedule>(revokeTime, [this] {
                return std::uniform_real_distribution<double>(0, 1)(random);
            });
            hosts[i].selected = i < selected;
            hosts[i].probeAt = now + core::Millis(below(300));
            apply(hosts[i], stored);
        }
    }

    int below(int n) { return std::uniform_int_distribution<int>(0, n - 1)(random); }
    bool lost() { return std::uniform_real_distribution<double>(0, 1)(random) < loss; }
    Boot later(core::Millis max) { return now + core::Millis(below(int(max.count()) + 1)); }
    void at(Boot time, std::function<void()> work) { events.emplace(time, std::move(work)); }
    // Handles a message when the host is awake.
    void arrive(SimulatedHost &host, std::function<void()> work)
    {
        at(std::max(later(maxDelay), host.suspendedUntil), [this, &host, work = std::move(work)] {
            if (now < host.suspendedUntil)
                return at(host.suspendedUntil, work);
            work();
        });
    }

    void apply(SimulatedHost &host, const StoredConfiguration &configuration)
    {
        if (configuration.id.version <= host.inForce.id.version)
            return;
        host.inForce = configuration;
        host.proof.setInForce(configuration.id);
    }

    void write(bool hasKey)
    {
        if (!hasKey && stored.hasKey)
            revokedAt = now;
        if (hasKey)
            revokedAt.reset();
        stored = {{stored.id.version + 1, ++digests}, hasKey};
        written.push_back(stored);
        for (auto &it : hosts) {
            // Some hosts watch, and a watch may be late or lost.
            if (it.selected && it.reachesStore && storeUp && !lost())
                at(later(1000ms), [this, &it, copy = stored, of = era] {
                    if (of == era && now >= it.suspendedUntil)
                        apply(it, copy);
                });
        }
    }

    void restore(std::size_t copy)
    {
        written.resize(std::min(copy + 1, written.size()));
        const bool hadKey = stored.hasKey;
        stored = written.back();
        ++era;
        peerCopies = false;
        if (stored.hasKey)
            revokedAt.reset();
        else if (hadKey)
            revokedAt = now;
    }

    void read(SimulatedHost &host)
    {
        ++host.readsStarted;
        host.schedule->onStarted(now);
        const auto startedAt = now;
        const auto ended = std::make_shared<bool>(false);
        arrive(host, [] {});
        at(now + host.schedule->timeout(), [this, &host, ended] {
            if (!std::exchange(*ended, true))
                host.schedule->onFailed(std::nullopt, now);
        });
        if (!host.reachesStore || !storeUp || lost())
            return;
        at(later(storeDelay / 2), [this, &host, ended, startedAt] {
            const auto answer = [this, &host, ended, startedAt, copy = stored, of = era] {
                if (std::exchange(*ended, true))
                    return;
                if (of != era)
                    return host.schedule->onFailed(std::nullopt, now);
                host.schedule->onAnswered();
                apply(host, copy);
                host.proof.onProof(copy.id, startedAt);
            };
            at(std::max(later(storeDelay / 2), host.suspendedUntil), answer);
        });
    }

    void probe(SimulatedHost &host)
    {
        auto &peer = hosts[std::size_t(below(int(hosts.size())))];
        if (&peer == &host || !host.reachesPeers || !peer.reachesPeers || lost())
            return;
        arrive(peer, [this, &host, &peer, sentAt = now] {
            const auto age = peer.proof.age(now);
            const auto id = peer.proof.inForce();
            const auto reported =
                age ? std::optional(std::chrono::ceil<core::Millis>(*age)) : std::nullopt;
            if (lost())
                return;
            arrive(host, [this, &host, reported, id, sentAt, copy = peer.inForce] {
                if (reported)
                    host.proof.onProof(id, sentAt - *reported);
                if (peerCopies)
                    apply(host, copy);
            });
        });
    }

    // Runs for a time and calls `check` for each host that is awake, also right after it resumed.
    template <typename Check>
    void run(core::Millis length, Check check)
    {
        for (const auto end = now + length; now < end; now += stepTime) {
            for (auto &it : hosts) {
                if (now >= it.suspendedUntil)
                    check(it);
            }
            while (!events.empty() && events.begin()->first <= now) {
                const auto work = std::move(events.extract(events.begin()).mapped());
                work();
            }
            for (auto &it : hosts) {
                if (now < it.suspendedUntil)
                    continue;
                check(it);
                if (it.schedule->isDue(it.selected, it.proof.age(now), now))
                    read(it);
                if (now >= it.probeAt) {
                    it.probeAt = now + 300ms;
                    probe(it);
                }
            }
        }
    }

    bool admits(const SimulatedHost &host) const
    {
        return host.inForce.hasKey && host.proof.isFresh(now);
    }
};

} // namespace

// Guards against a host that accepts a revoked key for longer than the store's users were promised.
TEST_CASE("no host admits a key later than the revocation time after its removal", "[access]")
{
    rc::prop("loss, delay, suspended hosts, cut links, outages and restores", [] {
        Simulation it(6, 2, *rc::gen::inRange(1U, 1000000U));
        it.loss = 0.1 * *rc::gen::inRange(0, 6);
        it.maxDelay = core::Millis(*rc::gen::element(3, 200, 2000));
        it.storeDelay = core::Millis(*rc::gen::element(4, 240, 900));
        int admitted = 0;
        const auto check = [&](const SimulatedHost &host) {
            const bool admits = it.admits(host);
            admitted += admits ? 1 : 0;
            RC_ASSERT(!(admits && it.revokedAt && it.now > *it.revokedAt + revokeTime));
        };
        it.run(1500ms, check);
        const auto faults = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 48));
        for (const int fault : faults) {
            auto &host = it.hosts[std::size_t(fault % 6)];
            switch (fault / 6) {
            case 0:
                it.write(false);
                break;
            case 1:
                it.write(true);
                break;
            case 2:
                host.suspendedUntil = it.now + core::Millis(it.below(12000));
                break;
            case 3:
                host.reachesStore = !host.reachesStore;
                break;
            case 4:
                host.reachesPeers = !host.reachesPeers;
                break;
            case 5:
                it.storeUp = !it.storeUp;
                break;
            case 6:
                if (it.written.size() > 1)
                    it.restore(std::size_t(it.below(int(it.written.size()))));
                break;
            default:
                it.write(it.below(2) == 0);
            }
            it.run(core::Millis(it.below(3000)), check);
        }
        it.write(false);
        it.run(9s, check);
        RC_ASSERT(admitted > 0 || it.loss > 0.4 || it.storeDelay > 500ms);
    });
}

// Guards against refusals while the store is well, and against reads by every host, which are
// billed.
TEST_CASE("with a reachable store no proof lapses and few hosts read", "[access]")
{
    const auto delay = GENERATE(core::Millis(4), core::Millis(60), core::Millis(240));
    const bool peers = GENERATE(true, false);
    Simulation it(65, 6, 7);
    it.storeDelay = 2 * delay;
    for (auto &host : it.hosts)
        host.reachesPeers = peers;
    it.run(2s, [](const SimulatedHost &) {});
    std::uint64_t before = 0;
    for (const auto &host : it.hosts)
        before += host.readsStarted;
    Age oldest{0};
    // The configuration changes every 5 s.
    for (int i = 0; i < 24; ++i) {
        it.write(true);
        it.run(5s, [&](const SimulatedHost &host) {
            REQUIRE(host.proof.isFresh(it.now));
            oldest = std::max(oldest, *host.proof.age(it.now));
        });
    }
    std::uint64_t reads = 0;
    for (const auto &host : it.hosts)
        reads += host.readsStarted;
    CAPTURE(delay.count(), peers, std::chrono::duration<double>(oldest).count(), reads - before);
    // Six hosts each 1.4 s, and a few others.
    if (peers)
        CHECK(reads - before < 6 * 120 / 1.4 + 120);
}

// Guards against refusals in an outage for which hosts must go on: 0.6 of the revocation time.
TEST_CASE("no proof lapses in an outage of 0.6 of the revocation time", "[access]")
{
    int lapsed = 0;
    for (unsigned seed = 1; seed <= 20; ++seed) {
        Simulation it(65, 6, seed);
        it.run(core::Millis(5000 + it.below(1500)), [](const SimulatedHost &) {});
        it.storeUp = false;
        it.run(3s, [&](const SimulatedHost &host) { lapsed += !host.proof.isFresh(it.now); });
    }
    CHECK(lapsed == 0);
}

// Guards against reads of a whole fleet at once while the store is down and when it returns.
TEST_CASE("hosts spread their reads over the time while the store is down", "[access]")
{
    Simulation it(590, 6, 3);
    it.run(5s, [](const SimulatedHost &) {});
    it.storeUp = false;
    it.run(4s, [](const SimulatedHost &) {});
    std::map<std::int64_t, std::uint64_t> perStep;
    std::uint64_t before = 0;
    for (int i = 0; i < 100; ++i) {
        std::uint64_t sum = 0;
        for (const auto &host : it.hosts)
            sum += host.readsStarted;
        if (i > 0)
            perStep[i] = sum - before;
        before = sum;
        it.run(100ms, [](const SimulatedHost &) {});
    }
    for (const auto &[step, reads] : perStep) {
        CAPTURE(step);
        CHECK(reads < it.hosts.size() / 4);
    }
    it.storeUp = true;
    it.run(3500ms, [](const SimulatedHost &) {});
    for (const auto &host : it.hosts)
        CHECK(host.proof.isFresh(it.now));
}

// Guards against the acceptance of a configuration that the store lost by a restore: its version is
// given out again.
TEST_CASE("a proof of another content or of a lower version proves nothing", "[access]")
{
    ConfigurationProof proof(revokeTime);
    proof.setInForce({5, 50});
    CHECK(proof.onProof({5, 50}, start));
    CHECK_FALSE(proof.onProof({5, 51}, start + 4s));
    CHECK_FALSE(proof.onProof({4, 40}, start + 4s));
    CHECK(proof.isFresh(start + 4799ms));
    CHECK_FALSE(proof.isFresh(start + 4800ms));
}

TEST_CASE("a proof of a newer configuration counts once that is in force", "[access]")
{
    ConfigurationProof proof(revokeTime);
    proof.setInForce({5, 50});
    proof.onProof({5, 50}, start);
    CHECK_FALSE(proof.onProof({6, 60}, start + 3s));
    CHECK(*proof.age(start + 3s) == 3s);
    proof.setInForce({6, 60});
    CHECK(*proof.age(start + 3s) == 0s);
    // One of another content does not.
    proof.onProof({7, 70}, start + 4s);
    proof.setInForce({7, 71});
    CHECK(*proof.age(start + 4s) == 1s);
}

TEST_CASE("reads that fail are repeated after growing delays, one at a time", "[access]")
{
    ProofReadSchedule schedule(revokeTime, [] { return 0.999; });
    REQUIRE(schedule.isDue(true, std::nullopt, start));
    schedule.onStarted(start);
    CHECK_FALSE(schedule.isDue(true, std::nullopt, start + 10s));
    schedule.onFailed(std::nullopt, start);
    CHECK_FALSE(schedule.isDue(true, std::nullopt, start + 149ms));
    CHECK(schedule.isDue(true, std::nullopt, start + 150ms));
    for (int i = 0; i < 10; ++i)
        schedule.onFailed(core::Millis(60000), start);
    CHECK_FALSE(schedule.isDue(true, std::nullopt, start + 1400ms));
    CHECK(schedule.isDue(true, std::nullopt, start + 1500ms));
}
