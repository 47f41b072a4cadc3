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
// Invalid options or settings.
inline constexpr int exitBadSettings = 2;

// Parses `--settings FILE [--check-settings]` and calls `body` with the file's reader and whether only to
// check the settings. Returns the exit code.
[[nodiscard]] int runDaemon(
    const std::string& name, int argc, char** argv, const std::function<int(SettingsReader&, bool)>& body);

// Prints all settings errors and fails if there are any; otherwise runs the daemon, or with `checksOnly`
// prints the values that it would replace. Returns the exit code.
[[nodiscard]] int runIfSettingsValid(
    SettingsReader&, bool checksOnly, const std::function<Result<void>()>& run);

// Returns a number for this start of the process: the wall clock in microseconds, so that a later start has a
// higher one.
[[nodiscard]] std::uint64_t newIncarnation();

} // namespace fulmar
