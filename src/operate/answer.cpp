#include "operate/answer.h"

#include <algorithm>
#include <array>
#include <fmt/format.h>
#include <fmt/ranges.h>
#include <nlohmann/json.hpp>

namespace fulmar::operate {

namespace {

using Json = nlohmann::json;

// What was never set counts as the beginning of time; nothing in a fleet is older than this.
constexpr std::chrono::milliseconds never = std::chrono::hours(24 * 10'000);

constexpr std::array statuses { AnswerStatus::Ok, AnswerStatus::BadStatement, AnswerStatus::Conflict,
    AnswerStatus::Waiting, AnswerStatus::Unavailable, AnswerStatus::Unknown };
constexpr std::array fieldTypes { FieldType::Text, FieldType::Number, FieldType::Age };

std::string_view toString(FieldType type)
{
    switch (type) {
    case FieldType::Text:
        return "text";
    case FieldType::Number:
        return "number";
    case FieldType::Age:
        return "age";
    }
    return "text";
}

template <typename Values, typename Enum = typename Values::value_type>
Enum enumFrom(const Values& values, const std::string& text)
{
    for (auto value : values)
        if (toString(value) == text)
            return value;
    throw Json::other_error::create(501, "unknown value " + text, nullptr);
}

Json jsonOf(const Cell& cell)
{
    if (const auto* text = std::get_if<std::string>(&cell))
        return *text;
    if (const auto* number = std::get_if<double>(&cell))
        return *number;
    return std::get<std::chrono::milliseconds>(cell).count();
}

Cell cellOf(const Json& value, FieldType type)
{
    if (type == FieldType::Text)
        return value.get<std::string>();
    if (type == FieldType::Number)
        return value.get<double>();
    return std::chrono::milliseconds(value.get<std::int64_t>());
}

std::string textOf(const Cell& cell)
{
    if (const auto* text = std::get_if<std::string>(&cell))
        return *text;
    if (const auto* number = std::get_if<double>(&cell))
        return fmt::format("{}", *number);
    return formatAge(std::get<std::chrono::milliseconds>(cell));
}

// Keeps a table's lines whole whatever a cell holds.
std::string printable(std::string text)
{
    std::replace_if(
        text.begin(), text.end(), [](unsigned char byte) { return byte < ' ' || byte == 0x7f; }, '?');
    return text;
}

std::string formatLine(const std::vector<std::string>& cells, const std::vector<Column>& columns,
    const std::vector<std::size_t>& widths)
{
    std::string line;
    for (std::size_t i = 0; i < cells.size(); ++i) {
        bool alignsRight = columns[i].type != FieldType::Text;
        line += i == 0 ? "" : "  ";
        line += alignsRight ? fmt::format("{:>{}}", cells[i], widths[i])
                            : fmt::format("{:<{}}", cells[i], widths[i]);
    }
    line.erase(line.find_last_not_of(' ') + 1);
    return line + '\n';
}

std::string formatRows(const Answer& answer)
{
    std::vector<std::vector<std::string>> lines(1);
    for (const auto& column : answer.columns)
        lines[0].push_back(column.name);
    for (const auto& row : answer.rows) {
        auto& line = lines.emplace_back();
        for (const auto& cell : row)
            line.push_back(printable(textOf(cell)));
    }
    std::vector<std::size_t> widths(answer.columns.size(), 0);
    for (const auto& line : lines)
        for (std::size_t i = 0; i < line.size(); ++i)
            widths[i] = std::max(widths[i], line[i].size());
    std::string text;
    for (const auto& line : lines)
        text += formatLine(line, answer.columns, widths);
    return text;
}

} // namespace

std::string_view toString(AnswerStatus status)
{
    switch (status) {
    case AnswerStatus::Ok:
        return "ok";
    case AnswerStatus::BadStatement:
        return "bad-statement";
    case AnswerStatus::Conflict:
        return "conflict";
    case AnswerStatus::Waiting:
        return "waiting";
    case AnswerStatus::Unavailable:
        return "unavailable";
    case AnswerStatus::Unknown:
        return "unknown";
    }
    return "unknown";
}

std::string toJson(const Answer& answer)
{
    auto columns = Json::array();
    for (const auto& column : answer.columns)
        columns.push_back({ { "name", column.name }, { "type", toString(column.type) } });
    auto rows = Json::array();
    for (const auto& row : answer.rows) {
        auto& cells = rows.emplace_back(Json::array());
        for (const auto& cell : row)
            cells.push_back(jsonOf(cell));
    }
    auto zones = Json::array();
    for (const auto& zone : answer.missingZones)
        zones.push_back(zone.value());
    return Json {
        { "status", toString(answer.status) },
        { "message", answer.message },
        { "columns", std::move(columns) },
        { "rows", std::move(rows) },
        { "version", answer.version },
        { "ageMs", answer.age.count() },
        { "missingZones", std::move(zones) },
    }
        .dump(-1, ' ', false, Json::error_handler_t::replace);
}

Result<Answer> answerFromJson(const std::string& text)
try {
    auto json = Json::parse(text);
    Answer answer;
    answer.status = enumFrom(statuses, json.at("status").get<std::string>());
    answer.message = json.at("message").get<std::string>();
    answer.version = json.at("version").get<Version>();
    answer.age = std::chrono::milliseconds(json.at("ageMs").get<std::int64_t>());
    for (const auto& zone : json.at("missingZones"))
        answer.missingZones.emplace_back(zone.get<std::string>());
    for (const auto& column : json.at("columns"))
        answer.columns.push_back({ column.at("name").get<std::string>(),
            enumFrom(fieldTypes, column.at("type").get<std::string>()) });
    for (const auto& row : json.at("rows")) {
        if (row.size() != answer.columns.size())
            return notRun(Reason::BadInput, "a row has not as many cells as there are columns");
        auto& cells = answer.rows.emplace_back();
        for (std::size_t i = 0; i < row.size(); ++i)
            cells.push_back(cellOf(row.at(i), answer.columns[i].type));
    }
    return answer;
} catch (const Json::exception& error) {
    return notRun(Reason::BadInput, fmt::format("not an answer: {}", error.what()));
}

std::string formatForPeople(const Answer& answer)
{
    std::string text;
    if (!answer.columns.empty())
        text += formatRows(answer);
    if (!answer.message.empty())
        text += answer.message + '\n';
    if (answer.version == 0)
        return text;
    if (answer.columns.empty())
        return text + fmt::format("(version {})\n", answer.version);
    text += fmt::format(
        "({} rows, version {}, {} old", answer.rows.size(), answer.version, formatAge(answer.age));
    if (!answer.missingZones.empty()) {
        std::vector<std::string> names;
        names.reserve(answer.missingZones.size());
        for (const auto& zone : answer.missingZones)
            names.push_back(zone.value());
        text += fmt::format("; no word from zones {}", fmt::join(names, ", "));
    }
    return text + ")\n";
}

std::string formatAge(std::chrono::milliseconds age)
{
    using namespace std::chrono;
    if (age < milliseconds::zero())
        return "-" + formatAge(-std::max(age, -milliseconds::max()));
    if (age < seconds(1))
        return fmt::format("{}ms", age.count());
    if (age > never)
        return "never";
    auto whole = floor<seconds>(age);
    if (whole < minutes(1))
        return fmt::format("{}s", whole.count());
    if (whole < hours(1))
        return fmt::format("{}m{:02}s", whole / minutes(1), (whole % minutes(1)).count());
    if (whole < days(1))
        return fmt::format("{}h{:02}m", whole / hours(1), whole % hours(1) / minutes(1));
    return fmt::format("{}d{:02}h", whole / days(1), whole % days(1) / hours(1));
}

Answer sentence(AnswerStatus status, std::string message)
{
    Answer answer;
    answer.status = status;
    answer.message = std::move(message);
    return answer;
}

} // namespace fulmar::operate
