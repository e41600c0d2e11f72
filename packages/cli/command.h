#pragma once

#include <string>
#include <vector>

// Subcommands of the command line tool. Each parses its own arguments and returns the exit code.
namespace goldcrestline::cli {

// Exit codes of all commands. Scripts depend on the values.
enum ExitCode : int {
    ExitDone = 0,
    // The operation was rejected or not started.
    ExitRefused = 1,
    // Invalid arguments, or a file that cannot be read or written.
    ExitUsage = 2,
    // The operation may or may not have been executed.
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
