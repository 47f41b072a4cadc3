#pragma once

#include "core/settings.h"
#include "daemon/caller_server.h"
#include "peer/messages.h"

#include <chrono>
#include <string>
#include <vector>

namespace fulmar {

// Who and where a process is; the same section in every daemon's settings.
struct ProcessSettings {
    ProcessId process;
    VmId vm;
    RegionId region;
    ZoneId zone;
    // "host:port" for other processes of the system.
    std::string peerAddress;
    std::vector<std::string> peerSeeds;
    std::string platformAddress;
    std::chrono::milliseconds platformTimeout {};
    // "host:port" for operators, and the operators' addresses.
    std::string operatorAddress;
    std::vector<std::string> operatorsAllowed;
};

struct EntrySettings {
    ProcessSettings process;
    CallerServerLimits callers;
    std::chrono::milliseconds targetConnectTimeout {};
    std::size_t maxAnswerBytes { 0 };
    // How long the balancer may go on sending after the health check fails.
    std::chrono::milliseconds balancerLag {};
    // Longest time a graceful stop waits for calls and connections to end.
    std::chrono::milliseconds drainLimit {};
};

// Takes the sections [process], [peers], [platform] and [operators].
[[nodiscard]] ProcessSettings readProcessSettings(SettingsReader&);

// Takes every key of fulmar-entry; problems stay in the reader.
[[nodiscard]] EntrySettings readEntrySettings(SettingsReader&);

} // namespace fulmar
