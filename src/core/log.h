#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace fulmar {

using LogFields = std::vector<std::pair<std::string, std::string>>;

// Starts a thread that writes log lines to standard output, each prefixed with time, level and process name.
// Info lines are limited in number per event and second; the rest are only counted. Called once per program.
void initializeLog(std::string_view processName);
// Writes the lines still queued and ends logging. Called before the program exits.
void flushLog();

// Writes "event=<event> key=value ..." as one line. Does nothing before initializeLog.
void logInfo(std::string_view event, const LogFields& fields);
void logWarning(std::string_view event, const LogFields& fields);

// "event=<event> key=value ..."; values with spaces, quotes or line ends are quoted and escaped.
[[nodiscard]] std::string formatFields(std::string_view event, const LogFields& fields);

} // namespace fulmar
