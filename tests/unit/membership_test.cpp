#include "policy/membership/member_table.h"

#include "policy/entrypoints/entry_points.h"
#include "policy/entrypoints/processor_load_estimator.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <memory>
#include <random>
#include <rapidcheck/catch.h>

using namespace goldcrestline;
using namespace goldcrestline::policy::membership;
using namespace std::chrono_literals;
using core::TimePoint;

namespace {

// Simulation of hosts that call each other directly, in simulated time. A call fails if its link is
// cut, if the callee is paused or not running, or at random with the probability `loss`.
struct Hosts
{
    std::mt19937 random;
    TimePoint now = TimePoint{} + 1h;
    std::vector<std::unique_ptr<MemberTable>> tables;
    std::set<std::pair<int, int>> cutLinks;
    std::set<int> paused;
    double loss = 0;
    // Comparisons of tables that were triggered by differing digests.
    int comparisons = 0;
    // Records sent to hosts of other zones, without the senders' own ones.
    std::size_t recordsAcrossZones = 0;
    int zones = 3;
    MembershipTimings timings;

    explicit Hosts(int n, unsigned seed = 1, int zones = 3) : random(seed), zones(zones)
    {
        for (int i = 0; i < n; ++i)
            tables.push_back(make(i, 1));
    }

    // Replaces all hosts, so that a change of `timings` takes effect.
    void restartAll()
    {
        for (std::size_t i = 0; i < tables.size(); ++i)
            tables[i] = make(static_cast<int>(i), 1);
    }

    static std::string name(int i) { return "h" + std::to_string(i); }
    static int index(const std::string &address) { return std::stoi(address.substr(1)); }

    std::unique_ptr<MemberTable> make(int i, std::uint64_t incarnation)
    {
        Member self;
        self.name = name(i);
        self.zone = std::string(1, static_cast<char>('a' + i % zones));
        self.peersAddress = name(i);
        self.incarnation = incarnation;
        return std::make_unique<MemberTable>(
            self, std::vector<std::string>{"h0", "h1", "h2"}, timings,
            [this](unsigned k) { return static_cast<unsigned>(random() % k); });
    }

    bool reaches(int from, int to)
    {
        if (cutLinks.count({from, to}) != 0 || cutLinks.count({to, from}) != 0)
            return false;
        if (paused.count(to) != 0 || !tables[static_cast<std::size_t>(to)])
            return false;
        return std::uniform_real_distribution<>(0, 1)(random) >= loss;
    }

    void send(const MemberTable &from, MemberTable &to, const std::vector<Member> &records,
              bool fromComparison)
    {
        if (from.self().zone != to.self().zone)
            recordsAcrossZones += records.size() - (records.empty() ? 0 : 1);
        to.applyUpdates(records, now, fromComparison);
    }

    bool exchange(int from, int to)
    {
        if (from == to || !reaches(from, to))
            return false;
        auto &a = *tables[static_cast<std::size_t>(from)];
        auto &b = *tables[static_cast<std::size_t>(to)];
        send(a, b, a.selectUpdates(b.self().zone), false);
        send(b, a, b.selectUpdates(a.self().zone), false);
        a.onContact(name(to), now);
        b.onContact(name(from), now);
        return true;
    }

    void compareTables(int from, int to)
    {
        if (from == to || !reaches(from, to))
            return;
        auto &a = *tables[static_cast<std::size_t>(from)];
        auto &b = *tables[static_cast<std::size_t>(to)];
        send(a, b, {a.self()}, true);
        const auto summary = a.summary();
        const auto missing = b.findMissing(summary, 1000);
        const auto unknown = b.findUnknown(summary);
        send(b, a, missing, true);
        send(a, b, a.findByHash(unknown), true);
        send(a, b, a.findSuperseding(missing), true);
        a.onContact(name(to), now);
        a.onCompared(now);
    }

