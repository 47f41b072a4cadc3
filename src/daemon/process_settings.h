#pragma once

#include "core/settings.h"
#include "peer/membership.h"
#include "platform/http_platform.h"

#include <chrono>
#include <string>
#include <vector>

namespace fulmar {

// Identity, location and addresses of a process: the settings that all daemons share.
struct ProcessSettings {
    ProcessId process;
    VmId vm;
    RegionId region;
    ZoneId zone;
    // "host:port" on which the peer server listens.
    std::string peerAddress;
    // "host:port" at which other processes reach the peer server.
    std::string advertisedAddress;
    std::vector<std::string> peerSeeds;
    std::string platformAddress;
    std::chrono::milliseconds platformTimeout {};
    // "host:port" on which the operators' server listens, and the client addresses that it accepts.
    std::string operatorAddress;
    std::vector<std::string> operatorsAllowed;
};

// Reads the sections [process], [peers], [platform] and [operators].
[[nodiscard]] ProcessSettings readProcessSettings(SettingsReader&);

[[nodiscard]] PeerInfo describeSelf(const ProcessSettings&, PeerRole, std::uint64_t incarnation);

[[nodiscard]] MembershipSettings membershipOf(const ProcessSettings&);

[[nodiscard]] HttpPlatformOptions platformOf(const ProcessSettings&);

} // namespace fulmar
