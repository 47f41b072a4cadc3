#pragma once

#include "jobs/maintenance_plan.h"
#include "jobs/shard.h"
#include "jobs/vm_availability.h"
#include "node/shard_map.h"
#include "platform/store_client.h"
#include "platform/vm_client.h"

namespace fulmar::node {

struct VmControllerSettings {
    // Holder name sent with orders for VMs.
    std::string holder;
    Epoch epoch { 0 };
    std::uint32_t shard { 0 };
    ShardMap shards;
    // No order is sent before this time: one of an earlier holder may still be in flight.
    TimePoint ordersFrom;
    std::chrono::milliseconds moveTime { 0 };
    std::chrono::milliseconds maintenanceTime { 0 };
};

inline constexpr auto waveTable = "waves";

// Moves a shard's VMs between pools and runs maintenance waves on them, for the shard's holder. Used by the
// loop's thread only.
class VmController {
public:
    struct Hooks {
        std::function<bool()> mayOrder;
        // The VM belongs to this shard.
        std::function<bool(const VmId&)> ownsVm;
        // Stores the encoded progress of a wave, for the next holder.
        std::function<void(std::int64_t wave, std::string encodedRecord, std::function<void()> durable)>
            record;
        // Requests a planning round of the shard.
        std::function<void()> requestPlan;
    };

    VmController(platform::StoreClient&, platform::VmClient&, jobs::Shard&, VmControllerSettings, Hooks);
    ~VmController() { *m_isAlive = false; }
    VmController(const VmController&) = delete;
    VmController& operator=(const VmController&) = delete;

    void configure(const jobs::FleetConfig&);
    void addWave(const jobs::WaveOrder&);
    // Restores a wave's stored record; `wave` is its number. False if it cannot be decoded.
    [[nodiscard]] bool restoreWave(const std::string& wave, std::string_view record);
    void tick();

private:
    struct PendingMove {
        PoolId from;
        PoolId to;
        TimePoint orderedAt;
    };

    // The VM list is recent, and orders may be sent.
    [[nodiscard]] bool mayPlan(TimePoint now) const;
    void pollList(TimePoint now);
    void onList(const std::vector<jobs::VmRecord>&, TimePoint requestedAt);
    void planWaves(TimePoint now);
    void planWave(jobs::WaveProgress&, TimePoint now);
    // Records the wave as completed if each of this shard's VMs in it is done and back, or gone.
    void completeWaveIfDone(jobs::WaveProgress&);
    void reportWaveOnceCompleted(jobs::WaveProgress&, TimePoint now);
    // Calls back with whether all shards in [next, end) have completed the wave.
    void checkShardsCompleted(
        std::int64_t wave, std::uint32_t next, std::uint32_t end, std::function<void(bool)>);
    void record(const jobs::WaveProgress&, std::function<void()> durable);
    void report(jobs::WaveProgress&, bool isCompleted);
    // If the wave's limit is too low for all shards, a shard that has no share of it waits until the shards
    // with lower numbers are done, and then maintains one VM at a time.
    void waitForAllowance(jobs::WaveProgress&, TimePoint now);
    void takeDown(jobs::WaveProgress&, const VmId&);
    void planMoves(TimePoint now);
    void logNeed(const jobs::PoolNeed&, TimePoint now);
    [[nodiscard]] jobs::VmStatus factsOf(const jobs::VmRecord&, bool isMoving, TimePoint now);
    void updateCordons();
    void move(const jobs::VmMove&, TimePoint now);
    [[nodiscard]] const jobs::VmRecord* find(const VmId&) const;
    [[nodiscard]] std::int64_t busyCpu(const VmId&) const;
    [[nodiscard]] bool isInWave(const VmId&) const;
    [[nodiscard]] jobs::Millis idleTime(const jobs::VmRecord&, TimePoint now) const;
    [[nodiscard]] bool isEmpty(const jobs::VmRecord&) const;
    [[nodiscard]] bool mayEndRuns(const jobs::VmRecord&) const;

    platform::StoreClient& m_store;
    platform::VmClient& m_vms;
    jobs::Shard& m_shard;
    const VmControllerSettings m_settings;
    const Hooks m_hooks;
    BootClock m_clock;
    jobs::FleetConfig m_config;
    std::map<VmId, jobs::VmRecord> m_list;
    TimePoint m_listRequestedAt;
    bool m_isListInFlight { false };
    TimePoint m_nextListAt;
    bool m_hasListFailed { false };
    std::map<std::int64_t, jobs::WaveProgress> m_waves;
    std::map<std::int64_t, std::set<VmId>> m_restoredWaves;
    std::map<VmId, PendingMove> m_moves;
    // VMs of pools that have too many, and that are to be emptied.
    std::set<VmId> m_surplus;
    std::map<PoolId, jobs::MinPoolSize> m_floors;
    std::map<VmId, TimePoint> m_withoutRunnerSince;
    struct LoggedNeed {
        std::uint32_t needed { 0 };
        std::uint32_t present { 0 };
        TimePoint at;
    };
    std::map<PoolId, LoggedNeed> m_loggedNeeds;
    std::shared_ptr<bool> m_isAlive { std::make_shared<bool>(true) };
};

} // namespace fulmar::node
