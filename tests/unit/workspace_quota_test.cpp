#include "core/hash.h"
#include "daemon/forward/workspace_quota.h"

#include <catch2/catch.hpp>
#include <memory>
#include <queue>
#include <random>
#include <rapidcheck/catch.h>

using namespace goldcrestline;
using namespace std::chrono_literals;
using core::TimePoint;
using daemon::forward::QuotaDecision;
using daemon::forward::WorkspaceQuota;
using policy::access::Workspace;
using policy::membership::Member;
using policy::membership::MemberState;

namespace {

constexpr core::Duration window = 5s;
constexpr double overshoot = 0.1;
constexpr double slack = 20;
constexpr double meanActiveSeconds = 2;

core::Duration fromSeconds(double s)
{
    return std::chrono::duration_cast<core::Duration>(std::chrono::duration<double>(s));
}

// A workspace's quota, and what its callers do.
struct Load
{
    Workspace workspace;
    double requestsPerSecond = 0;
    // Callers use the first so many hosts in turn.
    std::size_t hosts = 0;
    // Callers pause and return at random, so that a full burst is available when they return.
    bool pauses = false;
};

struct Network
{
    double loss = 0;
    double doubled = 0;
    // Share of the messages that are delayed by up to 400 ms, and thereby reordered.
    double delayed = 0;
};

// Hosts that keep the quotas of workspaces, in invented time, with the members that a failure
// detector of the product's timings would show them.
class Fleet
{
public:
    Fleet(std::size_t n, std::vector<Load> loads, unsigned seed, Network network = {})
        : m_random(seed), m_network(network), m_loads(std::move(loads)), m_hosts(n),
          m_usage(m_loads.size())
    {
        for (std::size_t i = 0; i < n; ++i) {
            auto &host = m_hosts[i];
            host.member.name = "host-" + std::to_string(i);
            host.member.peersAddress = std::to_string(i);
            host.member.zone = std::string(1, static_cast<char>('a' + i % 3));
            host.member.capacity = 100;
            host.views.resize(n);
            start(i);
        }
        for (std::size_t i = 0; i < m_loads.size(); ++i) {
            m_usage[i].ideal = std::make_unique<policy::limits::TokenBucket>(
                m_loads[i].workspace.requestsPerSecond, m_loads[i].workspace.burst, now + 1s);
            at(now + 1s + gap(i), [this, i] { request(i); });
        }
    }

    struct Usage
    {
        // Times of the requests that reached servers.
        std::vector<TimePoint> executed;
        int requests = 0;
        int admitted = 0;
        int idealAdmitted = 0;
        std::unique_ptr<policy::limits::TokenBucket> ideal;
        std::vector<core::Millis> retryAfter;
        std::vector<double> waitMs;

        // Returns by how many requests the quota was exceeded at most, in windows that begin at
        // `from` or later.
        double excess(const Workspace &quota, TimePoint from = {}) const
        {
            auto times = executed;
            std::sort(times.begin(), times.end());
            std::size_t first = 0;
            std::size_t most = 0;
            for (std::size_t i = 0; i < times.size(); ++i) {
                if (times[i] < from) {
                    first = i + 1;
                    continue;
                }
                while (times[i] - times[first] > window)
                    ++first;
                most = std::max(most, i - first + 1);
            }
            return static_cast<double>(most)
                - (quota.requestsPerSecond * std::chrono::duration<double>(window).count()
                   + quota.burst);
        }
    };
    // Returns the most requests above the quota that R3 permits.
    static double permitted(const Workspace &quota)
    {
        return slack
            + overshoot
            * (quota.requestsPerSecond * std::chrono::duration<double>(window).count()
               + quota.burst);
    }

    void at(TimePoint when, std::function<void()> run)
    {
        m_events.push({std::max(when, now), ++m_lastEvent, std::move(run)});
    }
    void run(core::Duration length)
    {
        const auto end = now + length;
        while (!m_events.empty() && m_events.top().at <= end) {
            auto event = m_events.top();
            m_events.pop();
            now = event.at;
            event.run();
        }
        now = end;
    }

