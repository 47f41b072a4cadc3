#pragma once

#include "core/types.h"
#include "core/verdict.h"
#include "operate/schema.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace fulmar::operate {

enum class AnswerStatus : std::uint8_t {
    Ok,
    // The statement does not parse, or names something that does not exist or a value out of range.
    BadStatement,
    // Another command overtook this one; nothing was done.
    Conflict,
    // The command is recorded and waits or runs.
    Waiting,
    // Nothing was recorded: the platform's table cannot be reached, or the process is overloaded.
    Unavailable,
    // The command may have been recorded; sending it again with the same id settles that.
    Unknown,
};

[[nodiscard]] std::string_view toString(AnswerStatus);

// A value in an answer's table; ages are shown as "4m12s" to people and as milliseconds in JSON.
using Cell = std::variant<std::string, double, std::chrono::milliseconds>;

struct Column {
    std::string name;
    FieldType type { FieldType::Text };

    bool operator==(const Column&) const = default;
};

// What an operator gets back for a statement.
struct Answer {
    AnswerStatus status { AnswerStatus::Ok };
    // A sentence for people; empty where the table says it all.
    std::string message;
    std::vector<Column> columns;
    std::vector<std::vector<Cell>> rows;
    // The configuration version that the answer was given from; commands may be based on it.
    Version version { 0 };
    // How old the facts in the answer may be.
    std::chrono::milliseconds age {};
    // Zones whose facts are missing because they cannot be reached.
    std::vector<ZoneId> missingZones;

    bool operator==(const Answer&) const = default;
};

[[nodiscard]] std::string toJson(const Answer&);

// Fails with BadInput if the text is not an answer.
[[nodiscard]] Result<Answer> answerFromJson(const std::string& text);

// Aligned columns, then the message and one line on age, version and missing zones.
[[nodiscard]] std::string formatForPeople(const Answer&);

// "850ms", "12s", "4m12s", "3h05m", "2d04h"; "never" for what was never set.
[[nodiscard]] std::string formatAge(std::chrono::milliseconds);

// An answer that consists of a status and a sentence.
[[nodiscard]] Answer sentence(AnswerStatus, std::string message);

} // namespace fulmar::operate
