#pragma once

#include "core/clock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <utility>
#include <vector>

namespace fulmar {

// An error in a settings file; `line` is 0 if a key is missing or the file cannot be read.
struct SettingsError {
    std::string file;
    int line { 0 };
    std::string message;
};

// Reads and validates the values of an INI file. Load the file, take every known key, then call finish(),
// which returns all errors at once, including unknown keys.
class SettingsReader {
public:
    static SettingsReader fromText(std::string_view text, std::string fileName);
    // If the file cannot be read, finish() reports that.
    static SettingsReader fromFile(const std::string& path);

    // A required key that is missing, or a value that does not parse or is out of range, is reported, and the
    // fallback or an empty value is returned.
    [[nodiscard]] std::string takeString(const std::string& section, const std::string& key);
    [[nodiscard]] std::string takeString(
        const std::string& section, const std::string& key, const std::string& fallback);
    [[nodiscard]] std::int64_t takeInteger(const std::string& section, const std::string& key,
        std::int64_t low, std::int64_t high, std::int64_t fallback);
    [[nodiscard]] double takeNumber(
        const std::string& section, const std::string& key, double low, double high, double fallback);
    // "on" or "off".
    [[nodiscard]] bool takeSwitch(const std::string& section, const std::string& key, bool fallback);
    // Values need a unit: 80us, 250ms, 30s, 5m, 4h, 2d.
    [[nodiscard]] Duration takeDuration(
        const std::string& section, const std::string& key, Duration low, Duration high, Duration fallback);
    // "host:port" with a numeric IPv4 host. An invalid address is reported and returned unchanged.
    [[nodiscard]] std::string takeAddress(const std::string& section, const std::string& key);
    [[nodiscard]] std::string takeAddress(
        const std::string& section, const std::string& key, const std::string& fallback);

    // For values that the platform fills in: it may have none, or one that this process cannot use, and
    // neither keeps the process from serving. A value that is empty or not a number, or not positive where
    // `low` is, is replaced by the fallback, one out of range by the nearest in range. See substitutions().
    [[nodiscard]] std::int64_t takeIntegerOrNearest(const std::string& section, const std::string& key,
        std::int64_t low, std::int64_t high, std::int64_t fallback);
    [[nodiscard]] double takeNumberOrNearest(
        const std::string& section, const std::string& key, double low, double high, double fallback);
    // Bytes, with a unit: 512KB, 160MB, 2GB.
    [[nodiscard]] std::size_t takeBytesOrNearest(const std::string& section, const std::string& key,
        std::size_t low, std::size_t high, std::size_t fallback);
    [[nodiscard]] Duration takeDurationOrNearest(
        const std::string& section, const std::string& key, Duration low, Duration high, Duration fallback);
    [[nodiscard]] std::string takeStringOrFallback(
        const std::string& section, const std::string& key, const std::string& fallback);
    // Empty if the value is no address.
    [[nodiscard]] std::string takeAddressIfAny(const std::string& section, const std::string& key);
    // Replaces a host that is no IPv4 address and a port that is none.
    [[nodiscard]] std::string takeAddressWith(const std::string& section, const std::string& key,
        const std::string& fallbackHost, std::uint16_t fallbackPort);

    // Comma-separated items, trimmed; an absent key gives an empty list.
    [[nodiscard]] std::vector<std::string> takeList(const std::string& section, const std::string& key);

    [[nodiscard]] const std::string& file() const { return m_file; }

    // The replaced values, with what is used instead; no errors.
    [[nodiscard]] const std::vector<SettingsError>& substitutions() const { return m_substitutions; }

    // Returns all errors, including one for each key that was not taken.
    [[nodiscard]] std::vector<SettingsError> finish();

private:
    struct Entry {
        std::string value;
        int line { 0 };
        bool taken { false };
    };
    using Name = std::pair<std::string, std::string>;

    const Entry* find(const std::string& section, const std::string& key);
    void report(int line, std::string message);
    // `used` describes what is used instead of the entry's value.
    void substitute(const std::string& section, const std::string& key, const Entry&, std::string_view used);
    using ReadNumber = std::optional<double> (*)(std::string_view);
    // `unit` is that of the numbers that `read` returns.
    double takeNearest(const std::string& section, const std::string& key, ReadNumber read,
        std::string_view unit, double low, double high, double fallback);

    std::string m_file;
    std::map<Name, Entry> m_entries;
    std::vector<SettingsError> m_errors;
    std::vector<SettingsError> m_substitutions;
};

// The error says which formats are valid.
[[nodiscard]] tl::expected<Duration, std::string> parseDuration(std::string_view);

[[nodiscard]] std::string formatSettingsError(const SettingsError&);

} // namespace fulmar
