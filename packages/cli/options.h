#pragma once

#include "cli/command.h"

#include <cxxopts.hpp>
#include <optional>

namespace goldcrestline::cli {

// Parses `arguments` according to `options` and adds the option --help. After printing the help or
// a usage error, returns nothing and sets `exitCode`.
std::optional<cxxopts::ParseResult> parse(cxxopts::Options &options, const Arguments &arguments,
                                          int &exitCode);

// Prints a usage error with its result code and returns the exit code.
int usageError(const std::string &detail);

// Reads a file, or standard input for "-". Returns nothing if it cannot be read.
std::optional<std::string> readFile(const std::string &path);

} // namespace goldcrestline::cli
