#pragma once

#include <cstddef>

namespace fulmar::node {

// Whether a process that does not hear from the holders of so many shards should get callers. Load pattern:
// one of nine holders is lost, all processes see it, and none would be any better; a process that is cut off
// hears from hardly any.
[[nodiscard]] constexpr bool isReadyWith(std::size_t unreachableShards, std::size_t shards)
{
    return shards > 0 && unreachableShards * 2 <= shards;
}

} // namespace fulmar::node
