#pragma once

#include <string>
#include <vector>

// The command line's subcommands. Each takes its own arguments and returns the exit code.
namespace goldcrestline::cli {

// Exit codes that scripts can rely on.
enum ExitCode : int {
    ExitDone = 0,
    ExitRefused = 1,
    ExitUsage = 2,
    ExitUnknown = 3,
};

using Arguments = std::vector<std::string>;

int runQuery(const Arguments &arguments);
int runRequest(const Arguments &arguments);
int runEntryPoints(const Arguments &arguments);
int runKeys(const Arguments &arguments);
int runConfig(const Arguments &arguments);
int runStatus(const Arguments &arguments);
int runReport(const Arguments &arguments);
int runLoad(const Arguments &arguments);

} // namespace goldcrestline::cli
