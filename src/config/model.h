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

// Key prefixes of the platform's table. Everything under configPrefix and vmPrefix is distributed to every
// process.
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

// What callers may ask of a service and how its pool is protected.
struct ServiceConfig {
    ServiceId service;
    PoolId pool;
    // Methods that may be repeated safely, beyond those of RFC 9110.
    std::vector<std::string> idempotentMethods;
    // Calls that run at once on one target.
    std::uint32_t slotsPerTarget { 8 };
    std::uint32_t connectionsPerTarget { 64 };
    // Calls that wait for a slot, per entry VM.
    std::uint32_t queueLimit { 256 };
    std::chrono::milliseconds defaultTimeout { 10'000 };
    // Retries allowed as a share of fresh calls, 0 to 1.
    double retryShare { 0.1 };
};

// A pool's availability budget and its role as the spare.
struct PoolConfig {
    PoolId pool;
    // VMs that may be unavailable at once for any reason, as a share of the pool, 0 to 1.
    double unavailableShare { 0.1 };
    // VMs of one rack, and of one zone, that may be unavailable at once, as a share of the pool.
    double unavailableSharePerRack { 0.1 };
    double unavailableSharePerZone { 0.1 };
    // The pool that lends VMs to others.
    bool isSpare { false };
};

struct TeamConfig {
    TeamId team;
    // Quota in whole processors, memory and accelerators.
    double processors { 0 };
    std::uint64_t memoryMb { 0 };
    std::uint32_t accelerators { 0 };
};

// A job that a pool must carry; tasks are its runs.
struct JobConfig {
    JobId job;
    PoolId pool;
    TeamId team;
    double processors { 1 };
    std::uint64_t memoryMb { 1024 };
    std::uint32_t accelerators { 0 };
    std::chrono::seconds expectedRunTime { 60 };
    bool idempotent { true };
    bool urgent { false };
};

enum class VmState : std::uint8_t {
    Serving,
    // Receives no new work; work in flight ends.
    Leaving,
    Maintenance,
    Failed,
};

// A VM's row: the only truth about the pool that it belongs to.
struct VmRecord {
    VmId vm;
    PoolId pool;
    VmState state { VmState::Serving };
    // "host:port" where the VM's service listens.
    std::string address;
    RegionId region;
    ZoneId zone;
    RackId rack;
    // Grows each time the VM changes pool or state.
    Epoch epoch { 0 };
    // Why the VM is in this state, and the command, move or wave that put it there.
    std::string cause;
    WallTime since {};
    WallTime lastMaintained {};
};

[[nodiscard]] std::string_view toString(VmState);

// JSON of a row's value. Parsing reports every unknown field, wrong type and value out of range.
[[nodiscard]] std::string encode(const ServiceConfig&);
[[nodiscard]] std::string encode(const PoolConfig&);
[[nodiscard]] std::string encode(const TeamConfig&);
[[nodiscard]] std::string encode(const JobConfig&);
[[nodiscard]] std::string encode(const VmRecord&);

// Parses a row's value; the error (BadInput, NotRun) lists every problem.
template <typename T> [[nodiscard]] Result<T> decode(const std::string& text);
template <> Result<ServiceConfig> decode(const std::string& text);
template <> Result<PoolConfig> decode(const std::string& text);
template <> Result<TeamConfig> decode(const std::string& text);
template <> Result<JobConfig> decode(const std::string& text);
template <> Result<VmRecord> decode(const std::string& text);

} // namespace fulmar
