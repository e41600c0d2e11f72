#include "policy/forward/backend_table.h"
#include "policy/limits/demand_share.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <map>
#include <random>

using namespace goldcrestline;
using namespace goldcrestline::policy::forward;
using namespace std::chrono_literals;
using core::TimePoint;
using policy::limits::DemandShare;

namespace {

const TimePoint start = TimePoint{} + 1h;
constexpr double overshoot = 1.5;
constexpr double slack = 5;
constexpr auto step = 5ms;

struct Load
{
    std::size_t hosts = 6;
    std::size_t servers = 3;
    // Of the servers, the first ones that are cold.
    std::size_t cold = 3;
    double warmupPerSecond = 10;
    // Requests per second of all hosts; each goes to one of the servers.
    double demand = 80;
    // Mean time between two restarts of hosts, and of servers; 0 for none.
    std::chrono::duration<double> hostRestarts{0};
    std::chrono::duration<double> serverRestarts{0};
    // Time without requests, after which all begin at once.
    core::Duration idle{0};
    unsigned seed = 1;
};

// Hosts with demands that differ by up to 10 times, which know each other's demand by exchanges.
class Replay
{
public:
    explicit Replay(const Load &load) : m_load(load), m_random(load.seed)
    {
        double total = 0;
        for (std::size_t i = 0; i < load.hosts; ++i) {
            m_hosts.emplace_back();
            total += m_hosts.back().demand = 0.2 + 1.8 * uniform();
        }
        for (auto &it : m_hosts)
            it.demand *= load.demand / total;
        for (std::size_t i = 0; i < load.servers; ++i)
            m_servers.push_back({i, 1});
        for (auto &it : m_hosts)
            restart(it, start);
    }

    void run(core::Duration time)
    {
        std::size_t round = 0;
        auto nextExchange = start;
        for (auto now = start; now < start + time; now += step) {
            if (now >= nextExchange) {
                exchange(round++, now);
                nextExchange += 300ms;
            }
            if (happens(m_load.hostRestarts))
                restart(m_hosts[m_random() % m_hosts.size()], now);
            if (happens(m_load.serverRestarts))
                restartServer(m_servers[m_random() % m_load.cold], now);
            if (now < start + m_load.idle)
                continue;
            for (auto &it : m_hosts) {
                std::poisson_distribution<> arrivals(it.demand * seconds(step));
                for (int n = arrivals(m_random); n > 0; --n)
                    request(it, now);
            }
        }
    }

    // Returns the most requests within any second at any cold server.
    std::size_t mostInSecond() const
    {
        std::size_t most = 0;
        for (const auto &server : m_arrivals) {
            std::deque<TimePoint> recent;
            for (const auto at : server.second) {
                recent.push_back(at);
                while (at - recent.front() >= 1s)
                    recent.pop_front();
                most = std::max(most, recent.size());
            }
        }
        return most;
    }

    // Returns the fewest requests per second at a cold server since `from`, until `end`.
    double leastPerSecond(TimePoint from, TimePoint end) const
    {
        double least = 1e9;
        for (std::size_t i = 0; i < m_load.cold; ++i) {
            const auto found = m_arrivals.find(i);
            if (found == m_arrivals.end())
                return 0;
            const auto n = std::count_if(found->second.begin(), found->second.end(),
                                         [&](TimePoint it) { return it >= from; });
            least = std::min(least, static_cast<double>(n) / seconds(end - from));
        }
        return least;
    }

    std::size_t allowed() const
    {
        return static_cast<std::size_t>(m_load.warmupPerSecond * overshoot + slack);
    }

private:
    struct Server
    {
        std::size_t number = 0;
        core::WallMillis startedAt = 0;
    };
    struct Host
    {
        double demand = 0;
        std::unique_ptr<BackendTable> backends;
        DemandShare share;
        WarmupShareEstimator warmup;
        std::uint64_t requests = 0;
    };

    static double seconds(core::Duration it) { return std::chrono::duration<double>(it).count(); }
    double uniform() { return std::uniform_real_distribution<>(0, 1)(m_random); }
    bool happens(std::chrono::duration<double> interval)
    {
        return interval.count() > 0 && uniform() < seconds(step) / interval.count();
    }

    void list(Host &host, const Server &server, TimePoint now)
    {
        BackendRecord record;
        record.id = std::to_string(server.number);
        record.service = "s";
        record.slots = 100;
        record.startedAt = server.startedAt;
        host.backends->put(record);
        host.backends->setWarmup(record.id, core::Millis(server.number < m_load.cold ? 3600000 : 0),
                                 now);
    }

    // A restarted host has no demand and knows none of its peers' demands.
    void restart(Host &host, TimePoint now)
    {
        host.backends = std::make_unique<BackendTable>(
            "a", PlacementParameters(), [](const std::string &) { return 100; },
            [this] { return uniform(); });
        host.share = {};
        host.warmup = {};
        host.requests = 0;
        host.backends->setWarmupRates({{"s", m_load.warmupPerSecond}}, now);
        updateShare(host, now);
        for (const auto &it : m_servers)
            list(host, it, now);
    }

    void restartServer(Server &server, TimePoint now)
    {
        ++server.startedAt;
        for (auto &it : m_hosts)
            list(it, server, now);
    }

    void updateShare(Host &host, TimePoint now)
    {
        std::vector<std::string> names;
        for (std::size_t i = 0; i < m_hosts.size(); ++i) {
            if (&m_hosts[i] != &host)
                names.push_back(std::to_string(i));
        }
        host.share.update(names, now);
        names.emplace_back("self");
        host.warmup.update(host.share.share(), host.share.perSecond(), names,
                           1 / static_cast<double>(names.size()), now);
        host.backends->setWarmupShare(
            {host.warmup.share(), host.warmup.requestsPerSecond(), overshoot, slack}, now);
    }

