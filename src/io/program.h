#pragma once

#include "core/settings.h"
#include "core/verdict.h"

#include <cstdint>
#include <functional>
#include <string>

namespace fulmar {

// Exit codes of the daemons.
inline constexpr int exitOk = 0;
inline constexpr int exitFailed = 1;
inline constexpr int exitBadUsage = 2;

// Parses `--settings FILE [--check-settings]` and runs the body with the file's reader and whether only the
// settings are to be checked. Returns the process's exit code.
[[nodiscard]] int runDaemon(
    const std::string& name, int argc, char** argv, const std::function<int(SettingsReader&, bool)>& body);

// Prints every problem of the settings and fails, or runs the daemon unless only the settings are to be
// checked.
[[nodiscard]] int runIfSettingsValid(
    SettingsReader&, bool checksOnly, const std::function<Result<void>()>& run);

// Differs at each start of a process: the wall clock in microseconds.
[[nodiscard]] std::uint64_t newIncarnation();

} // namespace fulmar