    void syncTables(int from, int to, bool skipDigest)
    {
        if (skipDigest)
            return compareTables(from, to);
        if (!exchange(from, to))
            return;
        const auto digest = tables[static_cast<std::size_t>(to)]->digest();
        if (digest == tables[static_cast<std::size_t>(from)]->digest())
            return;
        ++comparisons;
        compareTables(from, to);
    }

    void apply(int i, const std::vector<Action> &actions)
    {
        auto &table = *tables[static_cast<std::size_t>(i)];
        for (const auto &action : actions) {
            if (const auto *probe = std::get_if<Probe>(&action)) {
                if (exchange(i, index(probe->address)))
                    table.onProbeResult(probe->name, true, now);
                else
                    apply(i, table.onDirectProbeFailed(probe->name, now));
            } else if (const auto *contact = std::get_if<TableSync>(&action)) {
                syncTables(i, index(contact->address), contact->skipDigest);
            } else {
                const auto &indirect = std::get<IndirectProbe>(action);
                const int via = index(indirect.via);
                const bool reached = reaches(i, via) && reaches(via, index(indirect.address));
                table.onProbeResult(indirect.name, reached, now);
            }
        }
    }

    void run(core::Duration length)
    {
        const auto end = now + length;
        while (now < end) {
            for (std::size_t i = 0; i < tables.size(); ++i) {
                if (tables[i] && paused.count(static_cast<int>(i)) == 0)
                    apply(static_cast<int>(i), tables[i]->tick(now));
            }
            now += 300ms;
        }
    }

    // Returns whether the table of each running host lists exactly the running hosts as alive.
    bool tablesAgree() const
    {
        std::set<std::string> running;
        for (std::size_t i = 0; i < tables.size(); ++i) {
            if (tables[i] && paused.count(static_cast<int>(i)) == 0)
                running.insert(name(static_cast<int>(i)));
        }
        for (std::size_t i = 0; i < tables.size(); ++i) {
            if (running.count(name(static_cast<int>(i))) == 0)
                continue;
            std::set<std::string> alive;
            for (const auto &it : tables[i]->all()) {
                if (it.state == MemberState::Alive)
                    alive.insert(it.name);
            }
            if (alive != running)
                return false;
        }
        return true;
    }
};

} // namespace

TEST_CASE("hosts discover each other through their seeds", "[membership]")
{
    Hosts hosts(9);
    hosts.run(6s);
    CHECK(hosts.tablesAgree());
}

TEST_CASE("a killed host is declared dead on all hosts within 8 s", "[membership]")
{
    Hosts hosts(9);
    hosts.run(6s);
    hosts.tables[4].reset();
    hosts.run(8s);
    CHECK(hosts.tablesAgree());
}

TEST_CASE("a paused host is declared dead and refutes it after it resumes", "[membership]")
{
    Hosts hosts(9);
    hosts.run(6s);
    hosts.paused = {3};
    hosts.run(10s);
    CHECK(hosts.tablesAgree());
    hosts.paused.clear();
    hosts.run(10s);
    CHECK(hosts.tablesAgree());
    CHECK(hosts.tables[3]->self().refutation > 0);
}

TEST_CASE("a resumed host does not suspect others for probes that timed out during its pause",
          "[membership]")
{
    Hosts hosts(9);
    hosts.run(6s);
    hosts.paused = {3};
    hosts.run(30s);
    hosts.paused.clear();
    hosts.apply(3, hosts.tables[3]->tick(hosts.now));
    for (const auto &it : hosts.tables[3]->all())
        CHECK(it.state == MemberState::Alive);
}

TEST_CASE("a restarted host replaces the record of its previous incarnation", "[membership]")
{
    Hosts hosts(6);
    hosts.run(6s);
    hosts.tables[2] = hosts.make(2, 2);
    hosts.run(6s);
    CHECK(hosts.tablesAgree());
    for (const auto &table : hosts.tables)
        CHECK(table->find("h2")->incarnation == 2);
}

TEST_CASE("a cut link between two hosts does not get either declared dead", "[membership]")
{
    Hosts hosts(9);
    hosts.run(6s);
    hosts.cutLinks = {{1, 2}};
    hosts.run(30s);
    CHECK(hosts.tablesAgree());
}

