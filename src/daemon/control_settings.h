#pragma once

#include "daemon/process_settings.h"
#include "fleet/fleet_settings.h"
#include "work/work_duty.h"

namespace fulmar {

struct ControlSettings {
    ProcessSettings process;
    FleetSettings fleet;
    work::WorkSettings work;
    // Poll periods of the zone's reader: for configuration rows, and for the platform's VM list.
    Duration readEvery {};
    Duration listEvery {};
};

// Reads all settings of fulmar-control. Errors are collected in the SettingsReader.
[[nodiscard]] ControlSettings readControlSettings(SettingsReader&);

} // namespace fulmar
