#pragma once

#include "io/caller_server.h"
#include "node/node_settings.h"
#include "node/shard_lease.h"
#include "node/shard_owner.h"
#include "node/shard_rpc.h"
#include "platform/vm_client.h"

#include <asio/signal_set.hpp>

namespace fulmar::node {

// A process of the system: takes callers' requests, passes them to the holder of the shard, and holds the
// shard itself when it is its turn. One loop thread; gRPC brings its own.
class Node {
public:
    Node(NodeSettings, std::uint64_t incarnation);
    ~Node();
    Node(const Node&) = delete;
    Node& operator=(const Node&) = delete;

    // Runs until SIGTERM and the end of the requests in flight. Fails if an address cannot be bound.
    [[nodiscard]] Result<void> run();

private:
    [[nodiscard]] Result<void> listen();
    void followTables();
    void onOperatorRow(const platform::StoredRow&);
    void onConfigRow(std::string_view value);
    void onWaveRow(std::string_view value);
    void onLeaseRow(const platform::StoredRow&);
    void tick();
    void acquire();
    void onAcquired(Version ownerVersion, Version renewalVersion, Epoch, TimePoint sent);
    void dropShard(std::string_view why);
    void stop();
    void finishStop();

    void onCaller(CallId, const CallerRequest&);
    void onReadiness(CallId, const CallerRequest&);
    void passOn(JobCall, std::chrono::milliseconds timeout, OnJobReply);
    void answer(CallId, const JobCall&, const JobReply&, TimePoint received);
    void probeHolder();
    [[nodiscard]] bool isReady() const;

    const NodeSettings m_settings;
    const std::uint64_t m_incarnation;
    BootClock m_clock;
    asio::io_context m_loop { 1 };
    platform::HttpCaller m_http;
    platform::StoreClient m_store;
    platform::RunnerClient m_runnerClient;
    platform::VmClient m_vmClient;
    ShardRpcClient m_rpcClient;
    ShardLease m_lease;
    TableFollower m_configFollower;
    TableFollower m_leaseFollower;
    std::optional<jobs::FleetConfig> m_config;
    std::map<std::int64_t, jobs::WaveOrder> m_waves;
    std::unique_ptr<ShardOwner> m_owner;
    std::unique_ptr<ShardRpcServer> m_rpcServer;
    std::unique_ptr<CallerServer> m_callers;
    std::unique_ptr<CallerServer> m_readiness;
    asio::steady_timer m_tickTimer;
    asio::signal_set m_signals;
    std::chrono::milliseconds m_acquireDelay { 0 };
    bool m_isAcquiring { false };
    TimePoint m_renewAt;
    // Answers of the holder, as a proof that this process can serve.
    TimePoint m_holderAnswered;
    TimePoint m_probeAt;
    bool m_isStopping { false };
    bool m_isReleased { false };
    TimePoint m_stopAt;
    std::size_t m_callsInFlight { 0 };
};

} // namespace fulmar::node
