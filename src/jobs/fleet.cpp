#include "jobs/fleet.h"

#include <algorithm>

namespace fulmar::jobs {

const PoolConfig* FleetConfig::pool(const PoolId& id) const
{
    auto found
        = std::find_if(pools.begin(), pools.end(), [&](const PoolConfig& pool) { return pool.id == id; });
    return found == pools.end() ? nullptr : &*found;
}

const QueueConfig* FleetConfig::queueFor(std::string_view host, std::string_view path) const
{
    const QueueConfig* best = nullptr;
    for (const auto& queue : queues) {
        if (queue.host != host || !path.starts_with(queue.pathPrefix))
            continue;
        if (!best || queue.pathPrefix.size() > best->pathPrefix.size())
            best = &queue;
    }
    return best;
}

} // namespace fulmar::jobs
