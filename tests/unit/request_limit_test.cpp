#include "policy/forward/backend_table.h"
#include "policy/limits/demand_share.h"

#include <catch2/catch.hpp>
#include <deque>
#include <rapidcheck/catch.h>

using namespace goldcrestline;
using namespace goldcrestline::policy::forward;
using goldcrestline::policy::limits::DemandShare;
using namespace std::chrono_literals;
using core::TimePoint;

namespace {

const TimePoint start = TimePoint{} + 1h;
constexpr auto window = 4s;
constexpr auto step = 5ms;

// One host that sends every request to the same server if its limit allows it.
struct Host
{
    std::string name;
    double demandPerSecond = 0;
    DemandShare share;
    BackendTable backends{"a", {}, [](const std::string &) { return 100; }, [] { return 0.5; }};
    std::uint64_t requests = 0;
    double due = 0;
};

std::vector<std::unique_ptr<Host>> makeHosts(const std::vector<double> &demands, double limit)
{
    std::vector<std::unique_ptr<Host>> hosts;
    for (const double demand : demands) {
        auto host = std::make_unique<Host>();
        host->name = "h" + std::to_string(hosts.size());
        host->demandPerSecond = demand;
        BackendRecord record;
        record.id = "limited";
        record.service = "s";
        record.slots = 100;
        host->backends.put(record);
        host->backends.onLimitReport(*host->backends.pick("s", {}, start), limit, start);
        hosts.push_back(std::move(host));
    }
    return hosts;
}

// One membership period: each host exchanges rates with one other.
void exchange(std::vector<std::unique_ptr<Host>> &hosts, std::size_t round, TimePoint now)
{
    for (std::size_t i = 0; i < hosts.size(); ++i) {
        auto &one = *hosts[i];
        auto &other =
            *hosts[(i + 1 + round % std::max<std::size_t>(hosts.size() - 1, 1)) % hosts.size()];
        one.share.onRequests(one.requests, now);
        if (&one == &other)
            continue;
        one.share.onReport(other.name, other.share.perSecond(), now);
        other.share.onReport(one.name, one.share.perSecond(), now);
    }
    for (auto &it : hosts) {
        std::vector<std::string> others;
        for (const auto &other : hosts) {
            if (other != it)
                others.push_back(other->name);
        }
        it->share.update(others, now);
        it->backends.setLimitShare(it->share.share());
    }
}

// Plays `time` and returns the arrivals at the server.
std::vector<TimePoint> play(std::vector<std::unique_ptr<Host>> &hosts, core::Duration time)
{
    std::vector<TimePoint> arrivals;
    auto nextExchange = start;
    std::size_t round = 0;
    for (auto now = start; now < start + time; now += step) {
        if (now >= nextExchange) {
            exchange(hosts, round++, now);
            nextExchange += 300ms;
        }
        for (auto &it : hosts) {
            it->due += it->demandPerSecond * std::chrono::duration<double>(step).count();
            for (; it->due >= 1; it->due -= 1) {
                ++it->requests;
                const auto backend = it->backends.pick("s", {}, now);
                if (!backend)
                    continue;
                it->backends.onSent(*backend, now);
                it->backends.onEnded(*backend, AttemptOutcome::Answered, now, now);
                arrivals.push_back(now);
            }
        }
    }
    return arrivals;
}

std::size_t mostInWindow(const std::vector<TimePoint> &arrivals, TimePoint from)
{
    std::size_t most = 0;
    std::deque<TimePoint> recent;
    for (const auto at : arrivals) {
        if (at < from)
            continue;
        recent.push_back(at);
        while (at - recent.front() > window)
            recent.pop_front();
        most = std::max(most, recent.size());
    }
    return most;
}

std::size_t allowedInWindow(double limit)
{
    return static_cast<std::size_t>(1.5 * limit * 4 + 5);
}

} // namespace

TEST_CASE("hosts together send no more than a server's limit allows")
{
    rc::prop("any demands of the hosts", [] {
        const auto n = *rc::gen::inRange<std::size_t>(1, 13);
        const auto demands = *rc::gen::container<std::vector<int>>(n, rc::gen::inRange(0, 120));
        const double limit = *rc::gen::inRange(1, 80);
        auto hosts = makeHosts({demands.begin(), demands.end()}, limit);
        const auto arrivals = play(hosts, 12s);
        RC_ASSERT(mostInWindow(arrivals, start + window) <= allowedInWindow(limit));
    });
}

TEST_CASE("a limit is used up by hosts of uneven demand, in proportion to it")
{
    auto hosts = makeHosts({60, 20, 20, 20, 0}, 40);
    const auto arrivals = play(hosts, 20s);
    const auto used = std::count_if(arrivals.begin(), arrivals.end(),
                                    [](TimePoint it) { return it >= start + 10s; });
    CHECK(used >= 340);
    CHECK(used <= 410);
    CHECK(hosts[0]->share.share() == Approx(0.5).margin(0.05));
}

TEST_CASE("a server without a limit again gets requests as before")
{
    auto hosts = makeHosts({50}, 2);
    auto &table = hosts[0]->backends;
    CHECK_FALSE(table.pick("s", {}, start));
    CHECK(table.countAvailable("s", start) == 0);
    CHECK(table.hasUsable("s", {}, start));
    const auto backend = table.pick("s", {}, start + 1s);
    REQUIRE(backend);
    CHECK_FALSE(table.onLimitReport(*backend, 3, start + 1s));
    CHECK(table.onLimitReport(*backend, std::nullopt, start + 1s));
    for (int i = 0; i < 20; ++i)
        table.onSent(*backend, start + 1s);
    CHECK(table.pick("s", {}, start + 1s));
}

TEST_CASE("the latency estimate includes the wait for the limits of all servers of a service")
{
    auto hosts = makeHosts({50}, 20);
    auto &table = hosts[0]->backends;
    const auto estimate = [&](std::size_t waiting, TimePoint now) {
        return table.estimateLatency("s", waiting, now)->responseMs;
    };
    CHECK(estimate(0, start) > 50);
    CHECK(estimate(0, start + 1s) < 15);
    CHECK(estimate(19, start + 1s) > 1000);
    BackendRecord unlimited;
    unlimited.id = "unlimited";
    unlimited.service = "s";
    unlimited.slots = 100;
    table.put(unlimited);
    CHECK(estimate(0, start) < 15);
}

TEST_CASE("a server whose limit is 0 still gets a request now and then, which shows its end")
{
    auto hosts = makeHosts({50}, 0);
    const auto arrivals = play(hosts, 20s);
    CHECK(arrivals.size() >= 4);
    CHECK(mostInWindow(arrivals, start) <= 5);
}
