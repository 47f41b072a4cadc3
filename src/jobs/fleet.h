#pragma once

#include "jobs/job.h"
#include "teams/team_config.h"

#include <map>
#include <optional>

namespace fulmar::jobs {

using RunnerId = Id<struct RunnerTag>;

// A runner (the agent on a VM in a pool) as it last described itself; one incarnation of it.
struct RunnerReport {
    RunnerId id;
    VmId vm;
    // "host:port"
    std::string address;
    PoolId pool;
    ZoneId zone;
    // Start time in milliseconds since 1970; tells apart incarnations with the same id.
    std::int64_t incarnation { 0 };
    bool isDraining { false };
    // If draining: least time until it leaves.
    Millis leavesIn { 0 };
    Resources capacity;
    // Machine kind and rack.
    std::vector<std::string> labels;
    RackId rack;
    // Remaining warm-up time.
    Millis remainingWarmUp { 0 };
};

struct PoolConfig {
    PoolId id;
    // VMs in this pool are switched off and cost nothing.
    bool isStandby { false };
    // Its runners reject tasks that exceed their free capacity.
    bool enforcesCapacity { false };
};

struct QueueConfig {
    std::string name;
    std::string host;
    std::string pathPrefix;
    QueuePolicy policy;
    // Longest time that a call may take.
    Millis timeout { 0 };
    // The queue has an adviser, which issues a ticket for each start. Not evaluated.
    bool needsAdvice { false };
    // Calls need no key of a team.
    bool isPublic { false };
};

struct FleetConfig {
    std::int64_t version { 0 };
    std::vector<QueueConfig> queues;
    std::vector<PoolConfig> pools;
    // Empty if the deployment has no teams: calls then need no key, and nothing is limited or shared by team.
    std::optional<std::vector<teams::TeamConfig>> teams;
    std::size_t maxBodyBytes { 0 };
    std::size_t maxHeaderBytes { 0 };
    Millis headerTimeout { 0 };
    Millis idleTimeout { 0 };

    [[nodiscard]] const PoolConfig* pool(const PoolId&) const;
    // The queue of that host with the longest prefix of the path.
    [[nodiscard]] const QueueConfig* queueFor(std::string_view host, std::string_view path) const;
};

// State of a VM in the platform's VM list.
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
    // Runner on this VM now; may be empty.
    RunnerId runner;
    Resources capacity;
};

// Maintenance ordered by the operator.
struct WaveOrder {
    std::int64_t wave { 0 };
    std::vector<VmId> vms;
    Millis duration { 0 };
    std::uint32_t maxAtOnce { 1 };
};

} // namespace fulmar::jobs
