#pragma once

#include "daemon/process_settings.h"
#include "fleet/fleet_settings.h"
#include "work/work_duty.h"

namespace fulmar {

struct ControlSettings {
    ProcessSettings process;
    FleetSettings fleet;
    work::WorkSettings work;
    // How often the zone's reader looks for changed configuration, and for leaving VMs.
    Duration readEvery {};
    Duration listEvery {};
};

// Takes every key of fulmar-control; problems stay in the reader.
[[nodiscard]] ControlSettings readControlSettings(SettingsReader&);

} // namespace fulmar
