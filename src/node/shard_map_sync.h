#pragma once

#include "node/shard_map.h"
#include "platform/store_client.h"
#include "platform/vm_client.h"

#include <asio/steady_timer.hpp>
#include <optional>

namespace fulmar::node {

// Reads the shard map from the store when the process starts. The first process to write it decides the
// number of shards, by the number of VMs; the others then read it. Used by the loop's thread only.
class ShardMapSync {
public:
    using OnMap = std::function<void(const ShardMap&)>;

    ShardMapSync(asio::io_context&, platform::StoreClient&, platform::VmClient&);
    ShardMapSync(const ShardMapSync&) = delete;
    ShardMapSync& operator=(const ShardMapSync&) = delete;

    // Retries until there is a map, and calls `onMap` once. `jitter` differs between processes.
    void start(std::chrono::milliseconds jitter, OnMap onMap);

private:
    void read();
    void propose();
    void proposeForRunners();
    void proposeFor(std::size_t vms);

    platform::StoreClient& m_store;
    platform::VmClient& m_vms;
    asio::steady_timer m_timer;
    BootClock m_clock;
    std::chrono::milliseconds m_jitter { 0 };
    OnMap m_onMap;
    // Since when the list of VMs is empty or cannot be read.
    std::optional<TimePoint> m_listMissingSince;
};

} // namespace fulmar::node
