#include "policy/forward/backend_table.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <limits>
#include <map>
#include <random>

using namespace goldcrestline;
using namespace goldcrestline::policy::forward;
using namespace std::chrono_literals;
using core::TimePoint;

namespace {

const TimePoint start = TimePoint{} + 1h;
constexpr int hostCount = 6;
constexpr int shardCount = 36;
constexpr int serversPerShard = 3;
constexpr int slots = 4;
constexpr double slowFactor = 2.5;
constexpr auto slowTime = 600ms;
constexpr auto transit = 1ms;

// Fan-outs over all shards by several hosts. Of each shard's servers, one at a time is slow.
class Replay
{
public:
    explicit Replay(bool reportsSpeed) : m_reportsSpeed(reportsSpeed)
    {
        for (int h = 0; h < hostCount; ++h) {
            m_hosts.push_back(std::make_unique<BackendTable>(
                "a", PlacementParameters(), [](const std::string &) { return 100; },
                [this] { return uniform(); }));
            for (int i = 0; i < shardCount * serversPerShard; ++i) {
                BackendRecord record;
                record.id = std::to_string(i);
                record.service = std::to_string(i / serversPerShard);
                record.zone = "a";
                record.slots = slots;
                m_hosts.back()->put(record);
            }
        }
    }

    // Returns the latency below which 99% of the fan-outs stay.
    core::Duration p99(double perSecond, core::Duration time)
    {
        auto next = start;
        while (next < start + time) {
            next += std::chrono::duration_cast<core::Duration>(std::chrono::duration<double>(
                std::exponential_distribution<>(perSecond)(m_random)));
            at(next, [this](TimePoint now) { fanOut(now); });
        }
        while (!m_events.empty()) {
            const auto event = m_events.begin();
            const auto [now, run] = *event;
            m_events.erase(event);
            run(now);
        }
        std::sort(m_latencies.begin(), m_latencies.end());
        return m_latencies.at(m_latencies.size() * 99 / 100);
    }

private:
    using Event = std::function<void(TimePoint)>;
    struct Server
    {
        int running = 0;
        std::deque<Event> waiting;
    };

    double uniform() { return std::uniform_real_distribution<>(0, 1)(m_random); }
    void at(TimePoint time, Event event) { m_events.emplace(time, std::move(event)); }

    static double slowdownOf(int server, TimePoint now)
    {
        const int shard = server / serversPerShard;
        const auto turn = (now - start + shard * 50ms) / slowTime;
        return turn % serversPerShard == server % serversPerShard ? slowFactor : 1;
    }

    void fanOut(TimePoint now)
    {
        auto &host = *m_hosts[m_random() % hostCount];
        const auto left = std::make_shared<int>(shardCount);
        for (int shard = 0; shard < shardCount; ++shard) {
            const auto backend = host.pick(std::to_string(shard), {}, now);
            REQUIRE(backend);
            host.onSent(*backend, now);
            at(now + transit, [this, &host, backend, left, sentAt = now](TimePoint arrival) {
                const int id = std::stoi(backend->record.id);
                m_servers[id].waiting.emplace_back([=, this, &host](TimePoint begin) {
                    const std::chrono::duration<double, std::milli> work((5 + 4 * uniform())
                                                                         * slowdownOf(id, begin));
                    at(begin + std::chrono::duration_cast<core::Duration>(work),
                       [=, this, &host](TimePoint end) {
                           respond(host, backend, left, sentAt, end);
                       });
                });
                startWaiting(id, arrival);
            });
        }
    }

    void startWaiting(int id, TimePoint now)
    {
        auto &server = m_servers[id];
        while (server.running < slots && !server.waiting.empty()) {
            ++server.running;
            const auto run = std::move(server.waiting.front());
            server.waiting.pop_front();
            run(now);
        }
    }

    void respond(BackendTable &host, const BackendPtr &backend, const std::shared_ptr<int> &left,
                 TimePoint sentAt, TimePoint now)
    {
        const int id = std::stoi(backend->record.id);
        auto &server = m_servers[id];
        const int running = server.running--;
        const auto waiting = static_cast<int>(server.waiting.size());
        std::optional<int> speed;
        if (m_reportsSpeed)
            speed = static_cast<int>(100 * slowdownOf(id, now));
        startWaiting(id, now);
        at(now + transit, [=, this, &host](TimePoint arrival) {
            host.onLoadReport(*backend, running, waiting, slots, arrival, speed);
            host.onEnded(*backend, AttemptOutcome::Answered, sentAt, arrival);
            if (--*left == 0 && arrival > start + 3s)
                m_latencies.push_back(arrival - sentAt);
        });
    }

    bool m_reportsSpeed;
    std::mt19937 m_random{7};
    std::vector<std::unique_ptr<BackendTable>> m_hosts;
    std::map<int, Server> m_servers;
    std::multimap<TimePoint, Event> m_events;
    std::vector<core::Duration> m_latencies;
};

struct OneServer
{
    BackendTable backends{"a", {}, [](const std::string &) { return 100; }, [] { return 0.5; }};
    BackendPtr backend;

    OneServer()
    {
        BackendRecord record;
        record.id = "i";
        record.service = "s";
        backends.put(record);
        backend = backends.pick("s", {}, start);
    }

    // Returns the estimated response time, in ms, after a response within `time`.
    double estimateAfter(core::Duration time, std::optional<int> speed, core::Duration age = 0ms)
    {
        backends.onSent(*backend, start);
        backends.onLoadReport(*backend, 1, 0, 1, start + time, speed);
        backends.onEnded(*backend, AttemptOutcome::Answered, start, start + time);
        return backends.estimateLatency("s", 0, start + time + age)->responseMs;
    }
};

} // namespace

// Guards against slow servers that are avoided only after several of their responses came late.
TEST_CASE("reported speeds lower the latency of fan-outs while servers slow down by turns")
{
    for (const double perSecond : {150.0, 400.0}) {
        const auto without = Replay(false).p99(perSecond, 15s);
        const auto with = Replay(true).p99(perSecond, 15s);
        CAPTURE(perSecond, core::toMillis(without), core::toMillis(with));
        CHECK(with < without);
    }
}

// Guards against counting a slowdown twice, in the latency of the response and in its report.
TEST_CASE("an estimate holds the reported slowdown once and loses it within a second")
{
    CHECK(OneServer().estimateAfter(25ms, 250) == Approx(25));
    CHECK(OneServer().estimateAfter(25ms, 250, 1s) == Approx(10).margin(1));
}

// Guards against servers that report a wrong speed and get all requests or none.
TEST_CASE("absurd speeds are ignored or clamped")
{
    const double usual = OneServer().estimateAfter(20ms, std::nullopt, 1s);
    for (const int speed : {0, -1, std::numeric_limits<int>::min()})
        CHECK(OneServer().estimateAfter(20ms, speed, 1s) == Approx(usual));
    CHECK(OneServer().estimateAfter(20ms, 1000000000, 100ms)
          == Approx(OneServer().estimateAfter(20ms, 2000, 100ms)));
    CHECK(OneServer().estimateAfter(20ms, 1, 100ms)
          == Approx(OneServer().estimateAfter(20ms, 10, 100ms)));
}
