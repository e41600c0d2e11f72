#pragma once

#include "core/name_table.h"

#include <cstdint>
#include <string>
#include <string_view>

// Logging through easylogging++: one short line per event, with a fixed prefix for each component.
// Control characters are written as \xNN.
// Lines are written to standard output and never block. Lines above the rate limit, and lines that
// do not fit into the pipe because its reader is slow, are dropped and counted; the next written
// line reports their number.
namespace goldcrestline::adapters::logging {

enum class Level { Debug, Info, Warning, Error };

inline constexpr core::NameTable<Level, 4> levelNames{{
    {Level::Debug, "debug"},
    {Level::Info, "info"},
    {Level::Warning, "warning"},
    {Level::Error, "error"},
}};

// Initialises logging and sets the lowest level that is written. Call once, before other threads
// start.
void configure(Level level);

// Returns the number of lines dropped since the start. Thread-safe.
std::uint64_t droppedLines();

// Log channel of one component. Thread-safe.
class LogChannel
{
public:
    // Precondition: `prefix` outlives the channel.
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
