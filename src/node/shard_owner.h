#pragma once

#include "jobs/shard.h"
#include "node/job_call.h"
#include "node/node_metrics.h"
#include "node/row_log.h"
#include "node/submission_reader.h"
#include "node/table_follower.h"
#include "node/team_limits.h"
#include "node/vm_controller.h"
#include "platform/runner_client.h"

#include <unordered_map>

namespace fulmar::node {

// Store tables that this program writes. Each shard's rows form one part of every table.
inline constexpr auto leaseTable = "leases";
inline constexpr auto jobTable = "jobs";
inline constexpr auto progressTable = "progress";
inline constexpr auto runnerTable = "runners";
// What is known of the pools' bursts; one row of each shard.
inline constexpr auto burstTable = "bursts";
inline constexpr auto burstForecastKey = "forecast";
inline constexpr auto ownerKey = "owner";
inline constexpr auto renewalKey = "renewal";

// Runs one shard while this process holds its lease: restores the shard's state from the store, sends orders
// to runners, writes state changes, and replies to calls once their effect is durable. Used by the loop's
// thread only; destroyed when the lease is lost.
class ShardOwner {
public:
    struct Hooks {
        // The lease is valid and not being released, so orders may be sent.
        std::function<bool()> mayOrder;
        // As mayOrder, for orders that move or maintain VMs; these stop some time before a hand-over.
        std::function<bool()> mayOrderVms;
        // Another process has taken the shard.
        std::function<void()> onLost;
        std::function<void(TimePoint sent)> onRenewed;
        // The VM belongs to this shard.
        std::function<bool(const VmId&)> ownsVm;
        // Time since the store confirmed the configuration, and how long one may take to be in force.
        std::function<std::chrono::milliseconds()> configAge = [] { return std::chrono::milliseconds(0); };
        std::chrono::milliseconds configApplyTime { 3'000 };
        // Passes on to handle() what came through the store, after the checks of forwarded calls. Empty if
        // this holder accepts no submissions through the store.
        std::function<void(JobCall, OnJobReply)> admit {};
    };

    // Clients of the platform's interfaces, and the metrics.
    struct Clients {
        platform::StoreClient& store;
        platform::RunnerClient& runners;
        platform::VmClient& vms;
        NodeMetrics& metrics;
    };

    ShardOwner(asio::io_context&, Clients, jobs::ShardSettings, const VmControllerSettings&,
        const platform::RowCondition& lease, Version renewalVersion, Hooks);
    ~ShardOwner();
    ShardOwner(const ShardOwner&) = delete;
    ShardOwner& operator=(const ShardOwner&) = delete;

    // Replies once the shard's state is restored and the effect of the call is durable.
    void handle(JobCall, OnJobReply);
    void configure(const jobs::FleetConfig&);
    void addWave(const jobs::WaveOrder&);
    // Reads the submissions that came through the store; called when the lease table shows new ones.
    void readSubmissions();
    // Plans moves and maintenance of VMs; called periodically.
    void tick();
    void renew();
    // Writes pending changes, then releases the lease; calls `done` when it is released.
    void release(std::string releasedOwner, std::function<void()> done);

    [[nodiscard]] bool isRestored() const { return m_isRestored; }
    [[nodiscard]] jobs::Shard& shard() { return m_shard; }
    // Schedules a planning round; events within a short interval share one round.
    void schedule();

private:
    void restore(std::size_t tableIndex);
    void restoreRow(const platform::StoredRow&);
    void removeOrphanedProgress();
    void onRestored();
    [[nodiscard]] bool restoreBursts(std::string_view row);
    void updateBurstForecast();
    void submit(const JobCall&, OnJobReply);
    void show(const JobCall&, const OnJobReply&);
    void cancel(const JobCall&, OnJobReply);
    // Replies to the submits of a stored job, and to its cancels once its final state is stored.
    // The job belongs to another team than the call.
    [[nodiscard]] bool isOfOtherTeam(const jobs::JobEntry&, const JobCall&) const;
    void replyToWaitingCalls(const JobId&);
    void onRowRefused(const platform::RowName&);
    void onRowsWithdrawn(const std::vector<platform::RowName>&);
    // Drops a job that is not stored, and refuses the submits that wait for it.
    void forgetUnstored(const JobId&, const JobReply&);
    void plan();
    void write();
    void sendStart(const jobs::OutgoingStart&);
    void sendStop(const jobs::OutgoingStop&);
    void sendPoll(const jobs::OutgoingPoll&);
    void sendNextStart(const jobs::RunnerId&);
    void onRunnerRow(const platform::StoredRow&);
    [[nodiscard]] std::vector<RowChange> rowsOf(const jobs::ShardChange&) const;
    [[nodiscard]] platform::RowName rowName(std::string table, std::string key) const;

    platform::StoreClient& m_store;
    platform::RunnerClient& m_runnerClient;
    NodeMetrics& m_metrics;
    const std::string m_part;
    const std::uint32_t m_shardIndex;
    const std::uint32_t m_shardCount;
    const Hooks m_hooks;
    bool m_hasTeams { false };
    BootClock m_clock;
    RowLog m_log;
    jobs::Shard m_shard;
    TeamLimits m_teamLimits;
    VmController m_vmController;
    TableFollower m_runnerList;
    std::map<jobs::RunnerId, jobs::RunnerReport> m_listedRunners;
    bool m_isRestored { false };
    // Progress rows read during the restore, until their job is read; nullopt for a row that cannot be
    // decoded.
    std::unordered_map<std::string, std::optional<jobs::JobProgress>> m_restoredProgress;
    struct WaitingCall {
        JobCall call;
        OnJobReply reply;
    };
    std::vector<WaitingCall> m_waitingForRestore;
    std::unordered_map<JobId, std::vector<OnJobReply>> m_waitingForStore;
    std::unordered_map<JobId, std::vector<OnJobReply>> m_waitingForCancel;
    // Next planning round; until the shard is restored, the next retry of the restore.
    asio::steady_timer m_planTimer;
    TimePoint m_planAt;
    bool m_isPlanScheduled { false };
    SubmissionReader m_submissions;
    asio::steady_timer m_writeTimer;
    bool m_isWriteScheduled { false };
    // Start orders queued per runner; only a few are in flight at a time, as each needs a connection.
    struct Outbox {
        std::deque<jobs::OutgoingStart> waiting;
        std::size_t inFlight { 0 };
    };
    std::map<jobs::RunnerId, Outbox> m_outboxes;
    std::uint64_t m_renewals { 0 };
    jobs::BurstForecast::Counts m_countedBursts;
    std::shared_ptr<bool> m_isAlive { std::make_shared<bool>(true) };
};

} // namespace fulmar::node
