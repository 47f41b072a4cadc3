#include "core/settings.h"

#include "core/address.h"

#include <array>
#include <charconv>
#include <cstring>
#include <fmt/format.h>
#include <fstream>
#include <ini.h>
#include <iterator>
#include <optional>
#include <sstream>

namespace fulmar {

namespace {

struct Unit {
    std::string_view suffix;
    Duration length;
};

// Longest suffixes first, so that "ms" is not read as "s".
constexpr std::array units {
    Unit { "us", std::chrono::microseconds(1) },
    Unit { "ms", std::chrono::milliseconds(1) },
    Unit { "s", std::chrono::seconds(1) },
    Unit { "m", std::chrono::minutes(1) },
    Unit { "h", std::chrono::hours(1) },
    Unit { "d", std::chrono::hours(24) },
};

template <typename T> std::optional<T> parseNumber(std::string_view text)
{
    T value {};
    auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || end != text.data() + text.size())
        return std::nullopt;
    return value;
}

// Reads a duration of any size, also one that no Duration can hold.
std::optional<double> parseMicroseconds(std::string_view text)
{
    for (const auto& unit : units) {
        if (!text.ends_with(unit.suffix))
            continue;
        if (auto count = parseNumber<double>(text.substr(0, text.size() - unit.suffix.size())))
            return *count * double(unit.length.count());
    }
    return std::nullopt;
}

std::optional<double> parseBytes(std::string_view text)
{
    constexpr std::array<std::pair<std::string_view, double>, 3> sizes { { { "KB", 1024 },
        { "MB", 1024 * 1024 }, { "GB", 1024 * 1024 * 1024 } } };
    for (const auto& [suffix, size] : sizes)
        if (text.ends_with(suffix))
            if (auto count = parseNumber<double>(text.substr(0, text.size() - suffix.size())))
                return *count * size;
    return std::nullopt;
}

std::string_view trimmed(std::string_view text)
{
    constexpr std::string_view blanks = " \t\r";
    auto first = text.find_first_not_of(blanks);
    if (first == std::string_view::npos)
        return {};
    return text.substr(first, text.find_last_not_of(blanks) - first + 1);
}

// Counts lines, as inih's callbacks do not pass line numbers.
struct LineSource {
    std::istringstream text;
    int line { 0 };
};

char* readLine(char* buffer, int size, void* stream)
{
    auto& source = *static_cast<LineSource*>(stream);
    std::string line;
    if (!std::getline(source.text, line))
        return nullptr;
    ++source.line;
    line.resize(std::min(line.size(), static_cast<std::size_t>(size) - 1));
    std::memcpy(buffer, line.c_str(), line.size() + 1);
    return buffer;
}

} // namespace

tl::expected<Duration, std::string> parseDuration(std::string_view text)
{
    for (const auto& unit : units) {
        if (!text.ends_with(unit.suffix))
            continue;
        auto count = parseNumber<std::int64_t>(text.substr(0, text.size() - unit.suffix.size()));
        if (count && *count >= 0 && *count <= Duration::max() / unit.length)
            return *count * unit.length;
        auto fraction = parseNumber<double>(text.substr(0, text.size() - unit.suffix.size()));
        auto max = double(Duration::max().count()) / double(unit.length.count());
        if (!count && fraction && *fraction >= 0 && *fraction < max)
            return Duration(std::int64_t(*fraction * double(unit.length.count())));
    }
    return tl::unexpected(fmt::format("'{}' is not a duration such as 250ms, 30s, 5m, 4h or 2d", text));
}

SettingsReader SettingsReader::fromText(std::string_view text, std::string fileName)
{
    SettingsReader reader;
    reader.m_file = std::move(fileName);
    LineSource source { std::istringstream(std::string(text)), 0 };
    struct Context {
        SettingsReader& reader;
        LineSource& source;
    } context { reader, source };

    auto onValue = [](void* user, const char* section, const char* key, const char* value) {
        auto& [settingsReader, lineSource] = *static_cast<Context*>(user);
        auto [position, isNew]
            = settingsReader.m_entries.try_emplace({ section, key }, Entry { value, lineSource.line, false });
        if (!isNew)
            settingsReader.report(lineSource.line,
                fmt::format("[{}] {} is set twice, first on line {}", section, key, position->second.line));
        return 1;
    };
    if (int line = ini_parse_stream(readLine, &source, onValue, &context); line != 0)
        reader.report(line, "not a section, comment or 'key = value'");
    return reader;
}

