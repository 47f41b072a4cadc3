#include "operate/assignments.h"

#include "core/settings.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <fmt/format.h>
#include <fmt/ranges.h>

namespace fulmar::operate {

namespace {

constexpr std::uint64_t megabytesPerGigabyte = 1024;
constexpr std::uint64_t maxMegabytes = 1ULL << 40;
constexpr double maxNumber = 1e9;

template <typename T> std::optional<T> parseNumber(std::string_view text)
{
    T value {};
    auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || end != text.data() + text.size())
        return std::nullopt;
    return value;
}

std::optional<double> parseAmount(std::string_view text)
{
    auto value = parseNumber<double>(text);
    if (!value || !std::isfinite(*value) || *value < 0 || *value > maxNumber)
        return std::nullopt;
    return value;
}

} // namespace

const Word* AssignmentReader::find(const char* name)
{
    m_known.emplace_back(name);
    const Word* found = nullptr;
    for (const auto& [field, value] : m_assignments) {
        if (field.text != name)
            continue;
        if (found)
            expected(field, fmt::format("{} only once", name));
        found = &value;
    }
    return found;
}

void AssignmentReader::expected(const Word& word, std::string what)
{
    if (!m_error || word.column < m_error->column)
        m_error = SyntaxError { word.column, std::move(what) };
}

void AssignmentReader::take(const char* name, std::optional<std::uint32_t>& value)
{
    const auto* word = find(name);
    if (!word)
        return;
    value = parseNumber<std::uint32_t>(word->text);
    if (!value)
        expected(*word, "a whole number");
}

void AssignmentReader::take(const char* name, std::optional<double>& value)
{
    const auto* word = find(name);
    if (!word)
        return;
    value = parseAmount(word->text);
    if (!value)
        expected(*word, "a number of 0 or more");
}

void AssignmentReader::take(const char* name, std::optional<bool>& value)
{
    const auto* word = find(name);
    if (!word)
        return;
    if (word->text != "yes" && word->text != "no")
        expected(*word, "yes or no");
    value = word->text == "yes";
}

void AssignmentReader::takeShare(const char* name, std::optional<double>& value)
{
    const auto* word = find(name);
    if (!word)
        return;
    std::string_view text = word->text;
    bool isPercent = text.ends_with('%');
    if (isPercent)
        text.remove_suffix(1);
    value = parseAmount(text);
    if (value && isPercent)
        value = *value / 100;
    if (!value || *value > 1)
        expected(*word, "a share from 0 to 1, or from 0% to 100%");
}

void AssignmentReader::takeMemory(const char* name, std::optional<std::uint64_t>& megabytes)
{
    const auto* word = find(name);
    if (!word)
        return;
    std::string_view text = word->text;
    std::uint64_t unit = text.ends_with("GB") ? megabytesPerGigabyte : text.ends_with("MB") ? 1 : 0;
    auto count = unit == 0 ? std::nullopt : parseNumber<std::uint64_t>(text.substr(0, text.size() - 2));
    if (count && *count <= maxMegabytes / unit)
        megabytes = *count * unit;
    else
        expected(*word, "a size with its unit, as 512MB or 64GB");
}

void AssignmentReader::takeDuration(const char* name, std::optional<std::chrono::milliseconds>& value)
{
    const auto* word = find(name);
    if (!word)
        return;
    if (auto duration = parseDuration(word->text); duration && *duration >= Duration::zero())
        value = std::chrono::duration_cast<std::chrono::milliseconds>(*duration);
    else
        expected(*word, "a duration with its unit, as 250ms, 30s or 5m");
}

std::optional<SyntaxError> AssignmentReader::finish() const
{
    for (const auto& [field, value] : m_assignments)
        if (std::find(m_known.begin(), m_known.end(), field.text) == m_known.end())
            return SyntaxError { field.column, fmt::format("one of {}", fmt::join(m_known, ", ")) };
    return m_error;
}

} // namespace fulmar::operate
