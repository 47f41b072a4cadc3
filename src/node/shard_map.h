#pragma once

#include "core/types.h"

#include <optional>
#include <string>

namespace fulmar::node {

// The table of what every process has to know alike.
inline constexpr auto layoutTable = "layout";

// How the fleet is divided. A shard has a share of the VMs of every pool, whichever pool they are in, and a
// share of the jobs; so its holder moves VMs between pools and places jobs without asking anyone. The number
// of shards is settled once, when the system starts for the first time.
struct ShardMap {
    std::uint32_t count { 1 };

    [[nodiscard]] std::uint32_t shardOf(const VmId&) const;
    [[nodiscard]] std::uint32_t shardOf(const JobId&) const;
    // Lasting tasks want many VMs of one pool, so that a pool's lasting jobs share a shard. Pools take turns
    // over the shards: by a hash, several would meet in one shard and leave it no VMs for anything else.
    // `place` is the pool's in the PoolOrder, which never changes: a job that is submitted again, after pools
    // were added, still comes to the shard that has it.
    [[nodiscard]] std::uint32_t shardOfLasting(std::size_t poolIndex) const
    {
        return std::uint32_t(poolIndex % count);
    }
    // The part of the store's tables that holds a shard's rows.
    [[nodiscard]] static std::string partOf(std::uint32_t shard);
};

// The number of shards for a fleet of that many VMs.
[[nodiscard]] ShardMap shardMapFor(std::size_t vms);

[[nodiscard]] std::string encodeShardMap(const ShardMap&);
[[nodiscard]] std::optional<ShardMap> decodeShardMap(std::string_view);

} // namespace fulmar::node
