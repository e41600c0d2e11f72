#include "large_entries.h"

#include "routed_cluster.h"

#include <algorithm>
#include <fstream>
#include <iostream>
#include <thread>

using namespace harness;

namespace {

using Clock = std::chrono::steady_clock;

constexpr std::size_t entryBytes = 1000000;
constexpr int writers = 8;
constexpr double maxSeconds = 60;
const std::string server = "i-single-0";

double secondsSince(Clock::time_point from)
{
    return std::chrono::duration<double>(Clock::now() - from).count();
}

double peakMegabytes(pid_t pid)
{
    std::ifstream file("/proc/" + std::to_string(pid) + "/status");
    std::string word;
    double kilobytes = 0;
    while (file >> word) {
        if (word == "VmHWM:")
            file >> kilobytes;
    }
    return kilobytes / 1024;
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
        out.peakMegabytes = std::max(out.peakMegabytes, peakMegabytes(process.pid()));
    }
    return out;
}

void createEntries(const RoutedCluster &cluster, int count)
{
    std::vector<std::thread> threads;
    for (int first = 0; first < writers; ++first) {
        threads.emplace_back([&cluster, first, count] {
            for (int i = first; i < count; i += writers) {
                cluster.createStored("servers", "note-" + std::to_string(i),
                                     {{"note", std::string(entryBytes, 'x')}});
            }
        });
    }
    for (auto &it : threads)
        it.join();
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
        createEntries(cluster, entries);
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