    void kill(std::size_t i)
    {
        ++m_hosts[i].incarnation;
        m_hosts[i].up = false;
        m_graveyard.push_back(std::move(m_hosts[i].quota));
    }
    void start(std::size_t i)
    {
        auto &host = m_hosts[i];
        host.up = true;
        ++host.incarnation;
        host.member.incarnation = host.incarnation;
        host.link = std::make_unique<Link>(*this, i);
        host.quota = std::make_unique<WorkspaceQuota>(
            WorkspaceQuota::Parameters{host.member.name, m_hosts.size(), 5, overshoot, slack},
            *host.link,
            WorkspaceQuota::Hooks{[this] { return uniform(); }, [this] { return now; }});
        host.quota->setWorkspaces(workspaces(), now);
        for (auto &it : host.views)
            it = View{true, MemberState::Dead, now, delay(0.05, 0.6), delay(0.2, 1.2), 2s};
        repeat(i, host.incarnation, 300ms, [this, i] { updateMembers(i); });
        repeat(i, host.incarnation, 20ms, [this, i] {
            auto &host = m_hosts[i];
            if (now >= host.quota->nextTickAt() || now - host.tickedAt >= 100ms) {
                host.tickedAt = now;
                host.quota->tick(now);
            }
        });
    }
    // Stops a process until `until`; what it receives meanwhile waits.
    void pause(std::size_t i, TimePoint until) { m_hosts[i].pausedUntil = until; }
    // Separates the hosts for which `side` is true from the others.
    void partition(const std::function<bool(std::size_t)> &side)
    {
        for (std::size_t i = 0; i < m_hosts.size(); ++i)
            m_hosts[i].side = side(i) ? 1 : 0;
    }
    // Changes the quotas on each host within `within`.
    void setQuotas(double factor, core::Duration within)
    {
        for (auto &it : m_loads) {
            it.workspace.requestsPerSecond *= factor;
            it.workspace.burst = std::max(1.0, it.workspace.burst * factor);
        }
        for (std::size_t i = 0; i < m_hosts.size(); ++i) {
            at(now + fromSeconds(uniform() * std::chrono::duration<double>(within).count()),
               [this, i] {
                   if (m_hosts[i].up)
                       m_hosts[i].quota->setWorkspaces(workspaces(), now);
               });
        }
    }

    // Returns the host that lends the tokens of a workspace while all hosts are reachable.
    std::size_t lenderOf(const std::string &workspace) const
    {
        const auto weight = [&](const Host &it) {
            return core::rendezvousWeight(it.member.name, workspace);
        };
        return static_cast<std::size_t>(
            std::max_element(m_hosts.begin(), m_hosts.end(),
                             [&](const Host &a, const Host &b) { return weight(a) < weight(b); })
            - m_hosts.begin());
    }

    std::size_t size() const { return m_hosts.size(); }
    const std::vector<Load> &loads() const { return m_loads; }
    const std::vector<Usage> &usage() const { return m_usage; }
    double uniform() { return std::uniform_real_distribution<double>(0, 1)(m_random); }
    std::string metrics(std::size_t i) const { return m_hosts[i].quota->metrics(); }

    TimePoint now = TimePoint{} + 1h;
    std::uint64_t messages = 0;
    bool callersSend = true;
    // Share of the admitted requests that servers do not execute, so that their token is returned.
    double notExecuted = 0.05;

private:
    struct Link : ports::PeerLink
    {
        Link(Fleet &fleet, std::size_t from) : fleet(fleet), from(from) { }
        void call(const std::string &address, ports::PeerRequest request, core::Millis timeout,
                  ports::PeerHandler done) override
        {
            fleet.send(from, std::stoul(address), request, timeout, std::move(done));
        }
        Fleet &fleet;
        std::size_t from;
    };
    // What a host knows about another one.
    struct View
    {
        bool reachable = false;
        MemberState state = MemberState::Dead;
        TimePoint changedAt{};
        core::Duration aliveDelay{};
        core::Duration suspectDelay{};
        core::Duration deadDelay{};
    };
    struct Host
    {
        Member member;
        bool up = false;
        std::uint64_t incarnation = 0;
        TimePoint pausedUntil{};
        int side = 0;
        std::unique_ptr<Link> link;
        std::unique_ptr<WorkspaceQuota> quota;
        std::vector<View> views;
        TimePoint tickedAt{};
    };
    struct Event
    {
        TimePoint at;
        std::uint64_t order;
        std::function<void()> run;
        bool operator<(const Event &other) const
        {
            return std::tie(at, order) > std::tie(other.at, other.order);
        }
    };

