#include "daemon/process_settings.h"

namespace fulmar {

using namespace std::chrono_literals;

ProcessSettings readProcessSettings(SettingsReader& reader)
{
    ProcessSettings settings;
    settings.process = ProcessId(reader.takeString("process", "id"));
    settings.vm = VmId(reader.takeString("process", "vm"));
    settings.region = RegionId(reader.takeString("process", "region"));
    settings.zone = ZoneId(reader.takeString("process", "zone"));
    settings.peerAddress = reader.takeAddress("peers", "address");
    settings.advertisedAddress = reader.takeAddress("peers", "advertised_address", settings.peerAddress);
    settings.peerSeeds = reader.takeList("peers", "seeds");
    settings.platformAddress = reader.takeAddress("platform", "address");
    settings.platformTimeout = std::chrono::ceil<std::chrono::milliseconds>(
        reader.takeDuration("platform", "timeout", 50ms, 1min, 2s));
    settings.operatorAddress = reader.takeAddress("operators", "address");
    settings.operatorsAllowed = reader.takeList("operators", "allowed");
    return settings;
}

PeerInfo describeSelf(const ProcessSettings& settings, PeerRole role, std::uint64_t incarnation)
{
    return { settings.process, role, settings.region, settings.zone, settings.advertisedAddress, incarnation,
        settings.vm, false };
}

MembershipSettings membershipOf(const ProcessSettings& settings)
{
    MembershipSettings membership;
    membership.seeds = settings.peerSeeds;
    return membership;
}

HttpPlatformOptions platformOf(const ProcessSettings& settings)
{
    HttpPlatformOptions options { settings.platformAddress };
    options.timeout = settings.platformTimeout;
    return options;
}

} // namespace fulmar