TEST_CASE("the two sides of a network partition merge after it heals", "[membership]")
{
    Hosts hosts(8);
    hosts.run(6s);
    for (int a = 0; a < 4; ++a) {
        for (int b = 4; b < 8; ++b)
            hosts.cutLinks.insert({a, b});
    }
    hosts.run(20s);
    CHECK_FALSE(hosts.tablesAgree());
    hosts.cutLinks.clear();
    hosts.run(20s);
    CHECK(hosts.tablesAgree());
}

TEST_CASE("member tables converge after arbitrary faults end", "[membership]")
{
    rc::prop("restarts, pauses, cut links and message loss", [] {
        Hosts hosts(6, *rc::gen::inRange(1U, 100000U));
        hosts.run(6s);
        std::uint64_t incarnation = 1;
        const auto faults = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 60));
        for (const int fault : faults) {
            const int host = fault % 6;
            switch (fault / 10) {
            case 0:
                hosts.tables[static_cast<std::size_t>(host)] = hosts.make(host, ++incarnation);
                break;
            case 1:
                hosts.paused.insert(host);
                break;
            case 2:
                hosts.paused.clear();
                break;
            case 3:
                hosts.cutLinks.insert({host, (host + 1) % 6});
                break;
            case 4:
                hosts.cutLinks.clear();
                break;
            default:
                hosts.loss = 0.2;
            }
            hosts.run(2s);
        }
        hosts.cutLinks.clear();
        hosts.paused.clear();
        hosts.loss = 0;
        hosts.run(25s);
        RC_ASSERT(hosts.tablesAgree());
    });
}

TEST_CASE("the keys of a stopped host are owned by its successors", "[membership][once]")
{
    Hosts hosts(4);
    hosts.run(6s);
    CHECK(hosts.tables[0]->keyOwner("h1", 1) == "h1");
    CHECK(hosts.tables[0]->keyOwner("h1", 7).empty());
    hosts.tables[1]->setLeft("h2");
    hosts.run(4s);
    CHECK(hosts.tables[0]->keyOwner("h1", 1) == "h2");
    hosts.tables[1] = hosts.make(1, 2);
    hosts.run(4s);
    CHECK(hosts.tables[0]->keyOwner("h1", 1) == "h2");
    CHECK(hosts.tables[0]->keyOwner("h1", 2) == "h1");
    hosts.tables[2]->setLeft("h3");
    hosts.run(4s);
    CHECK(hosts.tables[0]->keyOwner("h1", 1) == "h3");
}

TEST_CASE("entry points exclude leaving and suspect hosts and cover two zones", "[entrypoints]")
{
    std::vector<Member> members;
    for (int i = 0; i < 9; ++i) {
        Member it;
        it.name = "h" + std::to_string(i);
        it.zone = i < 5 ? "a" : "b";
        members.push_back(it);
    }
    members[0].leaving = true;
    members[1].state = MemberState::Suspect;
    const auto chosen =
        policy::entrypoints::selectEntryPoints(members, {"a", ""}, 3, [](unsigned) { return 0U; });
    REQUIRE(chosen.size() == 3);
    CHECK(chosen[0].zone == "a");
    CHECK(chosen[1].zone == "a");
    CHECK(chosen[2].zone == "b");
    for (const auto &it : chosen) {
        CHECK(it.name != "h0");
        CHECK(it.name != "h1");
    }
}

TEST_CASE("hosts with equal tables do not compare them", "[membership]")
{
    Hosts hosts(30);
    hosts.run(20s);
    REQUIRE(hosts.tablesAgree());
    hosts.comparisons = 0;
    hosts.run(60s);
    CHECK(hosts.comparisons == 0);
    hosts.tables[4]->setStrained(true);
    hosts.run(6s);
    for (const auto &it : hosts.tables)
        CHECK(it->find("h4")->strained);
}

