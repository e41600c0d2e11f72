#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>
#include <utility>

// Tables that map enum values to their names in text formats.
namespace goldcrestline::core {

template <typename Enum, std::size_t N>
using NameTable = std::array<std::pair<Enum, std::string_view>, N>;

// Returns the name of `value`, or "unknown". Thread-safe.
template <typename Enum, std::size_t N>
constexpr std::string_view nameIn(const NameTable<Enum, N> &table, Enum value)
{
    for (const auto &it : table) {
        if (it.first == value)
            return it.second;
    }
    return "unknown";
}

// Returns the value with the name `name`, or nothing. Thread-safe.
template <typename Enum, std::size_t N>
constexpr std::optional<Enum> valueIn(const NameTable<Enum, N> &table, std::string_view name)
{
    for (const auto &it : table) {
        if (it.second == name)
            return it.first;
    }
    return std::nullopt;
}

} // namespace goldcrestline::core