    core::Duration delay(double from, double to)
    {
        return fromSeconds(from + uniform() * (to - from));
    }
    core::Duration gap(std::size_t load)
    {
        return fromSeconds(
            std::exponential_distribution<double>(m_loads[load].requestsPerSecond)(m_random));
    }

    policy::access::KeyTablePtr workspaces() const
    {
        std::vector<policy::access::WorkspaceKeys> entries;
        for (const auto &it : m_loads)
            entries.push_back({it.workspace, {}});
        std::vector<core::Error> errors;
        return policy::access::KeyTable::make(std::move(entries), errors);
    }

    // Runs an event of a host once it is not paused; drops it if the process has ended.
    void onHost(std::size_t i, std::uint64_t incarnation, TimePoint when, std::function<void()> run)
    {
        at(when, [this, i, incarnation, run = std::move(run)] {
            const auto &host = m_hosts[i];
            if (host.incarnation != incarnation || !host.up)
                return;
            if (host.pausedUntil > now)
                return onHost(i, incarnation, host.pausedUntil, run);
            run();
        });
    }
    void repeat(std::size_t i, std::uint64_t incarnation, core::Duration period,
                const std::function<void()> &run, bool first = true)
    {
        const auto next = first ? now + fromSeconds(uniform() * 0.02) : now + period;
        onHost(i, incarnation, next, [=, this] {
            run();
            repeat(i, incarnation, period, run, false);
        });
    }

    bool connected(std::size_t a, std::size_t b) const
    {
        return m_hosts[a].up && m_hosts[b].up && m_hosts[a].side == m_hosts[b].side;
    }

    void updateMembers(std::size_t i)
    {
        auto &host = m_hosts[i];
        std::vector<Member> members;
        for (std::size_t k = 0; k < m_hosts.size(); ++k) {
            auto member = m_hosts[k].member;
            auto &view = host.views[k];
            const bool reachable = connected(i, k) && m_hosts[k].pausedUntil <= now;
            if (reachable != view.reachable) {
                view.reachable = reachable;
                view.changedAt = now;
                view.aliveDelay = delay(0.05, 0.9);
                view.suspectDelay = delay(0.2, 1.2);
                view.deadDelay = view.suspectDelay + fromSeconds(1.5 + 0.3 * uniform());
            }
            const auto age = now - view.changedAt;
            if (reachable && age >= view.aliveDelay) {
                view.state = MemberState::Alive;
            } else if (!reachable && age >= view.deadDelay) {
                view.state = MemberState::Dead;
            } else if (!reachable && age >= view.suspectDelay && view.state == MemberState::Alive) {
                view.state = MemberState::Suspect;
            }
            member.state = k == i ? MemberState::Alive : view.state;
            members.push_back(std::move(member));
        }
        host.quota->setMembers(members, now);
    }

    // Delivers a datagram, perhaps late, twice or not at all.
    void deliver(std::size_t from, std::size_t to, const std::function<void()> &run)
    {
        ++messages;
        const int copies = uniform() < m_network.doubled ? 2 : 1;
        for (int i = 0; i < copies; ++i) {
            if (uniform() < m_network.loss || !connected(from, to))
                continue;
            auto latency = delay(0.0001, 0.0045);
            if (uniform() < m_network.delayed)
                latency += delay(0, 0.4);
            onHost(to, m_hosts[to].incarnation, now + latency, run);
        }
    }

    void send(std::size_t from, std::size_t to, const ports::PeerRequest &request,
              core::Millis timeout, ports::PeerHandler handler)
    {
        const auto messageId = std::to_string(from) + "/" + std::to_string(++m_lastMessage);
        auto done = std::make_shared<ports::PeerHandler>(std::move(handler));
        const auto finish = [done](ports::PeerResult result) {
            if (*done)
                std::exchange(*done, nullptr)(std::move(result));
        };
        const auto incarnation = m_hosts[from].incarnation;
        onHost(from, incarnation, now + timeout, [finish] {
            finish({ports::PeerOutcome::NoResponse, {}});
        });
        deliver(from, to, [=, this] {
            ports::PeerCall call;
            call.request = request;
            call.messageId = messageId;
            call.reply = [=, this](const ports::PeerResponse &response) {
                if (m_hosts[from].incarnation != incarnation)
                    return;
                deliver(to, from, [=] { finish({ports::PeerOutcome::Answered, response}); });
            };
            m_hosts[to].quota->handle(call, now);
        });
    }