TEST_CASE("a joint start of a large fleet sends each record to each host about once",
          "[membership]")
{
    constexpr int count = 100;
    Hosts hosts(count, 3, 5);
    hosts.run(15s);
    REQUIRE(hosts.tablesAgree());
    // Each host needs the record of each other one once; twice that is allowed.
    CHECK(hosts.recordsAcrossZones < 2UL * count * count);
    // No records travel any more once all hosts know each other.
    hosts.run(30s);
    hosts.recordsAcrossZones = 0;
    hosts.run(30s);
    CHECK(hosts.recordsAcrossZones == 0);
    // A change reaches every host soon.
    hosts.tables[7]->setStrained(true);
    hosts.run(4s);
    for (const auto &it : hosts.tables)
        CHECK(it->find("h7")->strained);
}

TEST_CASE("the loss of a zone is detected as early as if hosts probed all zones alike",
          "[membership]")
{
    constexpr int count = 60;
    // Returns the time from the loss of zone "a" until no host takes one of its hosts for alive.
    const auto detectionTime = [](std::size_t minZonePeers, unsigned seed) {
        Hosts hosts(count, seed);
        hosts.timings.minZonePeers = minZonePeers;
        hosts.restartAll();
        hosts.run(10s);
        REQUIRE(hosts.tablesAgree());
        for (std::size_t i = 0; i < count; i += 3)
            hosts.tables[i].reset();
        const auto lostAt = hosts.now;
        const auto takenForAlive = [&] {
            return std::any_of(hosts.tables.begin(), hosts.tables.end(), [](const auto &table) {
                if (!table)
                    return false;
                const auto members = table->all();
                return std::any_of(members.begin(), members.end(), [](const Member &it) {
                    return it.zone == "a" && it.state == MemberState::Alive;
                });
            });
        };
        while (takenForAlive() && hosts.now < lostAt + 20s)
            hosts.run(300ms);
        return hosts.now - lostAt;
    };
    core::Duration byZone{0};
    core::Duration alike{0};
    constexpr unsigned runs = 5;
    for (unsigned seed = 1; seed <= runs; ++seed) {
        byZone += detectionTime(MembershipTimings().minZonePeers, seed);
        alike += detectionTime(count, seed);
    }
    CHECK(byZone <= alike + runs * MembershipTimings().period);
}

TEST_CASE("hosts that missed updates receive them by a comparison of tables", "[membership]")
{
    Hosts hosts(12);
    hosts.run(12s);
    // The links of the restarted host to all hosts but one are cut, so that most hosts do not learn
    // of the restart by its probes.
    for (int i = 1; i < 11; ++i)
        hosts.cutLinks.insert({11, i});
    hosts.tables[11] = hosts.make(11, 2);
    hosts.run(2s);
    hosts.cutLinks.clear();
    hosts.run(25s);
    CHECK(hosts.tablesAgree());
    for (const auto &it : hosts.tables)
        CHECK(it->find("h11")->incarnation == 2);
}

namespace {

Member hostOf(const std::string &name, const std::string &zone, std::uint32_t capacity)
{
    Member it;
    it.name = name;
    it.zone = zone;
    it.capacity = capacity;
    return it;
}

std::set<std::string> chosenIn(const std::vector<Member> &members, const std::string &zone)
{
    std::set<std::string> out;
    for (const auto &it : policy::entrypoints::selectEntryPoints(members, {zone, ""}, 8,
                                                                 [](unsigned) { return 0U; })) {
        if (it.zone == zone)
            out.insert(it.name);
    }
    return out;
}

} // namespace

TEST_CASE("only a zone's large hosts are entry points while none of them is strained",
          "[entrypoints]")
{
    std::vector<Member> members{hostOf("big1", "a", 500), hostOf("big2", "a", 500),
                                hostOf("big3", "b", 500)};
    for (int i = 0; i < 5; ++i)
        members.push_back(hostOf("small" + std::to_string(i), "a", 120));
    CHECK(chosenIn(members, "a") == std::set<std::string>{"big1", "big2"});
    members[1].strained = true;
    CHECK(chosenIn(members, "a").size() == 7);
    members[1].strained = false;
    members[1].state = MemberState::Dead;
    CHECK(chosenIn(members, "a").size() == 6);
    // Hosts of similar capacity are all eligible.
    std::vector<Member> similar{hostOf("x", "a", 250), hostOf("y", "a", 200),
                                hostOf("z", "a", 130)};
    CHECK(chosenIn(similar, "a").size() == 3);
}

