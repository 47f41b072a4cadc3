#pragma once

#include "core/clock.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <utility>
#include <vector>

namespace fulmar {

// One thing wrong with a settings file; `line` is 0 where a key is missing.
struct SettingsError {
    std::string file;
    int line { 0 };
    std::string message;
};

// Reads an INI file and hands out checked values. Every problem is collected, so that all are reported at
// once. Use: load, take every known key, then finish(), which also reports unknown keys.
class SettingsReader {
public:
    static SettingsReader fromText(std::string_view text, std::string fileName);
    // A file that cannot be read yields a reader that reports just that.
    static SettingsReader fromFile(const std::string& path);

    // A missing key without fallback, or a value that does not parse or is out of range, is reported; a
    // fallback is returned in its place.
    [[nodiscard]] std::string takeString(const std::string& section, const std::string& key);
    [[nodiscard]] std::string takeString(
        const std::string& section, const std::string& key, const std::string& fallback);
    [[nodiscard]] std::int64_t takeInteger(const std::string& section, const std::string& key,
        std::int64_t low, std::int64_t high, std::int64_t fallback);
    [[nodiscard]] double takeNumber(
        const std::string& section, const std::string& key, double low, double high, double fallback);
    // Values carry a unit: 250ms, 30s, 5m, 4h, 2d, 80us.
    [[nodiscard]] Duration takeDuration(
        const std::string& section, const std::string& key, Duration low, Duration high, Duration fallback);
    // "host:port" with a numeric IPv4 host.
    [[nodiscard]] std::string takeAddress(const std::string& section, const std::string& key);
    [[nodiscard]] std::string takeAddress(
        const std::string& section, const std::string& key, const std::string& fallback);
    // Comma-separated items, trimmed; empty if the key is absent.
    [[nodiscard]] std::vector<std::string> takeList(const std::string& section, const std::string& key);

    [[nodiscard]] const std::string& file() const { return m_file; }

    // All problems, including keys that nothing has taken.
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

    std::string m_file;
    std::map<Name, Entry> m_entries;
    std::vector<SettingsError> m_errors;
};

// Parses a duration with its unit. The error says what was expected.
[[nodiscard]] tl::expected<Duration, std::string> parseDuration(std::string_view);

[[nodiscard]] std::string formatSettingsError(const SettingsError&);

} // namespace fulmar
