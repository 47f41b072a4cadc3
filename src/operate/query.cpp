#include "operate/query.h"

#include "core/settings.h"
#include "operate/subject_rows.h"

#include <algorithm>
#include <charconv>
#include <fmt/format.h>
#include <map>

namespace fulmar::operate {

namespace {

using Line = std::vector<Cell>;

// A filter whose value has the type of its column.
struct TypedFilter {
    std::size_t column { 0 };
    Comparison comparison { Comparison::Equal };
    Cell value;
    std::string text;
};

tl::expected<Cell, std::string> cellFrom(const std::string& text, FieldType type)
{
    if (type == FieldType::Text)
        return text;
    if (type == FieldType::Number) {
        double number = 0;
        const char* last = text.data() + text.size();
        auto [end, error] = std::from_chars(text.data(), last, number);
        if (error != std::errc() || end != last)
            return tl::unexpected(std::string("a number"));
        return number;
    }
    auto duration = parseDuration(text);
    if (!duration)
        return tl::unexpected(std::string("a duration with its unit, as 30s or 10m"));
    return std::chrono::duration_cast<std::chrono::milliseconds>(*duration);
}

tl::expected<std::vector<TypedFilter>, std::string> typedFilters(const Query& query)
{
    std::vector<TypedFilter> filters;
    for (const auto& filter : query.filters) {
        auto column = fieldIndex(query.subject, filter.field);
        if (!column)
            return tl::unexpected(fmt::format("{} have no column {}; expected one of {}",
                toString(query.subject), filter.field, fieldNames(query.subject)));
        auto type = filter.comparison == Comparison::Contains ? FieldType::Text
                                                              : fieldsOf(query.subject)[*column].type;
        auto value = cellFrom(filter.value, type);
        if (!value)
            return tl::unexpected(
                fmt::format("{} = \"{}\": expected {}", filter.field, filter.value, value.error()));
        filters.push_back({ *column, filter.comparison, std::move(*value), filter.value });
    }
    return filters;
}

bool contains(const Cell& cell, const std::string& text)
{
    if (const auto* whole = std::get_if<std::string>(&cell))
        return whole->find(text) != std::string::npos;
    if (const auto* number = std::get_if<double>(&cell))
        return fmt::format("{}", *number).find(text) != std::string::npos;
    return formatAge(std::get<std::chrono::milliseconds>(cell)).find(text) != std::string::npos;
}

bool passes(const Line& line, const TypedFilter& filter)
{
    const auto& cell = line[filter.column];
    switch (filter.comparison) {
    case Comparison::Equal:
        return cell == filter.value;
    case Comparison::NotEqual:
        return cell != filter.value;
    case Comparison::Less:
        return cell < filter.value;
    case Comparison::LessOrEqual:
        return cell <= filter.value;
    case Comparison::Greater:
        return cell > filter.value;
    case Comparison::GreaterOrEqual:
        return cell >= filter.value;
    case Comparison::Contains:
        return contains(cell, filter.text);
    }
    return false;
}

// Rows of equal rank keep the order of their names.
void sortRows(std::vector<Line>& rows, std::size_t column, bool descending)
{
    std::stable_sort(rows.begin(), rows.end(), [&](const Line& left, const Line& right) {
        return descending ? right[column] < left[column] : left[column] < right[column];
    });
}

Answer countRows(const Query& query, const std::vector<Line>& rows)
{
    Answer answer;
    if (query.groupBy.empty()) {
        answer.columns = { { "count", FieldType::Number } };
        answer.rows = { { double(rows.size()) } };
        return answer;
    }
    auto column = *fieldIndex(query.subject, query.groupBy);
    std::map<Cell, std::size_t> counts;
    for (const auto& row : rows)
        ++counts[row[column]];
    answer.columns
        = { { query.groupBy, fieldsOf(query.subject)[column].type }, { "count", FieldType::Number } };
    for (const auto& [value, count] : counts)
        answer.rows.push_back({ value, double(count) });
    return answer;
}

Answer listRows(const Query& query, std::vector<Line> rows)
{
    Answer answer;
    for (const auto& field : fieldsOf(query.subject))
        answer.columns.push_back({ std::string(field.name), field.type });
    if (query.order)
        sortRows(rows, *fieldIndex(query.subject, query.order->field), query.order->descending);
    auto limit = query.limit.value_or(defaultRowLimit);
    if (rows.size() > limit) {
        answer.message = fmt::format("{} of {} rows", limit, rows.size());
        rows.resize(limit);
    }
    answer.rows = std::move(rows);
    return answer;
}

bool hasField(Subject subject, const std::string& name)
{
    return name.empty() || fieldIndex(subject, name).has_value();
}

} // namespace

Answer runQuery(const Query& query, const OperatorView& view, WallTime now)
{
    auto filters = typedFilters(query);
    if (!filters)
        return sentence(AnswerStatus::BadStatement, filters.error());
    if (!hasField(query.subject, query.groupBy)
        || (query.order && !hasField(query.subject, query.order->field)))
        return sentence(AnswerStatus::BadStatement, "expected one of " + fieldNames(query.subject));

    auto rows = rowsOf(query.subject, view, now);
    std::erase_if(rows, [&](const Line& line) {
        return !std::all_of(filters->begin(), filters->end(),
            [&](const TypedFilter& filter) { return passes(line, filter); });
    });
    return query.count ? countRows(query, rows) : listRows(query, std::move(rows));
}

} // namespace fulmar::operate
