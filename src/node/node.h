#pragma once

#include "io/caller_server.h"
#include "node/hand_over.h"
#include "node/node_settings.h"
#include "node/pool_order.h"
#include "node/queue_lookup.h"
#include "node/shard_lease.h"
#include "node/shard_map_sync.h"
#include "node/shard_owner.h"
#include "node/shard_rpc.h"
#include "node/store_submitter.h"
#include "platform/vm_client.h"

#include <asio/signal_set.hpp>
#include <unordered_map>

namespace fulmar::node {

// A process of the system: receives callers' requests, forwards them to the holder of the shard, and holds
// shards itself when it acquires their leases. One loop thread; gRPC has threads of its own.
class Node {
public:
    // Re-reads the settings; empty if they are invalid.
    using Reload = std::function<std::optional<NodeSettings>()>;

    Node(NodeSettings, std::uint64_t incarnation, Reload);
    ~Node();
    Node(const Node&) = delete;
    Node& operator=(const Node&) = delete;

    // Runs until SIGTERM and the completion of requests in flight. Fails if an address cannot be bound,
    // except that of the metrics.
    [[nodiscard]] Result<void> run();

private:
    [[nodiscard]] Result<void> listen();
    void listenForMetrics(CallerServerSettings);
    void onShardMap(const ShardMap&);
    void onOperatorRow(const platform::StoredRow&);
    void onConfigRow(std::string_view value);
    void onWaveRow(std::string_view value);
    void onLeaseRow(const platform::StoredRow&);
    void runLoop();
    void onHandlerFailed(const std::exception&);
    void tick();
    void scheduleTick();
    // This process's view of one shard: its lease, and its state while this process holds it.
    struct Slot {
        std::uint32_t index { 0 };
        std::string part;
        ShardLease lease;
        // Next probe of whether the store accepts writes to this shard's part, while `isProbingWrites`.
        asio::steady_timer writeProbeTimer;
        bool isProbingWrites { false };
        std::unique_ptr<ShardOwner> owner;
        bool isAcquiring { false };
        // The lease is being released: calls are refused and no orders are sent.
        bool isReleasing { false };
        TimePoint heldSince;
        // When to release the shard for a hand-over; no VM orders are sent once this is set.
        std::optional<TimePoint> handOverAt;
        // This process suited the shard at some time after `stabilizationTime`; see isSuboptimal().
        bool hasBeenStable { false };
        TimePoint renewAt;
        // When the holder last answered, or last wrote the owner row.
        TimePoint holderAnsweredAt;
        // When to probe the holder next.
        TimePoint nextProbeAt;
    };
    [[nodiscard]] std::chrono::milliseconds acquireDelay() const;
    void tickSlot(Slot&, TimePoint now);
    void acquire(Slot&);
    void awaitWritablePart(Slot&);
    void probeWrites(Slot&);
    void onAcquired(Slot&, Version, Epoch, TimePoint sent);
    void dropShard(Slot&, std::string_view why);
    void release(Slot&);
    void observeLag(TimePoint now);
    // Starts to hand over the most recently acquired shard if this process is a suboptimal holder.
    void planHandOver(TimePoint now);
    [[nodiscard]] std::size_t shardsHeld() const;
    [[nodiscard]] bool isSmall() const;
    // This process holds the shard and answers its calls.
    [[nodiscard]] static bool isServedHere(const Slot& slot) { return slot.owner && !slot.isReleasing; }
    [[nodiscard]] Slot* slotOf(const std::string& part);
    void stop();
    void reload();
    void finishStop();

