#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace fulmar {

using LogFields = std::vector<std::pair<std::string, std::string>>;

// Sends log lines to standard output, each prefixed with time, level and process name. Lines are written by a
// thread of their own; beyond a limit for each event and second they are counted instead, warnings excepted.
// Called once by a program.
void initializeLog(std::string_view processName);
// Writes what waits and ends the log; before the program ends.
void flushLog();

// Writes "event=<event> key=value ..." as one line. Does nothing before initializeLog.
void logInfo(std::string_view event, const LogFields& fields);
void logWarning(std::string_view event, const LogFields& fields);

// "event=<event> key=value ..."; values with spaces, quotes or line ends are quoted and escaped.
[[nodiscard]] std::string formatFields(std::string_view event, const LogFields& fields);

} // namespace fulmar
