#pragma once

#include "jobs/job.h"

#include <map>
#include <optional>

namespace fulmar::jobs {

using RunnerId = Id<struct RunnerTag>;

// A runner as it last described itself: one life of a VM in a pool, or rather of its agent.
struct RunnerReport {
    RunnerId id;
    VmId vm;
    // "host:port"
    std::string address;
    PoolId pool;
    ZoneId zone;
    // Start of this life in milliseconds since 1970; the same id may be reborn.
    std::int64_t incarnation { 0 };
    bool isDraining { false };
    // Draining: least time until it leaves.
    Millis leavesIn { 0 };
    Resources capacity;
    // Kind and rack.
    std::vector<std::string> labels;
    RackId rack;
    // Time until it has warmed up after its start.
    Millis coldFor { 0 };
};

struct PoolConfig {
    PoolId id;
    // VMs in it are switched off and cost nothing.
    bool isStandby { false };
    // Its runners reject what does not fit.
    bool guardsCapacity { false };
};

struct QueueConfig {
    std::string name;
    std::string host;
    std::string pathPrefix;
    QueuePolicy policy;
    // Longest time a call may take.
    Millis timeout { 0 };
    bool needsAdvice { false };
};

struct FleetConfig {
    std::int64_t version { 0 };
    std::vector<QueueConfig> queues;
    std::vector<PoolConfig> pools;
    std::size_t maxBodyBytes { 0 };
    std::size_t maxHeaderBytes { 0 };
    Millis headerTimeout { 0 };
    Millis idleTimeout { 0 };

    [[nodiscard]] const PoolConfig* pool(const PoolId&) const;
    // The queue with the longest prefix of the path under that host.
    [[nodiscard]] const QueueConfig* queueFor(std::string_view host, std::string_view path) const;
};

// A VM as the machines' interface lists it.
enum class VmState : std::uint8_t {
    Up,
    Moving,
    Maintenance,
    Down,
};

struct VmRecord {
    VmId vm;
    PoolId pool;
    VmState state { VmState::Down };
    ZoneId zone;
    // Runner that lives on it now; may be empty.
    RunnerId runner;
    Resources capacity;
};

// Maintenance that the operator asked for.
struct WaveOrder {
    std::int64_t wave { 0 };
    std::vector<VmId> vms;
    Millis duration { 0 };
    std::uint32_t maxAtOnce { 1 };
};

} // namespace fulmar::jobs
