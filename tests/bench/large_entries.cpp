#include "large_entries.h"

#include "routed_cluster.h"

#include <algorithm>
#include <iostream>
#include <thread>

using namespace harness;

namespace {

using Clock = std::chrono::steady_clock;

constexpr std::size_t entryBytes = 1000000;
constexpr double maxSeconds = 60;
const std::string server = "i-single-0";

double secondsSince(Clock::time_point from)
{
    return std::chrono::duration<double>(Clock::now() - from).count();
}

// Totals over all hosts, and the largest peak of memory.
struct Use
{
    double storeCalls = 0;
    double storeMegabytes = 0;
    double processorSeconds = 0;
    double peakMegabytes = 0;
};

Use useOf(const RoutedCluster &cluster)
{
    Use out;
    for (std::size_t n = 0; n < cluster.size(); ++n) {
        const auto &process = *cluster.host(n).process;
        out.storeCalls += cluster.metric(n, "store_calls_total");
        out.storeMegabytes += cluster.metric(n, "store_bytes_total") / 1e6;
        out.processorSeconds += process.processorSeconds();
        out.peakMegabytes =
            std::max(out.peakMegabytes, static_cast<double>(process.peakMemoryBytes()) / (1 << 20));
    }
    return out;
}

// Returns the time until the last host logs that the server is leaving.
double secondsUntilKnown(const RoutedCluster &cluster)
{
    const auto from = Clock::now();
    for (std::size_t n = 0; n < cluster.size(); ++n) {
        while (cluster.host(n).process->output().find("leaving id=" + server)
               == std::string::npos) {
            if (secondsSince(from) > maxSeconds)
                return maxSeconds;
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
        }
    }
    return secondsSince(from);
}

} // namespace

void printLargeEntries()
{
    std::cout
        << "| entries of 1 MB | written in s | known after s | store calls | MB read | processor s "
           "| peak MB a host, before | after |\n|---|---|---|---|---|---|---|---|\n";
    for (const int entries : {0, 10, 100, 400}) {
        RoutedCluster cluster(3);
        cluster.setPlatform({{"page_size", 1}});
        const auto before = useOf(cluster);
        const auto from = Clock::now();
        cluster.createLargeEntries("servers", entries, entryBytes);
        const double written = secondsSince(from);
        cluster.setBackends({{"id", server}, {"state", "draining"}});
        const double known = secondsUntilKnown(cluster);
        const auto after = useOf(cluster);
        std::cout << "| " << entries << " | " << written << " | " << known << " | "
                  << after.storeCalls - before.storeCalls << " | "
                  << after.storeMegabytes - before.storeMegabytes << " | "
                  << after.processorSeconds - before.processorSeconds << " | "
                  << before.peakMegabytes << " | " << after.peakMegabytes << " |" << std::endl;
    }
}