    void exchange(std::size_t round, TimePoint now)
    {
        for (auto &it : m_hosts)
            it.share.onRequests(it.requests, now);
        for (std::size_t i = 0; i < m_hosts.size(); ++i) {
            for (std::size_t k = 1; k <= 3; ++k) {
                const auto other =
                    (i + 1 + (3 * round + k) % (m_hosts.size() - 1)) % m_hosts.size();
                m_hosts[i].share.onReport(std::to_string(other), m_hosts[other].share.perSecond(),
                                          now);
            }
            updateShare(m_hosts[i], now);
        }
    }

    void request(Host &host, TimePoint now)
    {
        ++host.requests;
        const auto backend = host.backends->pick("s", {}, now);
        if (!backend)
            return;
        host.backends->onSent(*backend, now);
        host.backends->onEnded(*backend, AttemptOutcome::Answered, now, now + 5ms);
        const auto number = std::stoul(backend->record.id);
        if (number < m_load.cold)
            m_arrivals[number].push_back(now);
    }

    Load m_load;
    std::mt19937 m_random;
    std::deque<Host> m_hosts;
    std::vector<Server> m_servers;
    std::map<std::size_t, std::vector<TimePoint>> m_arrivals;
};

} // namespace

// Guards against hosts that together send a cold server more than it stands, which crashes it:
// while all servers of a shard are cold, hosts restart, and servers become cold again.
TEST_CASE("hosts together keep the rate of cold servers")
{
    for (const std::size_t hosts : {6, 17, 65}) {
        for (const double rate : {2.0, 5.0, 10.0, 30.0}) {
            for (unsigned seed = 1; seed <= 4; ++seed) {
                Load load;
                load.hosts = hosts;
                load.warmupPerSecond = rate;
                load.demand = std::max(30.0, 8 * rate);
                load.seed = seed;
                if (seed > 1)
                    load.hostRestarts = 1s;
                if (seed > 2)
                    load.serverRestarts = 2s;
                if (seed > 3)
                    load.cold = 1;
                Replay replay(load);
                replay.run(30s);
                CAPTURE(hosts, rate, seed, replay.leastPerSecond(start, start + 30s));
                CHECK(replay.mostInSecond() <= replay.allowed());
            }
        }
    }
}

// Guards against tokens that many hosts hold while there is no demand.
TEST_CASE("the rate of cold servers is kept when demand begins")
{
    for (const double rate : {5.0, 10.0, 30.0}) {
        for (unsigned seed = 1; seed <= 12; ++seed) {
            Load load;
            load.hosts = 65;
            load.warmupPerSecond = rate;
            load.demand = 12 * rate;
            load.idle = 10s;
            load.seed = seed;
            Replay replay(load);
            replay.run(20s);
            CAPTURE(rate, seed);
            CHECK(replay.mostInSecond() <= replay.allowed());
        }
    }
}

// Guards against a bound that leaves cold servers idle while requests wait.
TEST_CASE("cold servers get most of the requests that they stand")
{
    for (const std::size_t hosts : {6, 65}) {
        for (const double rate : {5.0, 10.0, 30.0}) {
            Load load;
            load.hosts = hosts;
            load.warmupPerSecond = rate;
            load.demand = 8 * rate;
            Replay replay(load);
            replay.run(60s);
            CAPTURE(hosts, rate);
            CHECK(replay.leastPerSecond(start + 10s, start + 60s) >= 0.8 * rate);
        }
    }
}

TEST_CASE("a rate of 0 does not limit cold servers, nor does one of a server that is not cold")
{
    Load load;
    load.warmupPerSecond = 0;
    Replay unlimited(load);
    unlimited.run(10s);
    CHECK(unlimited.leastPerSecond(start, start + 10s) > 10);
    BackendTable backends{"a", {}, [](const std::string &) { return 100; }, [] { return 0.5; }};
    BackendRecord record;
    record.id = "i";
    record.service = "s";
    record.slots = 100;
    backends.put(record);
    backends.setWarmup("i", 2000ms, start);
    backends.setWarmupRates({{"s", 1}}, start);
    CHECK_FALSE(backends.pick("s", {}, start));
    CHECK(backends.hasUsable("s", {}, start));
    CHECK(backends.estimateLatency("s", 0, start)->responseMs > 400);
    SECTION("its entry says so")
    {
        backends.setWarmup("i", 0ms, start + 1ms);
        CHECK(backends.pick("s", {}, start + 1ms));
    }
    SECTION("its time is over")
    {
        CHECK(backends.pick("s", {}, start + 2s));
    }
    SECTION("its response is newer than its entry")
    {
        const auto later = start + 700ms;
        const auto backend = backends.pick("s", {}, later);
        REQUIRE(backend);
        backends.onSent(*backend, later);
        CHECK_FALSE(backends.pick("s", {}, later));
        backends.onWarmupReport(*backend, 0ms, later);
        backends.setWarmup("i", 1000ms, later);
        CHECK(backends.pick("s", {}, later));
    }
    SECTION("a misdirected request does not count")
    {
        const auto later = start + 700ms;
        const auto backend = backends.pick("s", {}, later);
        REQUIRE(backend);
        backends.onSent(*backend, later);
        backends.onEnded(*backend, AttemptOutcome::Misdirected, later, later);
        CHECK(backend->warmup.allows(later));
    }
}
