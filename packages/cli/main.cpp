#include "cli/command.h"
#include "cli/options.h"

#include <array>
#include <iostream>
#include <string_view>

namespace goldcrestline::cli {

namespace {

struct Command
{
    std::string_view name;
    std::string_view help;
    int (*run)(const Arguments &);
};

constexpr std::array<Command, 8> commands{{
    {"query", "send a query to a sharded service", runQuery},
    {"request", "send a request that is executed at most once", runRequest},
    {"entry-points", "show the hosts that a caller should use", runEntryPoints},
    {"keys", "get idempotency keys from a host", runKeys},
    {"config", "read, check, change or show the history of the two lists", runConfig},
    {"status", "show every host's state", runStatus},
    {"report", "report the burn rates of the service levels", runReport},
    {"load", "generate load and report latency and coverage", runLoad},
}};

int printHelp()
{
    std::cout << "usage: goldcrestline COMMAND [OPTIONS]\n\ncommands:\n";
    constexpr std::size_t column = 16;
    for (const auto &it : commands) {
        std::cout << "  " << it.name << std::string(column - it.name.size(), ' ') << it.help
                  << '\n';
    }
    std::cout << "\nexit codes: 0 done, 1 refused and not run, 2 usage, 3 outcome unknown\n"
                 "'goldcrestline COMMAND --help' shows a command's options\n";
    return ExitDone;
}

int run(int argc, char **argv)
{
    const Arguments all(argv + 1, argv + argc);
    if (all.empty() || all.front() == "--help" || all.front() == "help")
        return printHelp();
    for (const auto &it : commands) {
        if (it.name == all.front())
            return it.run(Arguments(all.begin() + 1, all.end()));
    }
    return usageError("unknown command '" + all.front() + "'; see goldcrestline --help");
}

} // namespace

} // namespace goldcrestline::cli

int main(int argc, char **argv)
{
    return goldcrestline::cli::run(argc, argv);
}
