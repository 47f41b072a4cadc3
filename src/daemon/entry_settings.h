#pragma once

#include "daemon/process_settings.h"
#include "io/caller_server.h"

#include <chrono>

namespace fulmar {

struct EntrySettings {
    ProcessSettings process;
    CallerServerSettings callers;
    std::chrono::milliseconds targetConnectTimeout {};
    // Larger answers are passed on piece by piece.
    std::size_t maxHeldAnswerBytes { 0 };
    // How long the balancer may go on sending after the health check fails.
    std::chrono::milliseconds balancerLag {};
    // Longest time a graceful stop waits for calls and connections to end.
    std::chrono::milliseconds drainLimit {};
};

// Takes every key of fulmar-entry; problems stay in the reader.
[[nodiscard]] EntrySettings readEntrySettings(SettingsReader&);

} // namespace fulmar
