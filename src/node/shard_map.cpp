#include "node/shard_map.h"

#include <algorithm>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <xxhash.h>

namespace fulmar::node {

namespace {

// Placing tasks on this many VMs takes a holder a fifth of a core at peak load, and each pool's share is
// still large enough for a step that requires a separate VM for every task.
constexpr std::size_t vmsPerShard = 120;
constexpr std::uint32_t maxShards = 64;

std::uint32_t slot(std::string_view text, std::uint32_t count)
{
    return std::uint32_t(XXH64(text.data(), text.size(), 0) % count);
}

} // namespace

std::uint32_t ShardMap::shardOf(const VmId& vm) const { return slot(vm.value(), count); }

std::uint32_t ShardMap::shardOf(const JobId& job) const { return slot(job.value(), count); }

std::string ShardMap::partOf(std::uint32_t shard) { return fmt::format("s{}", shard); }

ShardMap shardMapFor(std::size_t vms)
{
    auto shards = (vms + vmsPerShard / 2) / vmsPerShard;
    return { std::clamp<std::uint32_t>(std::uint32_t(shards), 1, maxShards) };
}

std::string encodeShardMap(const ShardMap& map) { return nlohmann::json { { "shards", map.count } }.dump(); }

std::optional<ShardMap> decodeShardMap(std::string_view text)
{
    auto json = nlohmann::json::parse(text, nullptr, false);
    if (!json.is_object() || !json.contains("shards") || !json["shards"].is_number_unsigned())
        return std::nullopt;
    auto count = json["shards"].get<std::uint32_t>();
    if (count == 0 || count > maxShards)
        return std::nullopt;
    return ShardMap { count };
}

} // namespace fulmar::node