TEST_CASE("a host is strained from a high processor utilization until a low one", "[entrypoints]")
{
    policy::entrypoints::ProcessorLoadEstimator estimator(0.5);
    auto now = TimePoint{} + 1h;
    std::uint64_t sent = 0;
    const auto runLoad = [&](int perSecond, int seconds) {
        bool strained = false;
        for (int i = 0; i < seconds; ++i) {
            now += 1s;
            sent += static_cast<std::uint64_t>(perSecond);
            strained = estimator.update(sent, now);
        }
        return strained;
    };
    estimator.update(0, now);
    CHECK_FALSE(runLoad(1000, 20));
    CHECK(runLoad(5000, 10));
    CHECK(runLoad(2500, 10));
    CHECK_FALSE(runLoad(500, 10));
}

TEST_CASE("the quota shares of all hosts add up to at most 1", "[entrypoints]")
{
    rc::prop("random capacities, zones and states", [] {
        const auto capacities =
            *rc::gen::nonEmpty(rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 5)));
        std::vector<Member> members;
        for (std::size_t i = 0; i < capacities.size(); ++i) {
            const auto zone = std::string(1, static_cast<char>('a' + i % 3));
            members.push_back(hostOf("h" + std::to_string(i), zone,
                                     static_cast<std::uint32_t>(120 * capacities[i])));
            members.back().strained = *rc::gen::inRange(0, 10) == 0;
            members.back().leaving = *rc::gen::inRange(0, 10) == 0;
        }
        double sum = 0;
        for (const auto &it : members) {
            const double share = policy::entrypoints::quotaShare(members, it.name, 6);
            RC_ASSERT(share > 0);
            sum += share;
        }
        RC_ASSERT(sum <= 1 + 1e-9);
    });
}

TEST_CASE("eligible hosts get the largest quota shares", "[entrypoints]")
{
    std::vector<Member> members{hostOf("big1", "a", 500), hostOf("big2", "a", 500)};
    for (int i = 0; i < 20; ++i)
        members.push_back(hostOf("small" + std::to_string(i), "a", 120));
    const double big = policy::entrypoints::quotaShare(members, "big1", 2);
    const double small = policy::entrypoints::quotaShare(members, "small0", 2);
    CHECK(big > 0.25);
    CHECK(small < 0.03);
}

TEST_CASE("the first entry points for a caller whose zone has no host are in its region",
          "[entrypoints]")
{
    std::vector<Member> members;
    for (const char *name : {"far1", "far2", "near1", "near2", "near3"}) {
        members.push_back(hostOf(name, std::string("zone-") + name, 250));
        members.back().region = members.back().name.substr(0, members.back().name.size() - 1);
    }
    const auto chosen = policy::entrypoints::selectEntryPoints(members, {"zone-lost", "near"}, 8,
                                                               [](unsigned) { return 0U; });
    REQUIRE(chosen.size() == 5);
    for (std::size_t i = 0; i < 3; ++i)
        CHECK(chosen[i].region == "near");
}

TEST_CASE("hosts that start together allow for half-open connections that servers still hold",
          "[entrypoints]")
{
    constexpr int hosts = 9;
    constexpr int serverLimit = 26;
    const double share = 1.0 / 12;
    const int before = hosts * policy::entrypoints::connectionLimit(serverLimit, share, 1h);
    const int after = hosts * policy::entrypoints::connectionLimit(serverLimit, share, 1s);
    CHECK(before <= serverLimit);
    // The half-open connections from before the power loss and all new ones but one fit within the
    // server's limit.
    CHECK(before + after <= serverLimit + 1);
}