    void request(std::size_t load)
    {
        auto next = gap(load);
        if (m_loads[load].pauses
            && uniform() < std::chrono::duration<double>(next).count() / meanActiveSeconds)
            next += delay(0.2, 5);
        at(now + next, [this, load] { request(load); });
        if (!callersSend)
            return;
        auto &usage = m_usage[load];
        // The callers of a host that does not respond go to the next one.
        std::size_t host = usage.requests % m_loads[load].hosts;
        for (std::size_t i = 0; i < size() && !available(host); ++i)
            host = (host + 1) % size();
        ++usage.requests;
        if (!available(host))
            return;
        usage.idealAdmitted += usage.ideal->take(1, now);
        const auto incarnation = m_hosts[host].incarnation;
        m_hosts[host].quota->admit(
            m_loads[load].workspace, now,
            [=, this, sentAt = now](const QuotaDecision &decision, TimePoint decidedAt) {
                auto &usage = m_usage[load];
                if (!decision.admitted) {
                    usage.retryAfter.push_back(decision.retryAfter);
                    return;
                }
                ++usage.admitted;
                usage.waitMs.push_back(core::toMillis(decidedAt - sentAt));
                if (uniform() >= notExecuted)
                    return usage.executed.push_back(decidedAt);
                onHost(host, incarnation, now + delay(0.02, 0.4), [=, this] {
                    m_hosts[host].quota->giveBack(m_loads[load].workspace.name, now);
                });
            });
    }
    bool available(std::size_t host) const
    {
        return m_hosts[host].up && m_hosts[host].pausedUntil <= now;
    }

    std::mt19937 m_random;
    Network m_network;
    std::vector<Load> m_loads;
    std::vector<Host> m_hosts;
    std::vector<Usage> m_usage;
    std::vector<std::unique_ptr<WorkspaceQuota>> m_graveyard;
    std::priority_queue<Event> m_events;
    std::uint64_t m_lastEvent = 0;
    std::uint64_t m_lastMessage = 0;
};

Load makeLoad(const std::string &name, double usual, double burstSeconds, double factor,
              std::size_t hosts)
{
    Load load;
    load.workspace.name = name;
    load.workspace.requestsPerSecond = 1.6 * usual;
    load.workspace.burst = std::max(1.0, burstSeconds * 1.6 * usual);
    load.requestsPerSecond = factor * usual;
    load.hosts = hosts;
    return load;
}

enum class Fault { None, KillLender, PauseLender, Partition, RestartAll, LowerLimit, Flapping };
constexpr const char *faultNames[] = {"none",        "kill lender", "pause lender", "partition",
                                      "restart all", "lower limit", "flapping"};

// Runs a fleet through a fault and returns the worst excess, relative to the permitted one.
double worstExcess(Fleet &fleet, Fault fault)
{
    const auto lender = fleet.lenderOf(fleet.loads().front().workspace.name);
    const auto side = [&](std::size_t i) { return i % 3 == 0; };
    fleet.run(6s + fromSeconds(3 * fleet.uniform()));
    TimePoint from{};
    switch (fault) {
    case Fault::None:
        break;
    case Fault::KillLender:
        fleet.kill(lender);
        fleet.run(fromSeconds(0.3 + 6 * fleet.uniform()));
        fleet.start(lender);
        break;
    case Fault::PauseLender:
        fleet.pause(lender, fleet.now + fromSeconds(0.3 + 12 * fleet.uniform()));
        break;
    case Fault::Partition:
        fleet.partition(side);
        fleet.run(12s);
        fleet.partition([](std::size_t) { return false; });
        break;
    case Fault::RestartAll:
        for (std::size_t i = 0; i < fleet.size(); ++i)
            fleet.kill(i);
        fleet.run(fromSeconds(fleet.uniform()));
        for (std::size_t i = 0; i < fleet.size(); ++i)
            fleet.at(fleet.now + fromSeconds(0.3 * fleet.uniform()),
                     [&fleet, i] { fleet.start(i); });
        break;
    case Fault::LowerLimit:
        fleet.setQuotas(0.1, 2s);
        fleet.run(2s);
        from = fleet.now;
        break;
    case Fault::Flapping:
        for (int i = 0; i < 4; ++i) {
            fleet.pause(lender, fleet.now + 900ms);
            fleet.run(2500ms);
        }
        break;
    }
    fleet.run(16s);
    double worst = -1e9;
    for (std::size_t i = 0; i < fleet.loads().size(); ++i) {
        const auto &quota = fleet.loads()[i].workspace;
        worst = std::max(worst, fleet.usage()[i].excess(quota, from) / Fleet::permitted(quota));
    }
    return worst;
}

} // namespace

