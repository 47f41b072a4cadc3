#pragma once

#include <cstddef>

namespace fulmar::node {

// Whether a process should receive callers, by the number of shards whose holders it cannot reach. Load
// pattern: when one of nine holders is lost, every process notices, and no other would serve callers better;
// a partitioned process reaches almost no holder.
[[nodiscard]] constexpr bool isReadyWith(std::size_t unreachableShards, std::size_t shards)
{
    return shards > 0 && unreachableShards * 2 <= shards;
}

} // namespace fulmar::node
