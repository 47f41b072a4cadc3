#include "node/vm_controller.h"

#include "core/log.h"
#include "platform/decode.h"
#include "platform/names.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <nlohmann/json.hpp>

namespace fulmar::node {

namespace {

// No orders are planned from an older VM list; twice the time of a slow answer of the VM interface.
constexpr std::chrono::milliseconds maxListAge { 5'000 };
constexpr std::chrono::milliseconds listRetryPause { 1'000 };
// A VM idle for this long is spare, and not merely between two tasks.
constexpr std::chrono::milliseconds spareIdleTime { 800 };
// Time in which a cordoned VM's tasks end; most tasks run for under 2 s.
constexpr std::chrono::milliseconds drainTime { 2'000 };
// An order that the list does not show as carried out this long after its expected time counts as failed.
constexpr std::chrono::milliseconds orderGrace { 3'000 };
constexpr std::chrono::milliseconds reportTimeout { 1'500 };
// A pool's need changes with every job; logged at most once per second.
constexpr std::chrono::milliseconds needLogPause { 1'000 };
// How often the wave records of other shards are read. A shard that waits for them loses this much of the
// wave's time.
constexpr std::chrono::milliseconds shardCheckInterval { 300 };
constexpr std::chrono::milliseconds shardCheckTimeout { 1'500 };
// Minimum per pool in each shard: one VM to start tasks on immediately, and one in case that one fails.
constexpr std::uint32_t minVmsPerPool = 2;

// A shard's stored progress of a wave.
struct WaveRecord {
    std::set<VmId> done;
    bool isCompleted { false };
};

std::string encodeWaveRecord(const WaveRecord& record)
{
    auto done = nlohmann::json::array();
    for (const auto& vm : record.done)
        done.push_back(vm.value());
    return nlohmann::json { { "done", std::move(done) }, { "completed", record.isCompleted } }.dump();
}

std::optional<WaveRecord> decodeWaveRecord(std::string_view text)
{
    auto json = nlohmann::json::parse(text, nullptr, false);
    if (!json.is_object() || !json.contains("done") || !json.contains("completed"))
        return std::nullopt;
    try {
        WaveRecord record;
        for (const auto& each : json["done"])
            record.done.insert(VmId(each.get<std::string>()));
        record.isCompleted = json["completed"].get<bool>();
        return record;
    } catch (const nlohmann::json::exception&) {
        return std::nullopt;
    }
}

} // namespace

VmController::VmController(platform::StoreClient& store, platform::VmClient& vms, jobs::Shard& shard,
    VmControllerSettings settings, Hooks hooks)
    : m_store(store)
    , m_vms(vms)
    , m_shard(shard)
    , m_settings(std::move(settings))
    , m_hooks(std::move(hooks))
{
}

void VmController::configure(const jobs::FleetConfig& config) { m_config = config; }

void VmController::addWave(const jobs::WaveOrder& order)
{
    auto [found, isNew] = m_waves.try_emplace(order.wave);
    found->second.order = order;
    if (!isNew)
        return;
    found->second.firstSeen = m_clock.now();
    found->second.allowance = jobs::allowanceOf(order.maxAtOnce, m_settings.shard, m_settings.shards.count);
    if (auto restored = m_restoredWaves.find(order.wave); restored != m_restoredWaves.end())
        found->second.done = restored->second;
    logInfo("wave",
        { { "wave", std::to_string(order.wave) }, { "vms", std::to_string(order.vms.size()) },
            { "at-once", std::to_string(order.maxAtOnce) },
            { "duration-ms", std::to_string(order.duration.count()) },
            { "done", std::to_string(found->second.done.size()) } });
}

bool VmController::restoreWave(const std::string& wave, std::string_view row)
{
    std::int64_t number = 0;
    auto [end, error] = std::from_chars(wave.data(), wave.data() + wave.size(), number);
    auto record = decodeWaveRecord(row);
    if (error != std::errc() || end != wave.data() + wave.size() || !record)
        return false;
    m_restoredWaves[number] = record->done;
    if (auto known = m_waves.find(number); known != m_waves.end())
        known->second.done.merge(record->done);
    return true;
}

void VmController::tick()
{
    auto now = m_clock.now();
    pollList(now);
    if (mayPlan(now)) {
        // Only a list requested after `ordersFrom` is sure to show the orders of an earlier holder.
        if (m_listRequestedAt >= m_settings.ordersFrom)
            planWaves(now);
        planMoves(now);
    }
    updateCordons();
}

bool VmController::mayPlan(TimePoint now) const
{
    return !m_list.empty() && now >= m_settings.ordersFrom && now <= m_listRequestedAt + maxListAge
        && m_hooks.mayOrder();
}

void VmController::pollList(TimePoint now)
{
    if (!m_vms.isAvailable() || m_isListInFlight || now < m_nextListAt)
        return;
    m_isListInFlight = true;
    m_vms.list([this, now, isAlive = m_isAlive](const std::optional<std::vector<jobs::VmRecord>>& list) {
        if (!*isAlive)
            return;
        m_isListInFlight = false;
        m_nextListAt = m_clock.now() + (list ? jobs::pauseAfterList(m_clock.now() - now) : listRetryPause);
        if (std::exchange(m_hasListFailed, !list) != !list)
            logWarning(
                list ? "vm-list-regained" : "vm-list-lost", { { "known", std::to_string(m_list.size()) } });
        if (list)
            onList(*list, now);
    });
}

void VmController::onList(const std::vector<jobs::VmRecord>& list, TimePoint requestedAt)
{
    m_list.clear();
    for (const auto& vm : list)
        if (m_hooks.ownsVm(vm.vm))
            m_list.emplace(vm.vm, vm);
    m_listRequestedAt = requestedAt;
    std::set<jobs::RunnerId> living;
    for (const auto& vm : list)
        living.insert(vm.runner);
    m_shard.endUnlistedRunners(living, requestedAt, m_clock.now());
    for (auto each = m_moves.begin(); each != m_moves.end();) {
        const auto* vm = find(each->first);
        auto hasArrived = vm && vm->pool == each->second.to && vm->state == jobs::VmState::Up
            && requestedAt > each->second.orderedAt;
        auto isOverdue = requestedAt > each->second.orderedAt + m_settings.moveTime + orderGrace;
        each = hasArrived || isOverdue ? m_moves.erase(each) : std::next(each);
    }
    for (auto& [number, wave] : m_waves) {
        jobs::recordVmsInMaintenance(wave, m_list, requestedAt);
        jobs::removeReturnedVms(
            wave, m_list, requestedAt, std::chrono::duration_cast<jobs::Millis>(m_settings.maintenanceTime));
    }
}

const jobs::VmRecord* VmController::find(const VmId& vm) const
{
    auto found = m_list.find(vm);
    return found == m_list.end() ? nullptr : &found->second;
}

bool VmController::isInWave(const VmId& vm) const
{
    return std::any_of(m_waves.begin(), m_waves.end(),
        [&](const auto& each) { return each.second.cordoned.contains(vm) || each.second.down.contains(vm); });
}

jobs::Millis VmController::idleTime(const jobs::VmRecord& vm, TimePoint now) const
{
    auto runner = m_shard.runners().find(vm.runner);
    if (runner == m_shard.runners().end() || !runner->second.isKnownEmpty())
        return jobs::Millis(0);
    return std::chrono::duration_cast<jobs::Millis>(now - runner->second.idleSince);
}

// Until the runner has answered a poll of this holder, not all of its runs are known, and there may be a
// long-running task among them.
bool VmController::mayEndRuns(const jobs::VmRecord& vm) const
{
    auto runner = m_shard.runners().find(vm.runner);
    return runner != m_shard.runners().end() && runner->second.hasAnsweredThisEpoch
        && !m_shard.hasLongRunningTasks(vm.runner);
}

// Whether nothing runs on the VM. A runner that has not yet answered this holder may run tasks that an
// earlier holder started.
bool VmController::isEmpty(const jobs::VmRecord& vm) const
{
    const auto* pool = m_config.pool(vm.pool);
    if (pool && pool->isStandby)
        return true;
    auto runner = m_shard.runners().find(vm.runner);
    return runner != m_shard.runners().end() && runner->second.isKnownEmpty();
}

void VmController::planWaves(TimePoint now)
{
    std::set<jobs::RunnerId> due;
    for (auto& [number, wave] : m_waves) {
        if (wave.isCompleted) {
            reportWaveOnceCompleted(wave, now);
            continue;
        }
        for (const auto& id : wave.order.vms)
            if (const auto* vm = find(id); vm && !wave.done.contains(id))
                due.insert(vm->runner);
        planWave(wave, now);
    }
    m_shard.setMaintenanceDue(due);
}

void VmController::planWave(jobs::WaveProgress& wave, TimePoint now)
{
    if (!std::exchange(wave.isStartReported, true))
        report(wave, false);
    if (wave.allowance == 0) {
        waitForAllowance(wave, now);
        return;
    }
    std::vector<jobs::MaintenanceCandidate> candidates;
    for (const auto& id : wave.order.vms) {
        const auto* vm = find(id);
        if (!vm || wave.done.contains(id) || wave.down.contains(id) || m_moves.contains(id))
            continue;
        const auto* pool = m_config.pool(vm->pool);
        auto isSpare = (pool && pool->isStandby) || idleTime(*vm, now) >= spareIdleTime;
        candidates.push_back(
            { id, isEmpty(*vm), isSpare, vm->state == jobs::VmState::Up, mayEndRuns(*vm), busyCpu(id) });
    }
    auto steps = jobs::planMaintenance(wave, candidates, { drainTime, m_settings.maintenanceTime }, now);
    for (const auto& id : steps.empty)
        wave.cordoned.emplace(id, now);
    for (const auto& [id, since] : wave.cordoned)
        if (const auto* vm = find(id))
            m_shard.evacuate(vm->runner, now);
    for (const auto& id : steps.takeDown)
        takeDown(wave, id);
    if (!steps.empty.empty())
        m_hooks.requestPlan();
    completeWaveIfDone(wave);
}

void VmController::waitForAllowance(jobs::WaveProgress& wave, TimePoint now)
{
    if (wave.isQueryInFlight || now < wave.nextQueryAt)
        return;
    wave.isQueryInFlight = true;
    checkShardsCompleted(
        wave.order.wave, 0, m_settings.shard, [this, number = wave.order.wave](bool areDone) {
            auto& progress = m_waves[number];
            progress.isQueryInFlight = false;
            progress.nextQueryAt = m_clock.now() + shardCheckInterval;
            if (areDone)
                progress.allowance = 1;
        });
}

void VmController::takeDown(jobs::WaveProgress& wave, const VmId& id)
{
    wave.cordoned.erase(id);
    wave.down[id] = std::nullopt;
    m_vms.maintain({ m_settings.holder, m_settings.epoch }, id, wave.order.wave,
        [this, id, number = wave.order.wave, isAlive = m_isAlive](platform::VmOrderOutcome outcome) {
            if (!*isAlive)
                return;
            auto& progress = m_waves[number];
            // Also if the outcome is unknown: the order may have been carried out until now.
            progress.down[id] = m_clock.now();
            logInfo("maintain",
                { { "vm", id.value() }, { "wave", std::to_string(number) },
                    { "outcome", std::string(toString(outcome)) },
                    { "done", std::to_string(progress.done.size()) } });
            switch (outcome) {
            case platform::VmOrderOutcome::Accepted:
                progress.done.insert(id);
                record(progress, {});
                break;
            case platform::VmOrderOutcome::NotInWave:
            case platform::VmOrderOutcome::Invalid:
                // The VM is not part of the wave or does not exist, so nothing is left to do for it.
                progress.done.insert(id);
                progress.down.erase(id);
                break;
            case platform::VmOrderOutcome::Unknown:
                // It counts as down for the maintenance time and is then ordered again.
                break;
            case platform::VmOrderOutcome::Busy:
            case platform::VmOrderOutcome::NotDone:
            case platform::VmOrderOutcome::Fenced:
                progress.down.erase(id);
                break;
            }
            updateCordons();
        });
}

void VmController::completeWaveIfDone(jobs::WaveProgress& wave)
{
    // A VM that is missing from an older list may be newer than that.
    if (wave.isCompleted || m_listRequestedAt <= wave.firstSeen || !jobs::areAllVmsBack(wave, m_list))
        return;
    wave.isCompleted = true;
    wave.cordoned.clear();
    record(wave, {});
}

// A wave is completed once every shard has recorded its completion. Each holder polls the records until then,
// and reports the wave as completed.
void VmController::reportWaveOnceCompleted(jobs::WaveProgress& wave, TimePoint now)
{
    if (wave.isCompletionReported || wave.isQueryInFlight || now < wave.nextQueryAt)
        return;
    wave.isQueryInFlight = true;
    checkShardsCompleted(
        wave.order.wave, 0, m_settings.shards.count, [this, number = wave.order.wave](bool areDone) {
            auto& progress = m_waves[number];
            progress.isQueryInFlight = false;
            progress.nextQueryAt = m_clock.now() + shardCheckInterval;
            if (areDone && !std::exchange(progress.isCompletionReported, true))
                report(progress, true);
        });
}

void VmController::checkShardsCompleted(
    std::int64_t wave, std::uint32_t next, std::uint32_t end, std::function<void(bool)> answer)
{
    if (next == end) {
        answer(true);
        return;
    }
    m_store.read(waveTable, ShardMap::partOf(next), {}, { shardCheckTimeout },
        [this, wave, next, end, answer = std::move(answer), isAlive = m_isAlive](
            const std::optional<platform::RowPage>& page) {
            if (!*isAlive)
                return;
            auto isDone = page
                && std::any_of(page->rows.begin(), page->rows.end(), [wave](const platform::StoredRow& row) {
                       auto record = decodeWaveRecord(row.value);
                       return row.name.key == std::to_string(wave) && record && record->isCompleted;
                   });
            if (isDone)
                checkShardsCompleted(wave, next + 1, end, answer);
            else
                answer(false);
        });
}

// Stores progress, so that the next holder continues with the remaining VMs.
void VmController::record(const jobs::WaveProgress& wave, std::function<void()> durable)
{
    m_hooks.record(wave.order.wave, encodeWaveRecord({ wave.done, wave.isCompleted }), std::move(durable));
}

// The report table is not partitioned by shard, so the report is a transaction of its own.
void VmController::report(jobs::WaveProgress& wave, bool isCompleted)
{
    auto number = wave.order.wave;
    platform::RowTransaction transaction;
    transaction.puts.push_back({ { platform::reportTable, "", platform::waveReportKey(number) },
        platform::encodeWaveState(isCompleted) });
    logInfo("wave-state",
        { { "wave", std::to_string(number) }, { "state", isCompleted ? "completed" : "running" },
            { "done", std::to_string(wave.done.size()) } });
    m_store.commit(transaction, reportTimeout,
        [this, number, isCompleted, isAlive = m_isAlive](const platform::CommitResult& result) {
            if (!*isAlive || result.outcome == platform::CommitOutcome::Committed)
                return;
            // Retried by the next planning round; reporting twice is harmless.
            auto& progress = m_waves[number];
            (isCompleted ? progress.isCompletionReported : progress.isStartReported) = false;
        });
}

jobs::VmStatus VmController::factsOf(const jobs::VmRecord& vm, bool isMoving, TimePoint now)
{
    jobs::VmStatus facts { vm.state, isMoving };
    auto runner = m_shard.runners().find(vm.runner);
    if (runner != m_shard.runners().end()) {
        facts.runner = &runner->second;
        facts.hasLongRunningTasks = m_shard.hasLongRunningTasks(vm.runner);
    }
    if (facts.runner || isMoving || vm.state != jobs::VmState::Up)
        m_withoutRunnerSince.erase(vm.vm);
    else
        facts.timeWithoutRunner = std::chrono::duration_cast<jobs::Millis>(
            now - m_withoutRunnerSince.try_emplace(vm.vm, now).first->second);
    return facts;
}

void VmController::planMoves(TimePoint now)
{
    jobs::MoveInput input;
    std::map<PoolId, jobs::PoolNeed> needs;
    std::map<PoolId, std::int64_t> cpuOfVm;
    std::map<PoolId, std::int64_t> arriving;
    for (const auto& pool : m_config.pools) {
        if (pool.isStandby)
            input.standbyPool = pool.id;
        else
            needs[pool.id].pool = pool.id;
    }
    for (const auto& [id, vm] : m_list) {
        auto pending = m_moves.find(id);
        auto pool = pending == m_moves.end() ? vm.pool : pending->second.to;
        if (pool == input.standbyPool) {
            if (pending == m_moves.end() && vm.state == jobs::VmState::Up && !isInWave(id))
                input.standby.push_back(id);
            continue;
        }
        auto need = needs.find(pool);
        if (need == needs.end())
            continue;
        cpuOfVm[pool] = std::max(cpuOfVm[pool], vm.capacity.cpu);
        if (isInWave(id))
            continue;
        switch (jobs::availabilityOf(factsOf(vm, pending != m_moves.end(), now))) {
        case jobs::VmAvailability::Unavailable:
            continue;
        case jobs::VmAvailability::Arriving:
            arriving[pool] += vm.capacity.cpu;
            break;
        case jobs::VmAvailability::Idle:
            need->second.idle.push_back({ id, idleTime(vm, now) });
            break;
        case jobs::VmAvailability::Busy:
            need->second.busy.push_back(id);
            break;
        case jobs::VmAvailability::Pinned:
            break;
        }
        ++need->second.present;
    }
    // CPU that could move to any pool: standby VMs, and VMs beyond a pool's need.
    std::int64_t spare = 0;
    for (const auto& id : input.standby)
        spare += find(id)->capacity.cpu;
    for (auto& [pool, need] : needs) {
        auto cpu = std::max<std::int64_t>(1, cpuOfVm[pool]);
        auto demand = m_shard.demandOf(pool, now, m_clock.wallNow());
        need.needed
            = std::max({ minVmsPerPool, demand.minVms, std::uint32_t(std::ceil(demand.cpu / double(cpu))) });
        // Until a burst of load has been observed, a pool's equal share of this shard's VMs is used as its
        // peak.
        auto share = std::uint32_t(m_list.size() / needs.size());
        need.minBetweenBursts = m_floors[pool].update(need.needed, share, demand.meanObjective, now);
        if (demand.isBurstForecast)
            need.minBetweenBursts = 0;
        std::sort(need.idle.begin(), need.idle.end(),
            [](const auto& a, const auto& b) { return a.idleFor > b.idleFor; });
        std::sort(need.busy.begin(), need.busy.end(),
            [this](const VmId& a, const VmId& b) { return busyCpu(a) < busyCpu(b); });
        spare += (need.present > need.needed ? need.present - need.needed : 0) * cpu;
        logNeed(need, now);
        input.pools.push_back(std::move(need));
    }
    for (const auto& pool : input.pools)
        m_shard.setArriving(pool.pool, arriving[pool.pool] + spare);
    auto plan = jobs::planMoves(std::move(input));
    m_surplus = std::move(plan.cordoned);
    for (const auto& each : plan.moves)
        move(each, now);
}

void VmController::logNeed(const jobs::PoolNeed& need, TimePoint now)
{
    auto& last = m_loggedNeeds[need.pool];
    auto isSame = last.needed == need.needed && last.present == need.present;
    if (isSame || now < last.at + needLogPause)
        return;
    last = { need.needed, need.present, now };
    logInfo("pool-need",
        { { "pool", need.pool.value() }, { "needed", std::to_string(need.needed) },
            { "present", std::to_string(need.present) }, { "idle", std::to_string(need.idle.size()) },
            { "list-age-ms", std::to_string((now - m_listRequestedAt).count() / 1000) } });
}

// Derived anew from all that is under way, so that nothing that ends without an answer leaves a cordon
// behind. A surplus or a wave's VM is emptied only while it could be taken down.
void VmController::updateCordons()
{
    auto now = m_clock.now();
    std::map<jobs::RunnerId, jobs::Cordon> cordons;
    auto cordon = [&](const VmId& id, jobs::Cordon kind) {
        if (const auto* vm = find(id))
            cordons[vm->runner] = std::max(cordons[vm->runner], kind);
    };
    if (mayPlan(now)) {
        for (const auto& id : m_surplus)
            cordon(id, jobs::Cordon::Emptying);
        for (const auto& [number, wave] : m_waves)
            for (const auto& [id, since] : wave.cordoned)
                cordon(id, jobs::Cordon::Emptying);
    }
    for (const auto& [number, wave] : m_waves)
        for (const auto& [id, since] : wave.down)
            if (!since || now < *since + m_settings.maintenanceTime + orderGrace)
                cordon(id, jobs::Cordon::OrderPending);
    for (const auto& [id, move] : m_moves)
        if (now < move.orderedAt + m_settings.moveTime + orderGrace)
            cordon(id, jobs::Cordon::OrderPending);
    m_shard.setCordons(cordons);
}

std::int64_t VmController::busyCpu(const VmId& id) const
{
    const auto* vm = find(id);
    auto runner = vm ? m_shard.runners().find(vm->runner) : m_shard.runners().end();
    return runner == m_shard.runners().end() ? 0 : runner->second.reserved().cpu;
}

void VmController::move(const jobs::VmMove& move, TimePoint now)
{
    const auto* vm = find(move.vm);
    auto runner = vm->runner;
    m_moves[move.vm] = { move.from, move.to, now };
    m_vms.move({ m_settings.holder, m_settings.epoch }, move.vm, move.to,
        [this, move, runner, isAlive = m_isAlive](platform::VmOrderOutcome outcome) {
            if (!*isAlive)
                return;
            logInfo("move",
                { { "vm", move.vm.value() }, { "from", move.from.value() }, { "to", move.to.value() },
                    { "outcome", std::string(toString(outcome)) } });
            if (outcome == platform::VmOrderOutcome::Accepted)
                m_shard.endRunner(runner, true, m_clock.now(), "moved");
            auto mayBeDone = outcome == platform::VmOrderOutcome::Accepted
                || outcome == platform::VmOrderOutcome::Unknown;
            if (mayBeDone)
                return;
            m_moves.erase(move.vm);
            updateCordons();
        });
}

} // namespace fulmar::node
