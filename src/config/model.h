#pragma once

#include "core/clock.h"
#include "core/types.h"
#include "core/verdict.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace fulmar {

// Key prefixes of the platform's table. Rows under configPrefix, which includes vmPrefix, are distributed to
// all processes.
namespace keys {
inline constexpr auto servicePrefix = "config/service/";
inline constexpr auto poolPrefix = "config/pool/";
inline constexpr auto teamPrefix = "config/team/";
inline constexpr auto jobPrefix = "config/job/";
inline constexpr auto configPrefix = "config/";
inline constexpr auto vmPrefix = "config/vm/";
inline constexpr auto leasePrefix = "lease/";
inline constexpr auto entryPrefix = "config/entry/";
inline constexpr auto requestKeyPrefix = "key/";
inline constexpr auto taskPrefix = "task/";
inline constexpr auto wavePrefix = "wave/";
inline constexpr auto commandPrefix = "command/";
inline constexpr auto intentPrefix = "intent/";
} // namespace keys

// Request policy of a service and the limits that protect its pool.
struct ServiceConfig {
    ServiceId service;
    PoolId pool;
    // Idempotent methods besides those of RFC 9110.
    std::vector<std::string> idempotentMethods;
    // Concurrent calls per target.
    std::uint32_t slotsPerTarget { 8 };
    std::uint32_t connectionsPerTarget { 64 };
    // Calls that may wait for a slot, per entry VM.
    std::uint32_t queueLimit { 256 };
    std::chrono::milliseconds defaultTimeout { 10'000 };
    // Retry budget as a share of first attempts, 0 to 1.
    double retryShare { 0.1 };
};

// Availability budget of a pool, and whether it is the spare pool.
struct PoolConfig {
    PoolId pool;
    // Share of the pool's VMs that may be unavailable at once for any reason, 0 to 1.
    double unavailableShare { 0.1 };
    // The same for the VMs of one rack and of one zone, also as a share of the pool.
    double unavailableSharePerRack { 0.1 };
    double unavailableSharePerZone { 0.1 };
    // The spare pool lends VMs to the other pools.
    bool isSpare { false };
};

struct TeamConfig {
    TeamId team;
    // Quota; processors may be fractional.
    double processors { 0 };
    std::uint64_t memoryMb { 0 };
    std::uint32_t accelerators { 0 };
};

// A job that runs in a pool; each of its runs is a task.
struct JobConfig {
    JobId job;
    PoolId pool;
    TeamId team;
    double processors { 1 };
    std::uint64_t memoryMb { 1024 };
    std::uint32_t accelerators { 0 };
    std::chrono::seconds expectedRunTime { 60 };
    // A run may be evicted and run again.
    bool idempotent { true };
    // Runs are placed before others and not preempted.
    bool urgent { false };
};

enum class VmState : std::uint8_t {
    Serving,
    // Draining: gets no new work; work in flight completes.
    Leaving,
    Maintenance,
    Failed,
};

// A VM's row; the authoritative record of its pool.
struct VmRecord {
    VmId vm;
    PoolId pool;
    VmState state { VmState::Serving };
    // "host:port" where the VM's service listens.
    std::string address;
    RegionId region;
    ZoneId zone;
    RackId rack;
    // Increases with each change of the VM's pool or state.
    Epoch epoch { 0 };
    // Reason for the state, with the command, move or wave that caused it.
    std::string cause;
    WallTime since {};
    WallTime lastMaintained {};
};

[[nodiscard]] std::string_view toString(VmState);

// Encodes a row's value as JSON.
[[nodiscard]] std::string encode(const ServiceConfig&);
[[nodiscard]] std::string encode(const PoolConfig&);
[[nodiscard]] std::string encode(const TeamConfig&);
[[nodiscard]] std::string encode(const JobConfig&);
[[nodiscard]] std::string encode(const VmRecord&);

// Decodes a row's value; the error (BadInput, NotRun) lists all unknown fields, wrong types and values out of
// range.
template <typename T> [[nodiscard]] Result<T> decode(const std::string& text);
template <> Result<ServiceConfig> decode(const std::string& text);
template <> Result<PoolConfig> decode(const std::string& text);
template <> Result<TeamConfig> decode(const std::string& text);
template <> Result<JobConfig> decode(const std::string& text);
template <> Result<VmRecord> decode(const std::string& text);

} // namespace fulmar