SettingsReader SettingsReader::fromFile(const std::string& path)
{
    std::ifstream file(path);
    if (!file) {
        SettingsReader reader;
        reader.m_file = path;
        reader.report(0, "cannot be read");
        return reader;
    }
    return fromText(std::string(std::istreambuf_iterator<char>(file), {}), path);
}

const SettingsReader::Entry* SettingsReader::find(const std::string& section, const std::string& key)
{
    auto position = m_entries.find({ section, key });
    if (position == m_entries.end())
        return nullptr;
    position->second.taken = true;
    return &position->second;
}

void SettingsReader::report(int line, std::string message)
{
    m_errors.push_back({ m_file, line, std::move(message) });
}

std::string SettingsReader::takeString(const std::string& section, const std::string& key)
{
    if (const auto* entry = find(section, key))
        return entry->value;
    report(0, fmt::format("[{}] {} is missing", section, key));
    return {};
}

std::string SettingsReader::takeString(
    const std::string& section, const std::string& key, const std::string& fallback)
{
    const auto* entry = find(section, key);
    return entry ? entry->value : fallback;
}

std::int64_t SettingsReader::takeInteger(const std::string& section, const std::string& key, std::int64_t low,
    std::int64_t high, std::int64_t fallback)
{
    const auto* entry = find(section, key);
    if (!entry)
        return fallback;
    if (auto value = parseNumber<std::int64_t>(entry->value); value && *value >= low && *value <= high)
        return *value;
    report(entry->line,
        fmt::format(
            "[{}] {}: '{}' is not a whole number from {} to {}", section, key, entry->value, low, high));
    return fallback;
}

bool SettingsReader::takeSwitch(const std::string& section, const std::string& key, bool fallback)
{
    const auto* entry = find(section, key);
    if (!entry)
        return fallback;
    if (entry->value == "on" || entry->value == "off")
        return entry->value == "on";
    report(entry->line, fmt::format("[{}] {}: '{}' is neither on nor off", section, key, entry->value));
    return fallback;
}

double SettingsReader::takeNumber(
    const std::string& section, const std::string& key, double low, double high, double fallback)
{
    const auto* entry = find(section, key);
    if (!entry)
        return fallback;
    if (auto value = parseNumber<double>(entry->value); value && *value >= low && *value <= high)
        return *value;
    report(entry->line,
        fmt::format("[{}] {}: '{}' is not a number from {} to {}", section, key, entry->value, low, high));
    return fallback;
}

Duration SettingsReader::takeDuration(
    const std::string& section, const std::string& key, Duration low, Duration high, Duration fallback)
{
    const auto* entry = find(section, key);
    if (!entry)
        return fallback;
    auto value = parseDuration(entry->value);
    if (!value)
        report(entry->line, fmt::format("[{}] {}: {}", section, key, value.error()));
    else if (*value < low || *value > high)
        report(entry->line,
            fmt::format("[{}] {}: '{}' is out of range, from {}us to {}us", section, key, entry->value,
                low.count(), high.count()));
    else
        return *value;
    return fallback;
}

std::string SettingsReader::takeAddress(const std::string& section, const std::string& key)
{
    const auto* entry = find(section, key);
    if (!entry)
        report(0, fmt::format("[{}] {} is missing", section, key));
    return entry ? takeAddress(section, key, std::string()) : std::string();
}

std::string SettingsReader::takeAddress(
    const std::string& section, const std::string& key, const std::string& fallback)
{
    const auto* entry = find(section, key);
    if (!entry)
        return fallback;
    if (!isAddress(entry->value))
        report(entry->line,
            fmt::format("[{}] {}: '{}' is not an IPv4 address and port", section, key, entry->value));
    return entry->value;
}