    void onCaller(CallId, const CallerRequest&);
    void onReadiness(CallId, const CallerRequest&);
    void onMetrics(CallId);
    void forward(JobCall, std::chrono::milliseconds timeout, OnJobReply);
    // Handles a call for a shard that is served here.
    void handleHere(Slot&, JobCall, OnJobReply);
    [[nodiscard]] ConfigAge configAge() const;
    // The configuration by which a call is decided.
    struct ConfigView {
        std::int64_t version { 0 };
        // Time since the store last confirmed that it has no newer one.
        std::chrono::milliseconds age { 0 };
    };
    [[nodiscard]] ConfigView configView() const;
    // A caller's request that is not answered yet.
    struct CallInFlight {
        // Without the encoded job.
        JobCall call;
        TimePoint received;
        ConfigView config;
    };
    // Does nothing if the call has been answered.
    void answer(CallId, const JobReply&);
    // While stopping: when the time for answers is over, answers all calls in flight.
    void answerCallsBeforeExit();
    [[nodiscard]] std::chrono::milliseconds timeSinceStop() const;
    // Answers a call for which no holder is asked.
    void refuse(CallId, const CallerRequest&, HttpAnswer, std::string_view reason);
    void countPending(JobCall, std::chrono::milliseconds timeout, OnJobReply);
    // Asks the shards in turn for a job until one knows it, starting at `call.shard`.
    void search(JobCall, std::uint32_t shardsAsked, TimePoint deadline, OnJobReply);
    // State of one call across its attempts.
    struct RetryState {
        TimePoint deadline;
        // An earlier attempt may have taken effect; see decideRetry().
        bool wasUncertain { false };
        // Until when to wait for the next holder of a released shard.
        TimePoint nextHolderDeadline;
    };
    [[nodiscard]] RetryState newRetryState(TimePoint deadline) const;
    // The holder announced to serve submissions through the store, both reach the store, and this process has
    // not reached the holder for that long.
    [[nodiscard]] bool isCutOff(const Slot&, std::chrono::milliseconds silence) const;
    // Serves a submission or a Show through the store if the holder cannot be reached; see
    // store_submissions.h. False if the call is to be forwarded.
    [[nodiscard]] bool callThroughStore(const JobCall&, const RetryState&, const OnJobReply&);
    void forwardWithRetries(JobCall, RetryState, OnJobReply);
    void probeHolder(Slot&, TimePoint now);
    // Empty if the job is long-running and its pool has no index in the pool order yet.
    [[nodiscard]] std::optional<std::uint32_t> shardFor(const jobs::Job&) const;
    [[nodiscard]] bool isReady() const;

    NodeSettings m_settings;
    const Reload m_reload;
    const std::uint64_t m_incarnation;
    BootClock m_clock;
    asio::io_context m_loop { 1 };
    platform::HttpClient m_http;
    platform::StoreClient m_store;
    platform::RunnerClient m_runnerClient;
    platform::VmClient m_vmClient;
    ShardRpcClient m_rpcClient;
    TableFollower m_configFollower;
    std::optional<ShardMap> m_map;
    std::vector<std::unique_ptr<Slot>> m_slots;
    std::unique_ptr<TableFollower> m_leaseFollower;
    std::unique_ptr<StoreSubmitter> m_storeSubmitter;
    ShardMapSync m_mapSync;
    PoolOrderSync m_poolOrder;
    std::optional<jobs::FleetConfig> m_config;
    std::map<std::int64_t, jobs::WaveOrder> m_waves;
    std::unique_ptr<ShardRpcServer> m_rpcServer;
    std::shared_ptr<ClientGuard> m_clientGuard;
    std::unique_ptr<CallerServer> m_callers;
    std::unique_ptr<CallerServer> m_readiness;
    std::unique_ptr<CallerServer> m_metricsServer;
    NodeMetrics m_metrics;
    asio::steady_timer m_tickTimer;
    asio::signal_set m_signals;
    // Random per start, so that processes do not claim a shard simultaneously.
    std::chrono::milliseconds m_jitter { 0 };
    LoopLag m_lag;
    bool m_isOverloaded { false };
    // When this process last released or lost a shard.
    TimePoint m_lastReleaseAt;
    TimePoint m_tickDue;
    bool m_isStopping { false };
    TimePoint m_stopRequestedAt;
    TimePoint m_lastAnswerAt;
    std::unordered_map<CallId, CallInFlight> m_callsInFlight;
};

} // namespace fulmar::node