// Guards R3: lenders that lend twice on a change, or hosts whose own shares add up to too much.
TEST_CASE("workspaces stay within their quotas in every window under arbitrary faults", "[quota]")
{
    rc::prop("(rate x window + burst) x 1.1 + 20 is never exceeded", [] {
        const auto seed = *rc::gen::inRange(1U, 1000000U);
        const auto n = *rc::gen::element<std::size_t>(6, 12, 30, 65);
        const auto fault = static_cast<Fault>(*rc::gen::inRange(0, 7));
        const Network network{*rc::gen::element(0.0, 0.02, 0.1), *rc::gen::element(0.0, 0.1),
                              *rc::gen::element(0.0, 0.05)};
        std::vector<Load> loads;
        for (const double usual : {40.0, 10.0, 2.0, 0.3}) {
            const auto hosts = *rc::gen::element<std::size_t>(1, 6, n);
            loads.push_back(makeLoad("w" + std::to_string(usual), usual,
                                     *rc::gen::element(0.1, 0.5, 2.0),
                                     *rc::gen::element(0.5, 1.0, 2.5, 7.5), hosts));
            loads.back().pauses = *rc::gen::arbitrary<bool>();
        }
        std::rotate(loads.begin(), loads.begin() + *rc::gen::inRange(0, 4), loads.end());
        Fleet fleet(n, std::move(loads), seed, network);
        const double worst = worstExcess(fleet, fault);
        RC_LOG() << faultNames[static_cast<int>(fault)] << " hosts=" << n
                 << " loss=" << network.loss << " worst=" << worst;
        RC_ASSERT(worst <= 1.0);
    });
}

// Guards against tokens that are lost, held by idle hosts, or not there after a start.
TEST_CASE("requests within the quota are served as by a single token bucket", "[quota]")
{
    for (const std::size_t n : {std::size_t(6), std::size_t(65)}) {
        std::vector<Load> loads;
        for (const double usual : {40.0, 10.0, 2.0, 0.3}) {
            for (const std::size_t hosts : {std::size_t(1), std::size_t(6), n}) {
                loads.push_back(makeLoad("w" + std::to_string(usual) + "-" + std::to_string(hosts)
                                             + "-" + std::to_string(loads.size()),
                                         usual, 2, 1, hosts));
            }
        }
        Fleet fleet(n, loads, 7);
        fleet.notExecuted = 0;
        // The first seconds after the start, and long enough for the smallest workspace.
        for (const auto length : {core::Duration(4s), core::Duration(300s)}) {
            fleet.callersSend = true;
            fleet.run(length);
            // Requests in flight are decided.
            fleet.callersSend = false;
            fleet.run(1s);
            for (std::size_t i = 0; i < loads.size(); ++i) {
                const auto &usage = fleet.usage()[i];
                INFO(loads[i].workspace.name << " hosts=" << n << " admitted=" << usage.admitted
                                             << " ideal=" << usage.idealAdmitted);
                CHECK(usage.admitted >= 0.99 * usage.idealAdmitted);
            }
        }
    }
}

namespace {

// A link that records requests and answers none.
struct SilentLink : ports::PeerLink
{
    void call(const std::string &, ports::PeerRequest request, core::Millis,
              ports::PeerHandler) override
    {
        sent.push_back(std::get<ports::QuotaRequest>(request));
    }
    std::vector<ports::QuotaRequest> sent;
};

// One host that takes itself for the lender.
struct Single
{
    explicit Single(double rate = 2, double burst = 10)
        : quota({"a", 1, 5, overshoot, slack}, link, {[] { return 0.5; }, [this] { return now; }})
    {
        workspace.name = "w";
        workspace.requestsPerSecond = rate;
        workspace.burst = burst;
        set({{workspace, {}}});
        Member self;
        self.name = "a";
        self.peersAddress = "1";
        quota.setMembers({self}, now);
    }
    void set(std::vector<policy::access::WorkspaceKeys> entries)
    {
        std::vector<core::Error> errors;
        quota.setWorkspaces(policy::access::KeyTable::make(std::move(entries), errors), now);
    }
    // Returns the tokens lent to another host; nothing if there was no response.
    std::optional<int> borrow(int wanted, int returned, const std::string &messageId,
                              const std::string &name = "w")
    {
        std::optional<int> lent;
        quota.handle({ports::QuotaRequest{name, wanted, returned, false}, messageId,
                      [&](const ports::PeerResponse &it) {
                          lent = std::get<ports::QuotaResponse>(it).tokens;
                      }},
                     now);
        return lent;
    }

