// Names of enumerators: one table per enum class, used for both directions.
#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace zinniabarrow {

template <typename Enum>
struct enum_name
{
    Enum value;
    std::string_view name;
};

template <typename Enum, std::size_t Size>
using name_table = std::array<enum_name<Enum>, Size>;

// Returns the name of `value`, or "unknown" if the table lacks it.
template <typename Enum, std::size_t Size>
constexpr std::string_view nameOf(const name_table<Enum, Size> &table, Enum value)
{
    for (const auto &entry : table) {
        if (entry.value == value)
            return entry.name;
    }
    return "unknown";
}

template <typename Enum, std::size_t Size>
constexpr std::optional<Enum> valueOf(const name_table<Enum, Size> &table, std::string_view name)
{
    for (const auto &entry : table) {
        if (entry.name == name)
            return entry.value;
    }
    return std::nullopt;
}

} // namespace zinniabarrow
