#pragma once

#include "core/name_table.h"

#include <cstdint>
#include <string>
#include <string_view>

// Logs through easylogging++: one short line per event with a fixed prefix for each part. Lines go
// to standard output and never block: those past the budget, and those that a slow reader has no
// room for, are left out, counted, and told of by the next line that is written.
namespace goldcrestline::adapters::logging {

enum class Level { Debug, Info, Warning, Error };

inline constexpr core::NameTable<Level, 4> levelNames{{
    {Level::Debug, "debug"},
    {Level::Info, "info"},
    {Level::Warning, "warning"},
    {Level::Error, "error"},
}};

// Sets the lowest level that is printed. Call once, before other threads start.
void configure(Level level);

// Returns the number of lines left out since the start. Thread-safe.
std::uint64_t linesLeftOut();

// The channel of one part. Thread-safe.
class LogChannel
{
public:
    // `prefix` has to outlive the channel.
    explicit constexpr LogChannel(const char *prefix) : m_prefix(prefix) { }

    void debug(std::string_view text) const { write(Level::Debug, text); }
    void info(std::string_view text) const { write(Level::Info, text); }
    void warning(std::string_view text) const { write(Level::Warning, text); }
    void error(std::string_view text) const { write(Level::Error, text); }

private:
    void write(Level level, std::string_view text) const;

    const char *m_prefix;
};

} // namespace goldcrestline::adapters::logging