    TimePoint now = TimePoint{} + 1h;
    SilentLink link;
    Workspace workspace;
    WorkspaceQuota quota;
};

} // namespace

// A copy made by the network would lend tokens that nobody uses, and add returned tokens twice.
TEST_CASE("a doubled request lends and returns tokens once", "[quota]")
{
    Single host;
    // A new bucket holds 7.7 tokens.
    CHECK(host.borrow(7, 0, "b/1") == 7);
    CHECK_FALSE(host.borrow(7, 0, "b/1"));
    CHECK(host.borrow(0, 3, "b/2") == 0);
    CHECK_FALSE(host.borrow(0, 3, "b/2"));
    CHECK(host.borrow(20, 0, "b/3") == 3);
}

// Another customer's burst, or the memory of a long gone one, would remain otherwise.
TEST_CASE("a workspace that is gone from the configuration is forgotten", "[quota]")
{
    Single host;
    CHECK(host.borrow(5, 0, "b/1") == 5);
    CHECK(host.quota.metrics().find("\"w\"") != std::string::npos);
    host.set({});
    CHECK(host.borrow(8, 0, "b/2") == ports::workspaceUnknownTokens);
    CHECK(host.quota.metrics().find("\"w\"") == std::string::npos);
}

// A host that was paused may lend a burst that its successor has lent meanwhile.
TEST_CASE("a lender that was paused lends few tokens at first", "[quota]")
{
    Single host(20, 100);
    host.now += 200ms;
    host.quota.tick(host.now);
    host.borrow(1, 0, "b/1");
    SECTION("paused")
    {
        host.now += 20s;
        CHECK(*host.borrow(200, 0, "b/2") <= 0.35 * (20 + 20) / 2);
    }
    SECTION("not paused")
    {
        for (int i = 0; i < 200; ++i)
            host.quota.tick(host.now += 100ms);
        CHECK(*host.borrow(200, 0, "b/2") == 100);
    }
}

// Callers who are refused together must not return together, nor later than R3 permits.
TEST_CASE("refused callers return when a token is due, spread over those who wait", "[quota]")
{
    for (const double usual : {40.0, 2.0, 0.3}) {
        Fleet fleet(6, {makeLoad("w", usual, 1, 7.5, 6)}, 3);
        fleet.run(60s);
        auto waits = fleet.usage()[0].retryAfter;
        REQUIRE(waits.size() > 20);
        std::sort(waits.begin(), waits.end());
        CHECK(waits.front() >= 60ms);
        CHECK(waits.back() <= 5s);
        CHECK(waits[waits.size() * 9 / 10] >= 1.5 * waits[waits.size() / 10]);
    }
}

TEST_CASE("requests wait for one round trip at most, and few where demand is high", "[quota]")
{
    Fleet fleet(65, {makeLoad("high", 40, 2, 1, 6), makeLoad("low", 2, 2, 1, 65)}, 5);
    fleet.run(60s);
    std::size_t immediate = 0;
    for (const auto &usage : fleet.usage())
        CHECK(*std::max_element(usage.waitMs.begin(), usage.waitMs.end()) <= 9);
    const auto &waits = fleet.usage()[0].waitMs;
    for (const double it : waits)
        immediate += it == 0 ? 1 : 0;
    CHECK(immediate >= 0.5 * waits.size());
}

// A third of the fleet that is cut off for 12 s would otherwise double a quota or refuse its
// callers.
TEST_CASE("both sides of a partition serve a workspace within its quota", "[quota]")
{
    Fleet fleet(65, {makeLoad("w", 10, 2, 1, 65)}, 9);
    fleet.run(10s);
    const auto admitted = fleet.usage()[0].admitted;
    const auto requests = fleet.usage()[0].requests;
    fleet.partition([](std::size_t i) { return i % 3 == 0; });
    fleet.run(12s);
    const auto &usage = fleet.usage()[0];
    CHECK(usage.admitted - admitted >= 0.8 * (usage.requests - requests));
}
