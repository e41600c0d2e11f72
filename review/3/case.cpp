// Another writer leaves one large entry among those of the servers, whose name contains blanks.
// Some seconds later the processes of all machines are killed and started again.

#include "deployment.h"
#include "record.h"
#include "server.h"
#include "traffic.h"

#include <csignal>
#include <iostream>
#include <unistd.h>

using namespace review;

namespace {

constexpr std::size_t hostCount = 9;
constexpr std::size_t serverCount = 11;
constexpr int serverConnections = 110;
constexpr std::int64_t recoveryMs = 12000;
constexpr std::int64_t calmMs = 5000;
constexpr std::int64_t beforeKillMs = 5000;
constexpr std::int64_t downMs = 750;
constexpr std::int64_t judgedMs = 10000;
// Below `value_bytes`, the largest value that the store takes.
constexpr std::size_t oddEntryBytes = 1000 * 1000;

struct Served
{
    int sent = 0;
    int answered = 0;

    double share() const { return sent == 0 ? 0 : static_cast<double>(answered) / sent; }
};

Served count(const std::vector<Attempt> &attempts, std::int64_t fromMs, std::int64_t toMs)
{
    Served out;
    for (const auto &it : attempts) {
        if (it.sentMs < fromMs || it.sentMs >= toMs)
            continue;
        ++out.sent;
        out.answered += it.status == 200 ? 1 : 0;
    }
    return out;
}

int runCase()
{
    const auto folder = temporaryFolder();
    // Not destroyed: threads of connections use them until the process ends.
    auto &store = *new Store("127.0.0.1:0");
    auto &executions = *new Executions;
    auto &servers = *new std::vector<std::unique_ptr<Server>>;
    const std::vector<std::string> zones{"lombardia-a", "lombardia-b", "lombardia-c"};
    for (std::size_t i = 0; i < serverCount; ++i) {
        servers.push_back(std::make_unique<Server>(
            ServerParameters{"i-claims-" + std::to_string(i), "claims-desk", "127.0.0.1:0",
                             zones[i % zones.size()], 2, 8, 60},
            store, executions));
    }
    store.put("config", "main",
              makeConfiguration(3,
                                json::array({makeRoute("warranty-claim", "/claims/", "claims-desk",
                                                       true, 4000, 300)}),
                                serverConnections));
    Deployment deployment(hostCount, zones, "lombardia", {}, store.address(), folder);
    if (!deployment.waitUntilReady(20000)) {
        std::cerr << "the hosts are not ready\n";
        return 2;
    }
    Traffic traffic(deployment, {"warranty-claim", "GET", "/claims/", 0, 45, 15, 4000, ""});
    const auto beganMs = nowMs();
    sleepMs(calmMs);
    if (withTrouble()) {
        const std::string name = "copy of i-claims-3";
        store.put("servers", name, {{"dump", std::string(oddEntryBytes, 'x')}});
        record("another writer creates the entry '" + name + "' without the fields of a server, of "
               + std::to_string(oddEntryBytes) + " bytes");
    }
    sleepMs(beforeKillMs);
    const auto killedMs = nowMs();
    record("the processes of all machines are killed");
    for (std::size_t i = 0; i < hostCount; ++i)
        deployment.signal(i, SIGKILL);
    for (std::size_t i = 0; i < hostCount; ++i)
        deployment.waitForEnd(i, 2000);
    sleepMs(downMs);
    for (std::size_t i = 0; i < hostCount; ++i)
        deployment.start(i, false);
    const auto backMs = nowMs();
    record("all machines are back");
    sleepMs(recoveryMs + judgedMs);
    std::size_t ready = 0;
    for (std::size_t i = 0; i < hostCount; ++i)
        ready += deployment.ready(i) ? 1 : 0;
    traffic.stop();
    const auto attempts = traffic.attempts();
    const auto before = count(attempts, beganMs, killedMs);
    const auto after = count(attempts, backMs + recoveryMs, nowMs());
    std::cout << "before the kill " << before.answered << " of " << before.sent
              << " requests served; later than " << recoveryMs << " ms after the machines are back "
              << after.answered << " of " << after.sent << "; machines ready at the end " << ready
              << " of " << hostCount << "\n";
    if (before.share() < 0.25 || after.sent == 0)
        return 2;
    if (after.share() >= 0.25)
        return 0;
    record("BROKEN served " + std::to_string(after.answered) + " of " + std::to_string(after.sent));
    return 1;
}

} // namespace

int main()
{
    int result = 2;
    try {
        openRecord("review/3/record.txt");
        result = runCase();
    } catch (const std::exception &e) {
        std::cerr << e.what() << "\n";
    }
    std::cout.flush();
    ::_exit(result);
}
