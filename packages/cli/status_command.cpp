#include "cli/command.h"
#include "cli/fleet_status.h"
#include "cli/options.h"

#include "adapters/curl/blocking.h"
#include "core/result.h"

#include <iostream>
#include <sstream>
#include <string_view>

namespace goldcrestline::cli {

using adapters::curl::HttpClient;
using adapters::curl::Transfer;
using adapters::curl::TransferOutcome;
using nlohmann::json;

namespace {

json readStatus(HttpClient &client, const std::string &control)
{
    Transfer transfer;
    transfer.url = "http://" + control + "/v1/status";
    const auto result = fetch(client, std::move(transfer));
    if (result.outcome != TransferOutcome::Answered)
        return nullptr;
    auto status = json::parse(result.body, nullptr, false);
    return status.is_discarded() ? json(nullptr) : status;
}

// Prints the counters by workspace of a host that forwards the platform's routes; returns whether
// the host at `control` has metrics of such a host.
bool printRouteStatus(HttpClient &client, const std::string &control)
{
    constexpr std::string_view prefix = "goldcrestline_";
    Transfer transfer;
    transfer.url = "http://" + control + "/v1/metrics";
    const auto result = fetch(client, std::move(transfer));
    if (result.outcome != TransferOutcome::Answered)
        return false;
    std::istringstream lines(result.body);
    bool known = false;
    for (std::string line; std::getline(lines, line);) {
        if (!line.starts_with(prefix))
            continue;
        line.erase(0, prefix.size());
        known |= line.starts_with("configuration_version ");
        if (line.starts_with("configuration_version ") || line.starts_with("members ")
            || line.starts_with("requests_") || line.starts_with("workspace_")
            || line.starts_with("quota_"))
            std::cout << line << '\n';
    }
    return known;
}

} // namespace

std::vector<HostReport> readFleetStatus(HttpClient &client, const std::string &control)
{
    std::vector<HostReport> reports;
    const auto first = readStatus(client, control);
    if (!first.is_object() || !first.contains("members"))
        return reports;
    for (const auto &it : first.at("members")) {
        const auto state = it.value("state", "");
        if (state != "alive" && state != "suspect")
            continue;
        const auto address = it.value("control", "");
        reports.push_back({it.value("host", ""), address,
                           address == control ? first : readStatus(client, address)});
    }
    return reports;
}

int runStatus(const Arguments &arguments)
{
    cxxopts::Options options("goldcrestline status", "Shows the state of every host.");
    options.add_options()("host", "control address of any host",
                          cxxopts::value<std::string>())("json", "print JSON");
    int exitCode = 0;
    const auto parsed = parse(options, arguments, exitCode);
    if (!parsed)
        return exitCode;
    if (parsed->count("host") == 0)
        return usageError("--host is missing");
    HttpClient client;
    const auto host = (*parsed)["host"].as<std::string>();
    const auto reports = readFleetStatus(client, host);
    if (reports.empty()) {
        if (parsed->count("json") == 0 && printRouteStatus(client, host))
            return ExitDone;
        std::cerr << core::Error{core::ResultCode::HostUnreachable, host}.text() << '\n';
        return ExitRefused;
    }
    if (parsed->count("json") != 0) {
        json out = json::array();
        for (const auto &it : reports)
            out.push_back({{"host", it.name}, {"control", it.control}, {"status", it.status}});
        std::cout << out.dump() << '\n';
        return ExitDone;
    }
    for (const auto &it : reports) {
        if (it.status.is_null()) {
            std::cout << it.name << "  does not respond at " << it.control << '\n';
            continue;
        }
        std::cout << it.name << "  zone " << it.status.value("zone", "") << "  "
                  << (it.status.value("serving", false) ? "serving" : "not serving")
                  << (it.status.value("leaving", false) ? ", leaving" : "") << "  lists "
                  << it.status.value("lists_revision", 0) << "  servers "
                  << it.status.value("fleet_revision", 0) << "  running "
                  << it.status.value("running", 0) << '\n';
    }
    return ExitDone;
}

} // namespace goldcrestline::cli
