#pragma once

#include "core/event.h"
#include "core/types.h"
#include "platform/table.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace fulmar::operate {

// What one entry process says of a target.
struct TargetFact {
    VmId vm;
    ServiceId service;
    ZoneId zone;
    std::string state;
    std::uint32_t inFlight { 0 };
    std::uint32_t slots { 0 };
    ProcessId process;
};

struct WorkerFact {
    VmId vm;
    PoolId pool;
    ZoneId zone;
    RackId rack;
    std::string state;
    std::uint32_t tasks { 0 };
    double processors { 0 };
    std::uint64_t memoryMb { 0 };
    std::string reason;
};

struct TaskFact {
    TaskId task;
    JobId job;
    TeamId team;
    PoolId pool;
    std::string state;
    VmId worker;
    std::uint32_t attempts { 0 };
    WallTime since {};
    // Why the task is in this state; for a waiting task, what it waits for.
    std::string reason;
};

struct WaveFact {
    WaveId wave;
    PoolId pool;
    std::string state;
    std::uint32_t done { 0 };
    std::uint32_t total { 0 };
    WallTime since {};
    std::string reason;
};

struct MoveFact {
    OperationId move;
    VmId vm;
    PoolId from;
    PoolId to;
    std::string state;
    WallTime since {};
    std::string reason;
};

struct LeaseFact {
    std::string lease;
    ProcessId holder;
    Epoch epoch { 0 };
    Version version { 0 };
};

struct PeerFact {
    ProcessId process;
    std::string role;
    ZoneId zone;
    std::chrono::milliseconds heardAgo {};
    Version version { 0 };
};

// Everything that a process knows when it answers an operator. The configuration rows are those of its
// replica; facts come from its own duties and from the peers that answered in time.
struct OperatorView {
    const std::map<std::string, Row>& config;
    // Rows under command/ and order/ as last read.
    const std::map<std::string, Row>& commands;
    std::vector<TargetFact> targets {};
    std::vector<WorkerFact> workers {};
    std::vector<TaskFact> tasks {};
    std::vector<WaveFact> waves {};
    std::vector<MoveFact> moves {};
    std::vector<LeaseFact> leases {};
    std::vector<PeerFact> peers {};
    // Events kept by this process and its peers, in causal order.
    std::vector<Event> events {};
    // Version of the configuration, and how old the oldest of these facts may be.
    Version version { 0 };
    std::chrono::milliseconds age {};
    std::vector<ZoneId> missingZones {};
};

} // namespace fulmar::operate
