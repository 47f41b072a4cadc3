#pragma once

#include "daemon/process_settings.h"
#include "io/caller_server.h"

#include <chrono>

namespace fulmar {

struct EntrySettings {
    ProcessSettings process;
    CallerServerSettings callers;
    std::chrono::milliseconds targetConnectTimeout {};
    // Larger answers are streamed to the caller instead of buffered.
    std::size_t maxHeldAnswerBytes { 0 };
    // How long the load balancer may keep sending calls after the health check fails.
    std::chrono::milliseconds balancerLag {};
    // Upper bound on how long a graceful stop waits for calls and connections to end.
    std::chrono::milliseconds drainLimit {};
};

// Reads all settings of fulmar-entry. Errors are collected in the SettingsReader.
[[nodiscard]] EntrySettings readEntrySettings(SettingsReader&);

} // namespace fulmar