namespace {

// Time after its end from which a host must not be named, that is contact_ms + 3 s.
constexpr auto namedAtMost = 8s;

// Returns whether host `i` names, at this moment, a host that ended more than 8 s ago.
bool namesEndedHost(const Hosts &hosts, std::size_t i, const std::map<std::string, TimePoint> &ends)
{
    const auto named = policy::entrypoints::eligibleHosts(hosts.tables[i]->confirmed(hosts.now));
    return std::any_of(named.begin(), named.end(), [&](const Member &it) {
        const auto end = ends.find(it.name);
        return end != ends.end() && hosts.now - end->second > namedAtMost;
    });
}

// Runs the hosts and returns how often one of them named such a host.
int countNamedEnded(Hosts &hosts, const std::map<std::string, TimePoint> &ends, core::Duration time)
{
    int count = 0;
    for (const auto end = hosts.now + time; hosts.now < end;) {
        hosts.run(300ms);
        for (std::size_t i = 0; i < hosts.tables.size(); ++i) {
            if (hosts.tables[i] && hosts.paused.count(static_cast<int>(i)) == 0)
                count += namesEndedHost(hosts, i, ends) ? 1 : 0;
        }
    }
    return count;
}

void end(Hosts &hosts, const std::vector<int> &ended, std::map<std::string, TimePoint> &ends)
{
    for (const int i : ended) {
        hosts.tables[static_cast<std::size_t>(i)].reset();
        ends[Hosts::name(i)] = hosts.now;
    }
}

} // namespace

// Guards against callers that are directed to hosts which ended long ago, by a host that is cut off
// from its peers and probes them one by one.
TEST_CASE("directories of connected and cut off hosts name no ended host", "[membership]")
{
    for (const int n : {9, 65, 141}) {
        for (const int together : {1, 2}) {
            CAPTURE(n, together);
            Hosts hosts(n);
            hosts.run(30s);
            std::map<std::string, TimePoint> ends;
            // The hosts that are cut off from the others do reach each other.
            for (int a = 3; a < 3 + together; ++a) {
                for (int b = 0; b < n; ++b) {
                    if (b < 3 || b >= 3 + together)
                        hosts.cutLinks.insert({a, b});
                }
            }
            end(hosts, {5, 6, 7}, ends);
            CHECK(countNamedEnded(hosts, ends, 30s) == 0);
        }
    }
}

TEST_CASE("a paused host names no host that ended meanwhile, from its return on", "[membership]")
{
    for (const int n : {9, 65, 141}) {
        CAPTURE(n);
        Hosts hosts(n);
        hosts.run(30s);
        std::map<std::string, TimePoint> ends;
        hosts.paused = {4};
        end(hosts, {5, 6, 7}, ends);
        hosts.run(10s);
        hosts.paused.clear();
        // Requests that arrived during the pause are answered before the first tick.
        CHECK_FALSE(namesEndedHost(hosts, 4, ends));
        CHECK(hosts.tables[4]->confirmed(hosts.now).size() >= 1);
        CHECK(countNamedEnded(hosts, ends, 20s) == 0);
        const auto named = hosts.tables[4]->confirmed(hosts.now);
        CHECK(policy::entrypoints::eligibleHosts(named).size() == static_cast<std::size_t>(n) - 3);
    }
}

// Guards against hosts that name only themselves after the loss of a zone, of which most of their
// probes may have gone to.
TEST_CASE("directories name the remaining hosts after the loss of a zone", "[membership]")
{
    Hosts hosts(65);
    hosts.run(30s);
    std::map<std::string, TimePoint> ends;
    std::vector<int> zone;
    for (int i = 2; i < 65; i += 3)
        zone.push_back(i);
    end(hosts, zone, ends);
    CHECK(countNamedEnded(hosts, ends, 20s) == 0);
    for (const int i : {0, 1})
        CHECK(policy::entrypoints::eligibleHosts(
                  hosts.tables[static_cast<std::size_t>(i)]->confirmed(hosts.now))
                  .size()
              == 65 - zone.size());
}
