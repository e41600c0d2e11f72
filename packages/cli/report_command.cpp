#include "cli/burn_report.h"
#include "cli/command.h"
#include "cli/options.h"

#include "core/result.h"

#include <fstream>
#include <iostream>

namespace goldcrestline::cli {

int runReport(const Arguments &arguments)
{
    cxxopts::Options options("goldcrestline report",
                             "Reports the burn rates of the service levels.");
    options.add_options()("kind", "burn", cxxopts::value<std::string>()->default_value("burn"))(
        "host", "control address of any host",
        cxxopts::value<std::string>())("html", "write an HTML page to this file",
                                       cxxopts::value<std::string>())("json", "print JSON");
    options.parse_positional({"kind"});
    options.positional_help("burn");
    int exitCode = 0;
    const auto parsed = parse(options, arguments, exitCode);
    if (!parsed)
        return exitCode;
    if ((*parsed)["kind"].as<std::string>() != "burn")
        return usageError("the kind of report must be burn");
    if (parsed->count("host") == 0)
        return usageError("--host is missing");
    adapters::curl::HttpClient client;
    const auto host = (*parsed)["host"].as<std::string>();
    const auto hosts = readFleetStatus(client, host);
    if (hosts.empty()) {
        std::cerr << core::Error{core::ResultCode::HostUnreachable, host}.text() << '\n';
        return ExitRefused;
    }
    const auto rows = sumBurn(hosts);
    if (parsed->count("html") != 0) {
        const auto path = (*parsed)["html"].as<std::string>();
        std::ofstream file(path);
        file << burnPage(rows, hosts.size());
        if (!file.flush())
            return usageError("cannot write " + path);
        return ExitDone;
    }
    if (parsed->count("json") != 0) {
        std::cout << burnJson(rows).dump() << '\n';
    } else {
        std::cout << burnTable(rows);
    }
    return ExitDone;
}

} // namespace goldcrestline::cli
