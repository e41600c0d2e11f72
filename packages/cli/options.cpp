#include "cli/options.h"

#include "core/result.h"

#include <fstream>
#include <iostream>
#include <sstream>

namespace goldcrestline::cli {

std::optional<cxxopts::ParseResult> parse(cxxopts::Options &options, const Arguments &arguments,
                                          int &exitCode)
{
    options.add_options()("help", "print this help");
    std::vector<const char *> argv{"goldcrestline"};
    for (const auto &it : arguments)
        argv.push_back(it.c_str());
    try {
        auto parsed = options.parse(static_cast<int>(argv.size()), argv.data());
        if (parsed.count("help") == 0)
            return parsed;
        std::cout << options.help();
        exitCode = ExitDone;
    } catch (const std::exception &e) {
        exitCode = usageError(e.what());
    }
    return std::nullopt;
}

int usageError(const std::string &detail)
{
    std::cerr << core::Error{core::ResultCode::CommandLine, detail}.text() << '\n';
    return ExitUsage;
}

std::optional<std::string> readFile(const std::string &path)
{
    std::stringstream text;
    if (path == "-") {
        text << std::cin.rdbuf();
        return text.str();
    }
    std::ifstream file(path);
    if (!file)
        return std::nullopt;
    text << file.rdbuf();
    return text.str();
}

} // namespace goldcrestline::cli
