#pragma once

#include <string_view>

namespace fulmar {

// From now on, a line on standard error tells why the process ends before an uncaught exception, a failed
// assertion or a fatal signal ends it; frames of the stack follow a signal. Called once, by the main thread.
void installCrashLog(std::string_view processName);

} // namespace fulmar
