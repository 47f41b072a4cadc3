#include "daemon/control_settings.h"

namespace fulmar {

using namespace std::chrono_literals;

namespace {

FleetSettings readFleetSettings(SettingsReader& reader)
{
    FleetSettings fleet;
    fleet.shards = std::uint32_t(reader.takeInteger("fleet", "shards", 1, 64, fleet.shards));
    fleet.readEvery = reader.takeDuration("fleet", "read_every", 50ms, 10s, fleet.readEvery);
    fleet.listEvery = reader.takeDuration("fleet", "list_every", 100ms, 1min, fleet.listEvery);
    fleet.listLag = reader.takeDuration("fleet", "list_lag", 0ms, 1h, fleet.listLag);
    fleet.listFreshFor = reader.takeDuration("fleet", "list_fresh_for", 1s, 1h, fleet.listFreshFor);
    fleet.entryVmPrefix = reader.takeString("fleet", "entry_vm_prefix", fleet.entryVmPrefix);
    fleet.rebootMinimum = reader.takeDuration("fleet", "reboot_minimum", 0ms, 1h, fleet.rebootMinimum);
    fleet.returnTimeout = reader.takeDuration("fleet", "return_timeout", 1s, 24h, fleet.returnTimeout);
    fleet.waveStopFailures
        = std::uint32_t(reader.takeInteger("fleet", "wave_stop_failures", 1, 1'000, fleet.waveStopFailures));
    fleet.writesPerSecond
        = std::uint32_t(reader.takeInteger("fleet", "writes_per_second", 1, 1'000, fleet.writesPerSecond));
    return fleet;
}

} // namespace

ControlSettings readControlSettings(SettingsReader& reader)
{
    ControlSettings settings;
    settings.process = readProcessSettings(reader);
    settings.fleet = readFleetSettings(reader);
    settings.readEvery = reader.takeDuration("configuration", "read_every", 50ms, 10s, 400ms);
    settings.listEvery = reader.takeDuration("configuration", "list_every", 100ms, 1min, 1s);
    return settings;
}

} // namespace fulmar
