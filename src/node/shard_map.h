#pragma once

#include "core/types.h"

#include <optional>
#include <string>

namespace fulmar::node {

// Store table of the cluster layout, which must be identical on every process: shard count and pool order.
inline constexpr auto layoutTable = "layout";

// Partitions the fleet into shards. VMs are assigned by a hash of their id, independently of their pool, so a
// shard has a share of every pool's VMs and of the jobs, and its holder moves VMs between pools and places
// jobs without coordination. The number of shards is fixed when the system starts for the first time.
struct ShardMap {
    std::uint32_t count { 1 };

    [[nodiscard]] std::uint32_t shardOf(const VmId&) const;
    [[nodiscard]] std::uint32_t shardOf(const JobId&) const;
    // Long-running tasks need many VMs of one pool, so all long-running jobs of a pool share a shard. Pools
    // are assigned round-robin: a hash could put several in one shard and leave it no VMs for other work.
    // `poolIndex` is the index in PoolOrder, which never changes, so a job that is resubmitted after pools
    // were added still reaches the shard that has it.
    [[nodiscard]] std::uint32_t shardOfLongRunning(std::size_t poolIndex) const
    {
        return std::uint32_t(poolIndex % count);
    }
    // Name of the part of the store tables with the shard's rows.
    [[nodiscard]] static std::string partOf(std::uint32_t shard);
};

// Chooses the number of shards by the number of VMs of the fleet.
[[nodiscard]] ShardMap shardMapFor(std::size_t vms);

[[nodiscard]] std::string encodeShardMap(const ShardMap&);
[[nodiscard]] std::optional<ShardMap> decodeShardMap(std::string_view);

} // namespace fulmar::node
