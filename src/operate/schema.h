#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace fulmar::operate {

// The kinds of things that operators list and count.
enum class Subject : std::uint8_t {
    Vms,
    Pools,
    Services,
    Targets,
    Workers,
    Tasks,
    Jobs,
    Teams,
    Waves,
    Moves,
    Leases,
    Config,
    Peers,
    Commands,
};

enum class FieldType : std::uint8_t {
    Text,
    Number,
    // How long ago something happened, in milliseconds.
    Age,
};

// A column of a subject's table.
struct Field {
    std::string_view name;
    FieldType type { FieldType::Text };
};

[[nodiscard]] std::span<const Subject> allSubjects();

// The subject as it is written in the language.
[[nodiscard]] std::string_view toString(Subject);

// The subject's columns in the order in which they are shown; the first one names the row.
[[nodiscard]] std::span<const Field> fieldsOf(Subject);

// The column's position, or empty if the subject has no such column.
[[nodiscard]] std::optional<std::size_t> fieldIndex(Subject, std::string_view name);

// "vm, pool, state": the names of the subject's columns, for messages.
[[nodiscard]] std::string fieldNames(Subject);

} // namespace fulmar::operate
