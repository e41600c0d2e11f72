#pragma once

#include "cli/command.h"

#include <cxxopts.hpp>
#include <optional>

namespace goldcrestline::cli {

// Parses `arguments` by `options`. Prints help or an error and returns nothing if the command has
// nothing more to do; `exitCode` then holds its exit code.
std::optional<cxxopts::ParseResult> parse(cxxopts::Options &options, const Arguments &arguments,
                                          int &exitCode);

// Prints a usage error with its code and returns the exit code.
int usageError(const std::string &detail);

// Reads a file, or standard input for "-". Returns nothing if it cannot be read.
std::optional<std::string> readFile(const std::string &path);

} // namespace goldcrestline::cli
