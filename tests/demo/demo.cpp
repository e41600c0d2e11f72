#include "cluster.h"

#include <csignal>
#include <iostream>

// Demonstrates a cluster end to end: queries, a request that runs at most once, a change of the
// lists and a graceful shutdown.
namespace {

using namespace harness;

int failures = 0;

void expect(bool passed, const std::string &what)
{
    std::cout << (passed ? "ok    " : "FAILED ") << what << '\n';
    failures += passed ? 0 : 1;
}

std::string cli()
{
    return programPath("packages/cli/goldcrestline");
}

void showQueries(Cluster &cluster)
{
    constexpr int queries = 5;
    for (int i = 0; i < queries; ++i) {
        const auto &host = cluster.host(static_cast<std::size_t>(i) % cluster.size());
        const auto result = runCommand({cli(), "query", "doorstep-search", "--host", host.callers,
                                        "--customer", "app", "--body", R"({"serial":"LS-20417"})"});
        std::cout << result.output;
        expect(result.exitCode == 0 && result.output.find("10000 of 10000") != std::string::npos,
               "query at " + host.name + " covers every document");
    }
}

void showClaim(Cluster &cluster)
{
    const auto key = cluster.issueKey(0);
    for (const std::size_t n : {1, 2}) {
        const auto result =
            runCommand({cli(), "request", "claims-desk", "--host", cluster.host(n).callers,
                        "--customer", "app", "--key", key, "--body", R"({"claim":"W-118"})"});
        std::cout << result.output;
        expect(result.exitCode == 0, "claim sent to " + cluster.host(n).name);
    }
    expect(cluster.executions("claims-desk")[key] == 1,
           "both requests with the same key executed the claim once");
}

void showListsChange(Cluster &cluster)
{
    auto lists = json::parse(defaultLists());
    lists["customers"]["partner"] = {{"plan", "doorstep"}};
    const auto before = cluster.query(0, "doorstep-search", "{}", 1000, "partner");
    expect(before.status == 403, "an unknown customer is refused");
    const auto result =
        cluster.applyLists(lists.dump(), {"--base", "1", "--host", cluster.host(0).control});
    std::cout << result.output;
    expect(result.exitCode == 0, "the change is in force on every host");
    for (std::size_t n = 0; n < cluster.size(); ++n) {
        const auto after = cluster.query(n, "doorstep-search", "{}", 1000, "partner");
        expect(after.status == 200, "the new customer is served by " + cluster.host(n).name);
    }
}

void showShutdown(Cluster &cluster)
{
    for (std::size_t n = 0; n < cluster.size(); ++n)
        cluster.host(n).process->signal(SIGTERM);
    for (std::size_t n = 0; n < cluster.size(); ++n)
        expect(cluster.host(n).process->wait() == 0, cluster.host(n).name + " stopped gracefully");
}

} // namespace

int main()
{
    try {
        Cluster cluster({});
        std::cout << runCommand({cli(), "status", "--host", cluster.host(0).control}).output;
        showQueries(cluster);
        showClaim(cluster);
        showListsChange(cluster);
        showShutdown(cluster);
    } catch (const std::exception &e) {
        std::cerr << "demo: " << e.what() << '\n';
        return 1;
    }
    std::cout << (failures == 0 ? "all checks passed\n" : "some checks failed\n");
    return failures == 0 ? 0 : 1;
}
