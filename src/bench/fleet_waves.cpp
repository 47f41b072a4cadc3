#include "bench/fleet_waves.h"

#include "fleet/wave_plan.h"

#include <algorithm>
#include <fmt/format.h>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>
#include <xxhash.h>

namespace fulmar::bench {

namespace {

using std::chrono::seconds;

constexpr std::uint32_t seed = 4711;
constexpr auto roundLength = seconds(1);
constexpr int shortestMaintenanceSeconds = 90;
constexpr int longestMaintenanceSeconds = 240;

// A fleet whose rows change as VMs are taken out and return.
class WaveSimulation {
public:
    WaveSimulation(const FleetSize& size, WaveStyle style)
        : m_size(size)
        , m_style(style)
    {
        std::mt19937 random(seed);
        std::uniform_int_distribution<int> length(shortestMaintenanceSeconds, longestMaintenanceSeconds);
        std::uniform_int_distribution<int> age(0, 1'000'000);
        for (std::size_t pool = 0; pool < size.pools; ++pool)
            addPool(pool);
        for (std::size_t vm = 0; vm < size.vms; ++vm) {
            m_lengths[vmName(vm)] = seconds(length(random));
            addVm(vm, WallTime(std::chrono::milliseconds(age(random))));
        }
        m_wave.wave = WaveId("wave");
        m_wave.started = WallTime(std::chrono::milliseconds(2'000'000));
    }

    WaveOutcome run()
    {
        m_outcome.bound = bound();
        while (true) {
            bool isChanged = returnVms() || m_now == Duration {};
            bool mayTake = m_style == WaveStyle::FixedBatches ? m_returns.empty() : isChanged;
            if (mayTake && !takeVms() && m_returns.empty())
                break;
            m_now += roundLength;
        }
        m_outcome.rollOut = m_now;
        m_outcome.signature = XXH64_digest(m_hash.get());
        return m_outcome;
    }

private:
    static VmId vmName(std::size_t number) { return VmId(fmt::format("vm-{:04}", number)); }

    void apply(const std::string& key, const std::string& value, bool deleted = false)
    {
        m_view.apply({ Row { key, value, ++m_version, {}, deleted } });
    }

    void addPool(std::size_t number)
    {
        PoolConfig pool;
        pool.pool = PoolId(fmt::format("pool-{}", number));
        pool.unavailableShare = m_size.unavailableShare;
        pool.unavailableSharePerRack = m_size.unavailableShare;
        pool.unavailableSharePerZone = m_size.unavailableShare;
        apply(keys::poolPrefix + pool.pool.value(), encode(pool));
    }

    void addVm(std::size_t number, WallTime lastMaintained)
    {
        VmRecord vm;
        vm.vm = vmName(number);
        vm.pool = PoolId(fmt::format("pool-{}", number % m_size.pools));
        vm.rack = RackId(fmt::format("rack-{}", number / m_size.vmsPerRack));
        vm.zone = ZoneId(fmt::format("zone-{}", number / m_size.vmsPerRack % m_size.zones));
        vm.lastMaintained = lastMaintained;
        apply(fleet::vmKey(vm.vm), encode(vm));
        m_live.insert(vm.vm);
    }

    // Each pool's maintenance shared out evenly over the slots of its budget.
    Duration bound() const
    {
        std::map<PoolId, std::pair<Duration, std::uint32_t>> pools;
        for (const auto& [id, vm] : m_view.vms()) {
            auto& [work, vms] = pools[vm.record.pool];
            work += m_lengths.at(id);
            ++vms;
        }
        Duration longest {};
        for (const auto& [id, pool] : pools)
            longest = std::max(longest, pool.first / fleet::allowedVms(m_size.unavailableShare, pool.second));
        return longest;
    }

    // True if any VM returned.
    bool returnVms()
    {
        auto underWay = m_returns.size();
        while (!m_returns.empty() && m_returns.begin()->first <= m_now) {
            auto id = m_returns.begin()->second;
            m_returns.erase(m_returns.begin());
            auto vm = m_view.vms().at(id).record;
            vm.state = VmState::Serving;
            vm.lastMaintained = m_wave.started;
            apply(fleet::vmKey(id), encode(vm));
            apply(fleet::intentKey(id), "", true);
        }
        return m_returns.size() < underWay;
    }

    // Plans one round and takes its VMs out. False if there were none.
    bool takeVms()
    {
        auto began = std::chrono::steady_clock::now();
        auto progress = fleet::waveProgress(m_view, m_wave);
        if (m_style == WaveStyle::OneZoneAtATime)
            keepFirstZone(progress);
        auto ledger = m_view.ledger(m_live);
        auto next = fleet::nextOfWave(progress, ledger);
        m_outcome.planning += std::chrono::steady_clock::now() - began;
        ++m_outcome.rounds;
        for (const auto& id : next)
            take(id);
        for (const auto& [id, pool] : m_view.pools())
            if (auto remaining = ledger.remaining(id); remaining < 0)
                m_outcome.overBudget = std::max(m_outcome.overBudget, std::uint32_t(-remaining));
        return !next.empty();
    }

    // The first zone with VMs that are not back yet keeps the others waiting.
    void keepFirstZone(fleet::WaveProgress& progress) const
    {
        ZoneId first;
        auto consider = [&](const ZoneId& zone) {
            if (first.empty() || zone < first)
                first = zone;
        };
        for (const auto* vm : progress.candidates)
            consider(vm->zone);
        for (const auto& [end, id] : m_returns)
            consider(m_view.vms().at(id).record.zone);
        std::erase_if(progress.candidates, [&](const VmRecord* vm) { return vm->zone != first; });
    }

    void take(const VmId& id)
    {
        auto vm = m_view.vms().at(id).record;
        vm.state = VmState::Leaving;
        apply(fleet::vmKey(id), encode(vm));
        fleet::IntentRecord intent;
        intent.operation = OperationId(id.value());
        intent.vm = id;
        intent.goal = fleet::IntentGoal::Maintain;
        intent.wave = m_wave.wave;
        apply(fleet::intentKey(id), encode(intent));
        m_returns.emplace(m_now + m_lengths.at(id), id);
        XXH64_update(m_hash.get(), id.value().data(), id.value().size());
    }

    struct FreeHash {
        void operator()(XXH64_state_t* state) const { XXH64_freeState(state); }
    };

    static std::unique_ptr<XXH64_state_t, FreeHash> makeHash()
    {
        std::unique_ptr<XXH64_state_t, FreeHash> hash(XXH64_createState());
        XXH64_reset(hash.get(), seed);
        return hash;
    }

    FleetSize m_size;
    WaveStyle m_style;
    fleet::FleetView m_view;
    fleet::WaveRecord m_wave;
    std::set<VmId> m_live;
    std::map<VmId, Duration> m_lengths;
    std::multimap<Duration, VmId> m_returns;
    Duration m_now {};
    Version m_version { 0 };
    WaveOutcome m_outcome;
    std::unique_ptr<XXH64_state_t, FreeHash> m_hash { makeHash() };
};

} // namespace

WaveOutcome runWave(const FleetSize& size, WaveStyle style) { return WaveSimulation(size, style).run(); }

} // namespace fulmar::bench
