#include "sizes.h"

#include "adapters/peers/codec.h"
#include "policy/fanout/fanout.h"
#include "policy/idempotency/ledger.h"
#include "policy/membership/member_table.h"

#include <chrono>
#include <fstream>
#include <functional>
#include <iostream>
#include <nlohmann/json.hpp>
#include <unistd.h>

using namespace goldcrestline;
using nlohmann::json;

namespace {

constexpr int hosts = 590;
constexpr int servers = 2900;
constexpr int groups = 1700;
constexpr int keys = 100000;

// Returns the mean time of a call in microseconds.
double microsecondsPerCall(int calls, const std::function<void()> &function)
{
    const auto from = core::Clock::now();
    for (int i = 0; i < calls; ++i)
        function();
    return 1000 * core::toMillis(core::Clock::now() - from) / calls;
}

double residentBytes()
{
    std::ifstream file("/proc/self/statm");
    double total = 0;
    double resident = 0;
    file >> total >> resident;
    return resident * static_cast<double>(sysconf(_SC_PAGESIZE));
}

void print(const std::string &what, double value, const std::string &unit)
{
    std::cout << "| " << what << " | " << value << " | " << unit << " |\n";
}

policy::membership::Member makeMember(int n)
{
    policy::membership::Member it;
    it.name = "host-" + std::to_string(n);
    it.zone = "zone-" + std::to_string(n % 7);
    it.callersAddress = it.controlAddress = it.peersAddress = "10.100.200.30:17001";
    it.incarnation = 1796352189942;
    return it;
}

void printMembership()
{
    policy::membership::MemberTable table(makeMember(0), {}, {}, [](unsigned) { return 0U; });
    std::vector<policy::membership::Member> all;
    for (int n = 1; n < hosts; ++n)
        all.push_back(makeMember(n));
    const auto now = core::TimePoint{} + std::chrono::hours(1);
    const double before = residentBytes();
    table.applyUpdates(all, now);
    print("member table, 590 hosts, resident", (residentBytes() - before) / 1000, "KB");
    const auto messageBytes = [&](bool comparison) {
        ports::Gossip gossip;
        if (comparison)
            gossip.summary = table.summary();
        else
            gossip.members = table.selectUpdates(table.self().zone);
        return static_cast<double>(
            adapters::peers::encode(1, ports::PeerRequest(std::move(gossip))).size());
    };
    print("message with 12 updates", messageBytes(false), "bytes");
    // Each update is sent a limited number of times; after that a message contains only the
    // sender's own record.
    for (int i = 0; i < 4000; ++i)
        table.selectUpdates(table.self().zone);
    print("message without pending updates", messageBytes(false), "bytes");
    print("request of a table comparison", messageBytes(true), "bytes");
    print("one period of the protocol",
          microsecondsPerCall(200,
                              [&] {
                                  table.tick(now);
                                  messageBytes(false);
                              }),
          "us");
}

std::string fleetText()
{
    json fleet{{"revision", 1}, {"services", json::object()}};
    auto &service = fleet["services"]["s"];
    service = {{"sharded", true}, {"servers", json::array()}, {"snapshots", json::array()}};
    for (int n = 0; n < servers; ++n)
        service["servers"].push_back({{"id", "server-" + std::to_string(n)},
                                      {"zone", "zone-1"},
                                      {"address", "10.100.200.30:17001"},
                                      {"group", n % groups},
                                      {"started_at_ms", 1796352189942},
                                      {"connections", 25},
                                      {"state", "live"}});
    json documents = json::object();
    for (int n = 0; n < groups; ++n)
        documents[std::to_string(n)] = 1000;
    service["snapshots"].push_back(
        {{"index_version", 1}, {"shard_map", 1}, {"documents", documents}});
    return fleet.dump();
}

void printFleet()
{
    const auto text = fleetText();
    print("list of 2900 servers and one snapshot of 1700 groups",
          static_cast<double>(text.size()) / 1000, "KB");
    print("parsing that list",
          microsecondsPerCall(5, [&] { policy::routing::parseFleet(text); }) / 1000, "ms");
    const auto fleet = policy::routing::parseFleet(text).value();
    policy::routing::RoutingParameters limits;
    limits.connectionLimit = [](const auto &) { return 2; };
    policy::routing::ServerTable table("zone-1", limits, [](unsigned) { return 0U; });
    const auto now = core::TimePoint{} + std::chrono::hours(1);
    const double before = residentBytes();
    table.update(fleet.services.at("s"), now);
    print("server table, resident", (residentBytes() - before) / 1000, "KB");
    print("choosing a server",
          microsecondsPerCall(200000, [&] { table.pick(7, {}, std::nullopt, now); }), "us");
}

void printFanout()
{
    policy::routing::Snapshot snapshot{{1, 1}, {}};
    for (int n = 0; n < groups; ++n)
        snapshot.documentsByGroup[n] = 1000;
    policy::fanout::AttemptId last = 0;
    policy::fanout::Hooks hooks;
    hooks.pick = [](auto, int, const auto &, auto, auto) { return std::string("server"); };
    hooks.setWaiting = [](auto...) {};
    hooks.mayHedge = [](auto...) { return false; };
    hooks.mayRetry = [](auto...) { return false; };
    hooks.hedgeDelay = [](auto) { return std::chrono::milliseconds(20); };
    hooks.fallbackSnapshot = [](const auto &, auto) { return nullptr; };
    hooks.nextAttempt = [&] { return ++last; };
    const auto now = core::TimePoint{} + std::chrono::hours(1);
    const double took = microsecondsPerCall(20, [&] {
        policy::fanout::Fanout query({"q", 0, {}, now + std::chrono::seconds(1)}, snapshot, hooks);
        for (const auto &action : query.start(now)) {
            const auto &send = std::get<policy::fanout::Send>(action);
            auto verdict = policy::fanout::ReplyVerdict::Ignored;
            query.onReply(send.attempt, {"q", send.group, send.snapshot, 1000, "hit"}, now,
                          verdict);
        }
    });
    print("state machine of one query over 1700 groups", took / 1000, "ms");
    print("the same per group", took / groups, "us");
}

void printLedger()
{
    policy::idempotency::Ledger ledger;
    const double before = residentBytes();
    const std::string digest(64, 'd');
    for (int n = 0; n < keys; ++n) {
        const auto key = std::string(100, 'k') + std::to_string(n);
        ledger.decide(key, digest, 1, 0);
        ledger.complete(key, {core::ResultCode::Ok, "", std::string(100, 'b')});
    }
    print("ledger, each key with a body of 100 bytes", (residentBytes() - before) / keys, "bytes");
}

} // namespace

void printSizes()
{
    std::cout << "| quantity | value | unit |\n|---|---|---|\n";
    printMembership();
    printFleet();
    printFanout();
    printLedger();
}
