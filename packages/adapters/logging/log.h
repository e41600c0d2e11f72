#pragma once

#include "core/name_table.h"

#include <string>
#include <string_view>

// Logs through easylogging++: one short line per event with a fixed prefix for each part.
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
