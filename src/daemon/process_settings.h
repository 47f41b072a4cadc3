#pragma once

#include "core/settings.h"
#include "peer/membership.h"
#include "platform/http_platform.h"

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
    // Where other processes reach peerAddress.
    std::string advertisedAddress;
    std::vector<std::string> peerSeeds;
    std::string platformAddress;
    std::chrono::milliseconds platformTimeout {};
    // "host:port" for operators, and the operators' addresses.
    std::string operatorAddress;
    std::vector<std::string> operatorsAllowed;
};

// Takes the sections [process], [peers], [platform] and [operators].
[[nodiscard]] ProcessSettings readProcessSettings(SettingsReader&);

[[nodiscard]] PeerInfo describeSelf(const ProcessSettings&, PeerRole, std::uint64_t incarnation);

[[nodiscard]] MembershipSettings membershipOf(const ProcessSettings&);

[[nodiscard]] HttpPlatformOptions platformOf(const ProcessSettings&);

} // namespace fulmar