void SettingsReader::substitute(
    const std::string& section, const std::string& key, const Entry& entry, std::string_view used)
{
    m_substitutions.push_back({ m_file, entry.line,
        fmt::format("[{}] {}: '{}' is not usable; used instead: {}", section, key, entry.value, used) });
}

double SettingsReader::takeNearest(const std::string& section, const std::string& key, ReadNumber read,
    std::string_view unit, double low, double high, double fallback)
{
    const auto* entry = find(section, key);
    if (!entry)
        return fallback;
    auto value = read(entry->value);
    auto isUsable = value && (*value > 0 || (*value == 0 && low <= 0));
    auto used = isUsable ? std::clamp(*value, low, high) : fallback;
    if (!isUsable || used != *value)
        substitute(section, key, *entry, fmt::format("{}{}", used, unit));
    return used;
}

std::int64_t SettingsReader::takeIntegerOrNearest(const std::string& section, const std::string& key,
    std::int64_t low, std::int64_t high, std::int64_t fallback)
{
    return std::int64_t(
        takeNearest(section, key, parseNumber<double>, "", double(low), double(high), double(fallback)));
}

double SettingsReader::takeNumberOrNearest(
    const std::string& section, const std::string& key, double low, double high, double fallback)
{
    return takeNearest(section, key, parseNumber<double>, "", low, high, fallback);
}

std::size_t SettingsReader::takeBytesOrNearest(const std::string& section, const std::string& key,
    std::size_t low, std::size_t high, std::size_t fallback)
{
    return std::size_t(
        takeNearest(section, key, parseBytes, " bytes", double(low), double(high), double(fallback)));
}

Duration SettingsReader::takeDurationOrNearest(
    const std::string& section, const std::string& key, Duration low, Duration high, Duration fallback)
{
    return Duration(std::int64_t(takeNearest(section, key, parseMicroseconds, "us", double(low.count()),
        double(high.count()), double(fallback.count()))));
}

std::string SettingsReader::takeStringOrFallback(
    const std::string& section, const std::string& key, const std::string& fallback)
{
    const auto* entry = find(section, key);
    if (entry && entry->value.empty())
        substitute(section, key, *entry, fallback);
    return entry && !entry->value.empty() ? entry->value : fallback;
}

std::string SettingsReader::takeAddressIfAny(const std::string& section, const std::string& key)
{
    const auto* entry = find(section, key);
    if (!entry)
        return {};
    if (isAddress(entry->value))
        return entry->value;
    substitute(section, key, *entry, "none");
    return {};
}

std::string SettingsReader::takeAddressWith(const std::string& section, const std::string& key,
    const std::string& fallbackHost, std::uint16_t fallbackPort)
{
    const auto* entry = find(section, key);
    if (entry && isAddress(entry->value))
        return entry->value;
    auto [host, port] = splitAddress(entry ? std::string_view(entry->value) : std::string_view());
    auto used = fmt::format("{}:{}", isHost(host) ? host : std::string_view(fallbackHost),
        parsePort(port) ? std::string(port) : std::to_string(fallbackPort));
    if (entry)
        substitute(section, key, *entry, used);
    return used;
}

std::vector<std::string> SettingsReader::takeList(const std::string& section, const std::string& key)
{
    std::vector<std::string> items;
    const auto* entry = find(section, key);
    if (!entry)
        return items;
    std::istringstream text(entry->value);
    for (std::string item; std::getline(text, item, ',');)
        if (auto word = trimmed(item); !word.empty())
            items.emplace_back(word);
    return items;
}

std::vector<SettingsError> SettingsReader::finish()
{
    for (const auto& [name, entry] : m_entries)
        if (!entry.taken)
            report(entry.line, fmt::format("[{}] {} is not a known key", name.first, name.second));
    return std::exchange(m_errors, {});
}

std::string formatSettingsError(const SettingsError& error)
{
    return fmt::format("{}:{}: {}", error.file, error.line, error.message);
}

} // namespace fulmar
