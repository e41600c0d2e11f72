#include "access.h"

#include "core/hash.h"
#include "daemon/forward/request_admission.h"
#include "platform/configuration.h"

#include <algorithm>
#include <ctime>
#include <iostream>
#include <nlohmann/json.hpp>

using namespace goldcrestline;
using nlohmann::json;

namespace {

constexpr int routes = 1400;
constexpr int workspaces = 1000;
constexpr int keysPerWorkspace = 10;
constexpr int calls = 200000;
constexpr int rounds = 9;

std::string keyOf(int workspace, int key)
{
    return core::sha256Hex(std::to_string(workspace) + "." + std::to_string(key)).substr(0, 40);
}

json makeConfiguration(bool withKeys)
{
    json out{{"version", 1},
             {"services", {{{"name", "s1"}, {"health_path", "/health"}, {"max_connections", 64}}}},
             {"limits",
              {{"max_header_bytes", 16384},
               {"max_body_bytes", 65536},
               {"header_timeout_ms", 3000},
               {"idle_timeout_ms", 15000}}}};
    for (int i = 0; i < routes; ++i) {
        out["routes"].push_back({{"name", "route" + std::to_string(i)},
                                 {"host", "shop.example"},
                                 {"path_prefix", "/route" + std::to_string(i) + "/"},
                                 {"timeout_ms", 2000},
                                 {"target_latency_ms", 300},
                                 {"priority", 1},
                                 {"max_attempts", 2},
                                 {"route_type", "idempotent"},
                                 {"service", "s1"}});
    }
    for (int i = 0; withKeys && i < workspaces; ++i) {
        json workspace{{"name", "workspace-" + std::to_string(i)}};
        for (int k = 0; k < keysPerWorkspace; ++k)
            workspace["api_keys"].push_back(keyOf(i, k));
        out["tenants"].push_back(std::move(workspace));
    }
    return out;
}

// Processor time of this thread in microseconds, which other processes do not lengthen.
double processorMicros()
{
    timespec at{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &at);
    return 1e6 * static_cast<double>(at.tv_sec) + static_cast<double>(at.tv_nsec) / 1e3;
}

// Returns the mean processor time of the admission of a request, which the caller's headers and
// the route table determine.
double microsPerRequest(bool withKeys)
{
    daemon::forward::RequestAdmission::Hooks hooks;
    hooks.random = [] { return 0.5; };
    hooks.configurationProven = [] { return core::BootClock::now() > core::BootTimePoint{}; };
    hooks.describeProof = [] { return std::string(); };
    hooks.forward = [](const daemon::forward::AdmittedRequest &, core::TimePoint) {};
    daemon::forward::RequestAdmission admission(std::move(hooks));
    admission.setRoutes(platform::decodeConfig(makeConfiguration(withKeys)).value());
    adapters::loop::HttpCall call;
    call.request.method = "GET";
    call.request.target = "/route700/x";
    call.request.headers = {{"Host", "shop.example"},
                            {"X-Request-Id", "request-1"},
                            {"X-Deadline-Ms", "800"},
                            {"Authorization", "Token " + keyOf(500, 5)}};
    const auto from = processorMicros();
    for (int i = 0; i < calls; ++i) {
        auto copy = call;
        admission.handle(std::move(copy), core::TimePoint{});
    }
    return (processorMicros() - from) / calls;
}

// Returns the mean processor time of the check before each send.
double microsPerCheck()
{
    daemon::forward::RequestAdmission::Hooks hooks;
    hooks.configurationProven = [] { return core::BootClock::now() > core::BootTimePoint{}; };
    daemon::forward::RequestAdmission admission(std::move(hooks));
    admission.setRoutes(platform::decodeConfig(makeConfiguration(true)).value());
    const auto digest = core::sha256Hex(keyOf(500, 5));
    int allowed = 0;
    const auto from = processorMicros();
    for (int i = 0; i < calls; ++i)
        allowed += admission.accessAllowed(digest) ? 1 : 0;
    return allowed == calls ? (processorMicros() - from) / calls : -1;
}

} // namespace

void printAccess()
{
    std::vector<double> without;
    std::vector<double> with;
    for (int i = 0; i < rounds; ++i) {
        without.push_back(microsPerRequest(false));
        with.push_back(microsPerRequest(true));
    }
    std::sort(without.begin(), without.end());
    std::sort(with.begin(), with.end());
    const auto body = makeConfiguration(true).dump();
    std::vector<double> loads;
    std::vector<double> repeats;
    for (int i = 0; i < rounds; ++i) {
        // The steps in one event: response, route table, copy for other hosts.
        auto from = processorMicros();
        const auto digest = core::sha256Hex(body);
        const auto spec = json::parse(body);
        const auto parsed = processorMicros();
        const auto table = platform::decodeConfig(spec);
        const auto decoded = processorMicros();
        const auto text = platform::withKeyDigests(spec).dump();
        const bool used = table.has_value() && core::stableHash(text) != 0 && !digest.empty();
        const auto end = processorMicros();
        loads.push_back(used ? (end - from) / 1000 : -1);
        if (i == rounds - 1) {
            std::cout << "last load: parse " << (parsed - from) / 1000 << " ms, decode "
                      << (decoded - parsed) / 1000 << " ms, copy for hosts "
                      << (end - decoded) / 1000 << " ms\n\n";
        }
        from = processorMicros();
        repeats.push_back(core::sha256Hex(body).empty() ? -1 : (processorMicros() - from) / 1000);
    }
    std::cout << "| what | value | unit |\n|---|---|---|\n"
              << "| admission of a request without a key | " << without[rounds / 2] << " | us |\n"
              << "| the same with one of 10,000 keys | " << with[rounds / 2] << " | us |\n"
              << "| difference | " << with[rounds / 2] - without[rounds / 2] << " | us |\n"
              << "| check of a key before a send | " << microsPerCheck() << " | us |\n"
              << "| configuration of 1,400 routes and 10,000 keys | "
              << static_cast<double>(body.size()) / 1000 << " | KB |\n"
              << "| its longest load in one event, of " << rounds << " | "
              << *std::max_element(loads.begin(), loads.end()) << " | ms |\n"
              << "| the longest repeated read of it | "
              << *std::max_element(repeats.begin(), repeats.end()) << " | ms |\n";
}
