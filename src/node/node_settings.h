#pragma once

#include "core/settings.h"
#include "core/types.h"
#include "jobs/job.h"

namespace fulmar::node {

// Settings of the process; `deploy/node.ini` lists all of them.
struct NodeSettings {
    std::string name;
    ZoneId zone;
    // Listening addresses for callers, the load balancer's readiness check, other processes and the metrics
    // scraper. Without one for the check there is no such server; port 0 of the others is any free port.
    std::string callerAddress;
    std::string readinessAddress;
    std::string peerAddress;
    std::string metricsAddress;
    std::string storeAddress;
    // Empty if the platform has no interface for VMs: they are neither moved nor maintained.
    std::string vmsAddress;
    // A change of the configuration must be in force this long after the store has acknowledged it.
    std::chrono::milliseconds configApplyTime { 0 };
    // Longest lease that a runner grants to its tasks.
    std::chrono::milliseconds maxRunnerLease { 0 };
    // Time from the stop signal to the kill.
    std::chrono::milliseconds stopGrace { 0 };
    // How long a move and a maintenance make a VM unavailable.
    std::chrono::milliseconds moveTime { 0 };
    std::chrono::milliseconds maintenanceTime { 0 };
    // VMs are ordered before the next burst of a pool whose bursts return regularly.
    bool isBurstForecastOn { false };
    // Most bytes of a row's value in the store.
    std::size_t maxRowBytes { jobs::defaultMaxRowBytes };
    // Submissions to a holder that cannot be reached go through the store; see submission_row.h.
    bool storeSubmissions { false };
    // How long finished jobs can be queried.
    std::chrono::milliseconds keepFinished { 0 };
    // Limit of open files and sockets.
    std::int64_t maxDescriptors { 0 };
    // Limit of the process's memory in bytes, and the part of it for what clients send and do not read.
    std::size_t maxMemory { std::size_t(160) << 20 };
    std::size_t callersMemory { std::size_t(28) << 20 };
    // Share of the process, in cores.
    double processorShare { 1 };
};

[[nodiscard]] NodeSettings readNodeSettings(SettingsReader&);

} // namespace fulmar::node
