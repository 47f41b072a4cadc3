#pragma once

#include "memory_table.h"
#include "vm_list.h"
#include "worker_fleet.h"

#include <random>

namespace fulmar::standin {

struct PlatformOptions {
    Duration listLag { std::chrono::seconds(2) };
    Duration usageLag { std::chrono::seconds(2) };
    Duration rebootTime { std::chrono::seconds(3) };
    std::uint64_t seed { 1 };
};

// Faults of the platform that tests and the control interface switch on and off.
struct PlatformSwitches {
    bool down { false };
    // Added to every reply, after its effect.
    std::chrono::milliseconds slow {};
    // The next writes take effect but their replies are lost.
    std::uint32_t loseNextReplies { 0 };
    // Share of writes whose replies are lost, 0 to 1.
    double loseReplyShare { 0 };
};

struct PlatformCounters {
    std::uint64_t reads { 0 };
    std::uint64_t writes { 0 };
    // Writes that a condition refused.
    std::uint64_t conflicts { 0 };
    std::uint64_t refused { 0 };
    std::uint64_t lostReplies { 0 };
};

// All that the stand-in platform holds. No sockets and no threads; the caller passes the time.
class PlatformState {
public:
    explicit PlatformState(PlatformOptions options = {})
        : vms(options.listLag, options.rebootTime)
        , workers(objects, options.usageLag)
        , m_options(options)
        , m_random(options.seed)
    {
    }
    PlatformState(const PlatformState&) = delete;
    PlatformState& operator=(const PlatformState&) = delete;

    // Reboots the VM, and the worker of the same name with it.
    [[nodiscard]] Result<void> reboot(TimePoint now, const VmId&, const OperationId&);

    // Whether the reply of the write that was just made is to be lost.
    [[nodiscard]] bool takeLostReply();

    MemoryTable table;
    ObjectStore objects;
    VmList vms;
    WorkerFleet workers;
    PlatformSwitches switches;
    PlatformCounters counters;

private:
    PlatformOptions m_options;
    std::mt19937_64 m_random;
};

} // namespace fulmar::standin
