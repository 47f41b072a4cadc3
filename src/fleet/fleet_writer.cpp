#include "fleet/fleet_writer.h"

#include <cassert>
#include <xxhash.h>

namespace fulmar::fleet {

std::uint32_t shardOf(const PoolId& pool, std::uint32_t shards)
{
    assert(shards > 0);
    return std::uint32_t(XXH64(pool.value().data(), pool.value().size(), 0) % shards);
}

} // namespace fulmar::fleet
