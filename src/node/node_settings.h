#pragma once

#include "core/settings.h"
#include "core/types.h"

namespace fulmar::node {

// Settings of the process; `deploy/node.ini` shows all of them.
struct NodeSettings {
    std::string name;
    ZoneId zone;
    // Where callers, the balancer's readiness check, other processes and the metrics reader connect.
    std::string callerAddress;
    std::string readinessAddress;
    std::string peerAddress;
    std::string metricsAddress;
    std::string storeAddress;
    std::string vmsAddress;
    // Longest lease that a runner grants to what runs there.
    std::chrono::milliseconds maxRunnerLease { 0 };
    // Time between the order to stop and the kill.
    std::chrono::milliseconds stopGrace { 0 };
    // How long a VM is away for a move and for maintenance.
    std::chrono::milliseconds moveTime { 0 };
    std::chrono::milliseconds maintenanceTime { 0 };
    // How long finished jobs can be asked for.
    std::chrono::milliseconds keepFinished { 0 };
    // Files and sockets that the process may have open.
    std::int64_t maxDescriptors { 0 };
    // Of one core.
    double processorShare { 1 };
};

[[nodiscard]] NodeSettings readNodeSettings(SettingsReader&);

} // namespace fulmar::node
