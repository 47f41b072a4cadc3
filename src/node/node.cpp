#include "node/node.h"

#include "core/log.h"
#include "node/call_retry.h"
#include "node/descriptor_budget.h"
#include "node/stop_plan.h"
#include "platform/decode.h"
#include "platform/names.h"

#include <algorithm>
#include <asio/post.hpp>
#include <random>

namespace fulmar::node {

namespace {

using namespace std::chrono_literals;

// A row that never exists: removing it tests whether the store accepts writes, and changes nothing.
constexpr auto writeProbeKey = "none";
// Every renewal changes the lease table although holders seldom change, so the feed is paced.
constexpr std::chrono::milliseconds leaseFeedPause { 150 };
// Small processes delay their claims by up to 1.5 s and are usually many, so they read the feed less often.
constexpr std::chrono::milliseconds leaseFeedPauseOfSmall { 400 };
constexpr std::chrono::milliseconds tickPause { 50 };
// From the end of a VM's move until its runner is listed, has answered and takes work, and until a tick.
constexpr std::chrono::milliseconds firstAnswerTime { 750 };
// Four renewals per lease length, so that one lost answer does not lose the lease.
constexpr int renewalsPerLease = 4;
// Upper bound of the random delay from the expiry of a lease to a process's claim.
constexpr std::int64_t maxJitterMs = 250;
// A process delays its claim by this much for each shard that it already holds.
constexpr std::chrono::milliseconds delayPerHeldShard { 300 };
// Share of a core that a holder needs: placing tasks of one shard takes a fifth of a core at peak load. A
// process with a smaller share is small. It delays its claims by up to maxSmallProcessDelay, which exceeds
// the delay of a process that already holds two shards.
constexpr double minHolderCoreShare = 0.25;
constexpr std::chrono::milliseconds maxSmallProcessDelay { 1'500 };
// An order of the previous holder may still be in flight when its lease expires.
constexpr std::chrono::milliseconds orderMargin { 300 };
constexpr std::chrono::milliseconds acquireTimeout { 1'200 };
// A holder that released a shard does not claim it again for this long: the others see the release after
// the pause of the feed and then wait for their own claim delays.
constexpr std::chrono::milliseconds reacquireDelay { 700 };
// Back-off after a failed claim; the store may be unavailable.
constexpr std::chrono::milliseconds acquireRetry { 250 };
// Added to the time for which the platform requires finished jobs to be kept.
constexpr std::chrono::milliseconds finishedMargin { 30'000 };
constexpr std::chrono::milliseconds feedPause { 10 };
// A job has 4,000 bytes of spec and 64 steps of a few hundred bytes at most.
constexpr std::size_t maxBodyBytes = 1024 * 1024;
constexpr std::size_t maxSideHeadBytes = 8 * 1024;
constexpr std::size_t maxSideBodyBytes = 1024;
// A receive and a send buffer, for each of which the kernel takes twice what is set.
constexpr std::size_t kernelBytesPerBufferByte = 4;
// A job of 4,000 bytes of spec and its answer fit in the smallest. The largest is enough for a link of
// 200 Mbit/s with a round trip of 2.5 ms.
constexpr std::size_t minSocketBuffer = 8 * 1024;
constexpr std::size_t maxSocketBuffer = 64 * 1024;
// Callers keep connections open between calls.
constexpr std::chrono::milliseconds idleTimeout { 60'000 };

} // namespace

Node::Node(NodeSettings settings, std::uint64_t incarnation, Reload reload)
    : m_settings(std::move(settings))
    , m_reload(std::move(reload))
    , m_incarnation(incarnation)
    , m_http(m_loop, descriptorBudget(m_settings.maxDescriptors).outgoing)
    , m_store(m_http, m_settings.storeAddress)
    , m_runnerClient(m_http)
    , m_vmClient(m_http, m_settings.vmsAddress)
    , m_rpcClient(m_loop)
    , m_configFollower(m_loop, m_store, platform::operatorTable, { "" },
          { feedPause, feedWaitFor(m_settings.configApplyTime), true },
          { [this](const platform::StoredRow& row) { onOperatorRow(row); },
              [this](const std::vector<platform::StoredRow>& rows) {
                  for (const auto& row : rows)
                      onOperatorRow(row);
              },
              [] {} })
    , m_mapSync(m_loop, m_store, m_vmClient)
    , m_poolOrder(m_loop, m_store)
    , m_tickTimer(m_loop)
    , m_signals(m_loop, SIGTERM, SIGINT, SIGHUP)
{
    std::mt19937_64 random(std::random_device {}());
    m_jitter = std::chrono::milliseconds(std::uniform_int_distribution<std::int64_t>(0, maxJitterMs)(random));
}

Node::~Node() = default;

Result<void> Node::listen()
{
    CallerServerSettings limits { m_settings.callerAddress };
    auto budget = descriptorBudget(m_settings.maxDescriptors);
    limits.maxConnections = budget.callers;
    limits.maxBodyBytes = maxBodyBytes;
    limits.readTimeout = idleTimeout;
    limits.dropsHandledRequests = true;
    limits.guard = std::make_shared<ClientGuard>(m_settings.callersMemory,
        [this](ClientFault fault) { m_metrics.countClosedClient(std::string(toString(fault))); });
    m_clientGuard = limits.guard;
    // Each connection may fill both of the kernel's buffers, which hold twice what is set.
    auto connections = budget.callers + budget.readiness + budget.metrics;
    limits.receiveBufferBytes = limits.sendBufferBytes = std::clamp(
        m_settings.callersMemory / connections / kernelBytesPerBufferByte, minSocketBuffer, maxSocketBuffer);
    auto callers = CallerServer::start(m_loop, limits, [this](CallId id, const CallerRequest& request) {
        try {
            onCaller(id, request);
        } catch (const std::exception& error) {
            onHandlerFailed(error);
            m_callsInFlight.erase(id);
            m_callers->answer(id, { 500, {}, {} }, true);
        }
    });
    if (!callers)
        return tl::unexpected(callers.error());
    m_callers = std::move(*callers);
    // Checks and scrapers send no bodies.
    limits.requestLimits = { maxSideHeadBytes, maxSideBodyBytes };
    if (!m_settings.readinessAddress.empty()) {
        limits.address = m_settings.readinessAddress;
        limits.maxConnections = budget.readiness;
        auto readiness = CallerServer::start(
            m_loop, limits, [this](CallId id, const CallerRequest& request) { onReadiness(id, request); });
        if (!readiness)
            return tl::unexpected(readiness.error());
        m_readiness = std::move(*readiness);
    }
    limits.maxConnections = budget.metrics;
    listenForMetrics(limits);
    auto rpc = ShardRpcServer::start(m_settings.peerAddress, m_loop, [this](JobCall call, OnJobReply reply) {
        auto* slot = call.shard < m_slots.size() ? m_slots[call.shard].get() : nullptr;
        if (slot && isServedHere(*slot))
            handleHere(*slot, std::move(call), std::move(reply));
        else
            reply(noHolderReply(slot && slot->isReleasing));
    });
    if (!rpc)
        return tl::unexpected(rpc.error());
    m_rpcServer = std::move(*rpc);
    m_settings.peerAddress = m_rpcServer->address();
    return {};
}

// A process without metrics serves its callers all the same.
void Node::listenForMetrics(CallerServerSettings limits)
{
    limits.address = m_settings.metricsAddress;
    auto metrics
        = CallerServer::start(m_loop, limits, [this](CallId id, const CallerRequest&) { onMetrics(id); });
    if (metrics)
        m_metricsServer = std::move(*metrics);
    else
        logWarning("no-metrics", { { "reason", metrics.error().detail } });
}

Result<void> Node::run()
{
    if (auto listening = listen(); !listening)
        return listening;
    logInfo("start",
        { { "callers", m_settings.callerAddress }, { "peers", m_settings.peerAddress },
            { "zone", m_settings.zone.value() }, { "incarnation", std::to_string(m_incarnation) } });
    std::function<void()> waitForSignal = [this, &waitForSignal] {
        m_signals.async_wait([this, &waitForSignal](const asio::error_code& error, int signal) {
            if (error)
                return;
            waitForSignal();
            if (signal == SIGHUP)
                this->reload();
            else
                stop();
        });
    };
    waitForSignal();
    m_configFollower.start();
    m_mapSync.start(m_jitter, [this](const ShardMap& map) { onShardMap(map); });
    tick();
    runLoop();
    logInfo("stop", { { "result", "done" } });
    return {};
}

void Node::runLoop()
{
    while (true) {
        try {
            m_loop.run();
            return;
        } catch (const std::exception& error) {
            onHandlerFailed(error);
        }
    }
}

// An error that no handler expects. What it left of the shards held here may be inconsistent, while the store
// has their state: they are given up, and their next holder, perhaps this process, restores them.
void Node::onHandlerFailed(const std::exception& error)
{
    logWarning("handler-failed", { { "error", error.what() }, { "shards", std::to_string(shardsHeld()) } });
    for (auto& slot : m_slots)
        dropShard(*slot, "handler-failed");
    scheduleTick();
}

void Node::onShardMap(const ShardMap& map)
{
    logInfo("shard-map", { { "shards", std::to_string(map.count) } });
    m_map = map;
    std::vector<std::string> parts;
    for (std::uint32_t index = 0; index < map.count; ++index) {
        parts.push_back(ShardMap::partOf(index));
        m_slots.push_back(std::make_unique<Slot>(
            Slot { index, parts.back(), ShardLease(LeaseSettings {}, m_settings.peerAddress, m_incarnation),
                asio::steady_timer(m_loop), false, nullptr, false, false, {}, {}, false, {}, {}, {} }));
    }
    m_storeSubmitter = std::make_unique<StoreSubmitter>(m_loop, m_store, m_metrics, m_incarnation, parts);
    m_leaseFollower = std::make_unique<TableFollower>(m_loop, m_store, leaseTable, std::move(parts),
        TableFollower::Timing { isSmall() ? leaseFeedPauseOfSmall : leaseFeedPause },
        TableFollower::Hooks { [this](const platform::StoredRow& row) { onLeaseRow(row); },
            [this](const std::vector<platform::StoredRow>& rows) {
                for (const auto& row : rows)
                    onLeaseRow(row);
                for (auto& slot : m_slots)
                    if (!slot->lease.owner())
                        slot->lease.observeOwner(std::nullopt, slot->lease.ownerVersion(), m_clock.now());
            },
            [] {},
            [this] {
                for (auto& slot : m_slots)
                    slot->lease.observeStoreLost(m_clock.now());
            },
            [this] {
                for (auto& slot : m_slots)
                    slot->lease.observeStoreRegained(m_clock.now());
            } });
    m_leaseFollower->start();
}

Node::Slot* Node::slotOf(const std::string& part)
{
    auto found
        = std::find_if(m_slots.begin(), m_slots.end(), [&](const auto& slot) { return slot->part == part; });
    return found == m_slots.end() ? nullptr : found->get();
}

void Node::onOperatorRow(const platform::StoredRow& row)
{
    if (row.isRemoved)
        return;
    if (row.name.key == platform::configKey)
        onConfigRow(row.value);
    else if (row.name.key.starts_with(platform::waveKeyPrefix))
        onWaveRow(row.value);
}

void Node::onWaveRow(std::string_view value)
{
    auto wave = platform::decodeWave(value);
    if (!wave) {
        logWarning("wave-unreadable", { { "bytes", std::to_string(value.size()) } });
        return;
    }
    m_waves.insert_or_assign(wave->wave, *wave);
    for (auto& slot : m_slots)
        if (slot->owner)
            slot->owner->addWave(*wave);
}

void Node::onConfigRow(std::string_view value)
{
    auto config = platform::decodeConfig(value);
    if (!config) {
        logWarning("config-unreadable",
            { { "bytes", std::to_string(value.size()) }, { "reason", config.error().detail } });
        return;
    }
    if (m_config && config->version <= m_config->version)
        return;
    logInfo("config",
        { { "version", std::to_string(config->version) },
            { "before", std::to_string(m_config ? m_config->version : 0) },
            { "queues", std::to_string(config->queues.size()) } });
    m_config = std::move(*config);
    m_callers->setRequestLimits({ m_config->maxHeaderBytes, m_config->maxBodyBytes });
    std::vector<PoolId> pools;
    for (const auto& pool : m_config->pools)
        if (!pool.isStandby)
            pools.push_back(pool.id);
    m_poolOrder.require(std::move(pools), m_jitter);
    for (auto& slot : m_slots)
        if (slot->owner)
            slot->owner->configure(*m_config);
}

void Node::onLeaseRow(const platform::StoredRow& row)
{
    auto* slot = slotOf(row.name.part);
    if (!slot)
        return;
    auto now = m_clock.now();
    if (row.name.key == renewalKey) {
        slot->lease.observeRenewal(row.version, now);
        return;
    }
    if (row.name.key == submissionNoticeKey && slot->owner)
        slot->owner->readSubmissions();
    if (row.name.key != ownerKey)
        return;
    auto owner = row.isRemoved ? std::nullopt : decodeOwner(row.value);
    auto isNew = row.version > slot->lease.ownerVersion();
    slot->lease.observeOwner(owner, row.version, now);
    // A holder that has just written the row is alive.
    if (isNew)
        slot->holderAnsweredAt = now;
    if (isNew)
        logInfo("shard-holder",
            { { "part", slot->part }, { "address", owner ? owner->address : "" },
                { "epoch", std::to_string(owner ? owner->epoch : 0) } });
    // Also the case if the feed shows this process's own release before the commit is answered.
    if (slot->owner && !slot->lease.isOwn())
        dropShard(*slot, "other-holder");
}

void Node::tick()
{
    auto now = m_clock.now();
    observeLag(now);
    for (auto& slot : m_slots)
        tickSlot(*slot, now);
    if (m_storeSubmitter)
        m_storeSubmitter->tick();
    if (m_isStopping)
        finishStop();
    else
        planHandOver(now);
    scheduleTick();
}

void Node::scheduleTick()
{
    m_tickDue = m_clock.now() + tickPause;
    m_tickTimer.expires_after(tickPause);
    m_tickTimer.async_wait([this](const asio::error_code& error) {
        if (!error)
            tick();
    });
}

void Node::tickSlot(Slot& slot, TimePoint now)
{
    if (slot.owner) {
        if (slot.handOverAt && now >= *slot.handOverAt && !slot.isReleasing)
            release(slot);
        if (now >= slot.renewAt && !slot.isReleasing) {
            slot.renewAt = now + slot.lease.settings().length / renewalsPerLease;
            slot.owner->renew();
        }
        slot.owner->tick();
    } else if (!slot.isAcquiring && !m_isStopping && slot.lease.shouldAcquire(now, acquireDelay())) {
        acquire(slot);
    }
    if (now >= slot.nextProbeAt)
        probeHolder(slot, now);
}

std::chrono::milliseconds Node::acquireDelay() const
{
    auto held = std::count_if(
        m_slots.begin(), m_slots.end(), [](const auto& slot) { return slot->owner || slot->isAcquiring; });
    auto smallness = std::clamp(1 - m_settings.processorShare / minHolderCoreShare, 0.0, 1.0);
    return m_jitter + delayPerHeldShard * held
        + std::chrono::milliseconds(std::int64_t(double(maxSmallProcessDelay.count()) * smallness));
}

void Node::acquire(Slot& slot)
{
    slot.isAcquiring = true;
    auto claim = slot.lease.ownerAfterClaim();
    claim.servesSubmissions = m_settings.storeSubmissions;
    platform::RowName owner { leaseTable, slot.part, ownerKey };
    platform::RowName renewal { leaseTable, slot.part, renewalKey };
    platform::RowTransaction transaction;
    transaction.conditions
        = { { owner, slot.lease.ownerVersion() }, { renewal, slot.lease.renewalVersion() } };
    transaction.puts = { { owner, encodeOwner(claim) }, { renewal, "0" } };
    m_store.commit(transaction, acquireTimeout,
        [this, &slot, sent = m_clock.now(), claim](const platform::CommitResult& result) {
            slot.isAcquiring = false;
            auto now = m_clock.now();
            if (result.outcome == platform::CommitOutcome::Committed) {
                slot.lease.observeOwner(claim, result.version, now);
                slot.lease.observeRenewal(result.version, now);
                onAcquired(slot, result.version, claim.epoch, sent);
                return;
            }
            logInfo("shard-claim-failed",
                { { "part", slot.part }, { "epoch", std::to_string(claim.epoch) },
                    { "outcome", std::string(toString(result.outcome)) } });
            slot.lease.delayAcquire(now + acquireRetry);
            if (result.outcome != platform::CommitOutcome::Conflict)
                awaitWritablePart(slot);
            // A conflict returns the current rows; after any other failure the feed shows whether the claim
            // took effect.
            for (const auto& row : result.current)
                onLeaseRow(row);
        });
}

// A store that refuses a claim may also have refused the holder's renewal, while it still serves reads and
// other parts. The first claim after its recovery would take the shard from a healthy holder. So recovery is
// detected by a write that changes nothing, and the holder then gets time to renew.
void Node::awaitWritablePart(Slot& slot)
{
    slot.lease.observeStoreLost(m_clock.now());
    if (std::exchange(slot.isProbingWrites, true))
        return;
    logWarning("store-refuses-writes", { { "part", slot.part } });
    probeWrites(slot);
}

// The probe interval grows with the claim delay: the likely next holders probe often, the others so rarely
// that all of them together stay below the write rate limit of a part.
void Node::probeWrites(Slot& slot)
{
    slot.writeProbeTimer.expires_after(acquireRetry + acquireDelay() * 2);
    slot.writeProbeTimer.async_wait([this, &slot](const asio::error_code& error) {
        if (error)
            return;
        platform::RowTransaction nothing;
        nothing.removals.push_back({ leaseTable, slot.part, writeProbeKey });
        m_store.commit(nothing, acquireTimeout, [this, &slot](const platform::CommitResult& result) {
            if (result.outcome != platform::CommitOutcome::Committed) {
                probeWrites(slot);
                return;
            }
            slot.isProbingWrites = false;
            logInfo("store-takes-writes",
                { { "part", slot.part }, { "version", std::to_string(result.version) } });
            slot.lease.observeStoreRegained(m_clock.now());
        });
    });
}

void Node::onAcquired(Slot& slot, Version version, Epoch epoch, TimePoint sent)
{
    auto now = m_clock.now();
    slot.lease.onRenewed(sent);
    slot.renewAt = now;
    slot.heldSince = now;
    slot.handOverAt.reset();
    slot.hasBeenStable = false;
    slot.isReleasing = false;
    jobs::ShardSettings settings;
    settings.maxLease = m_settings.maxRunnerLease;
    settings.keepFinished = m_settings.keepFinished + finishedMargin;
    settings.maxRowBytes = m_settings.maxRowBytes;
    if (m_settings.isBurstForecastOn)
        settings.vmLeadTimeForBursts = m_settings.moveTime + firstAnswerTime;
    ShardOwner::Hooks hooks;
    hooks.mayOrder = [this, &slot] { return slot.lease.isValid(m_clock.now()) && !slot.isReleasing; };
    hooks.mayOrderVms = [mayOrder = hooks.mayOrder, &slot] { return mayOrder() && !slot.handOverAt; };
    hooks.onLost = [this, &slot] { asio::post(m_loop, [this, &slot] { dropShard(slot, "store-refused"); }); };
    hooks.onRenewed = [&slot](TimePoint at) { slot.lease.onRenewed(at); };
    hooks.ownsVm = [this, index = slot.index](const VmId& vm) { return m_map->shardOf(vm) == index; };
    hooks.configAge = [this] { return m_configFollower.age(); };
    hooks.configApplyTime = m_settings.configApplyTime;
    // By the row that was claimed, as the settings may have been reloaded since.
    if (slot.lease.owner()->servesSubmissions)
        hooks.admit = [this, &slot](JobCall call, OnJobReply reply) {
            if (isServedHere(slot))
                handleHere(slot, std::move(call), std::move(reply));
            else
                reply(noHolderReply(slot.isReleasing));
        };
    // The previous holder has released the shard, or its lease, as that holder counts it, ended at least
    // LeaseSettings::margin ago. An order that it sent before may still be in flight, for up to orderMargin.
    // The first epoch has no previous holder.
    auto ordersFrom = epoch > 1 ? now + orderMargin : now;
    VmControllerSettings vmSettings { m_settings.name, epoch, slot.index, *m_map, ordersFrom,
        m_settings.moveTime, m_settings.maintenanceTime };
    slot.owner = std::make_unique<ShardOwner>(m_loop,
        ShardOwner::Clients { m_store, m_runnerClient, m_vmClient, m_metrics }, settings, vmSettings,
        platform::RowCondition { { leaseTable, slot.part, ownerKey }, version }, version, std::move(hooks));
    if (m_config)
        slot.owner->configure(*m_config);
    for (const auto& [number, wave] : m_waves)
        slot.owner->addWave(wave);
    // The stop signal arrived while the claim was in flight.
    if (m_isStopping)
        release(slot);
    logInfo("shard-held",
        { { "part", slot.part }, { "epoch", std::to_string(epoch) },
            { "version", std::to_string(version) } });
}

void Node::dropShard(Slot& slot, std::string_view why)
{
    if (!slot.owner)
        return;
    logWarning("shard-dropped", { { "part", slot.part }, { "reason", std::string(why) } });
    m_lastReleaseAt = m_clock.now();
    slot.owner.reset();
}

// Addresses change only at the next start; other settings apply to work that begins after the reload.
void Node::reload()
{
    auto settings = m_reload();
    if (!settings) {
        logWarning("reload", { { "result", "refused" } });
        return;
    }
    settings->callerAddress = m_settings.callerAddress;
    settings->readinessAddress = m_settings.readinessAddress;
    settings->peerAddress = m_settings.peerAddress;
    settings->metricsAddress = m_settings.metricsAddress;
    settings->storeAddress = m_settings.storeAddress;
    settings->vmsAddress = m_settings.vmsAddress;
    m_settings = std::move(*settings);
    logInfo("reload", { { "result", "done" } });
}

void Node::stop()
{
    if (std::exchange(m_isStopping, true))
        return;
    m_stopRequestedAt = m_clock.now();
    // `shards` counts all shards, not only those that this process holds.
    logInfo("stopping",
        { { "calls", std::to_string(m_callsInFlight.size()) },
            { "shards", std::to_string(m_slots.size()) } });
    for (auto& slot : m_slots)
        if (slot->owner)
            release(*slot);
}

void Node::release(Slot& slot)
{
    auto released = slot.lease.ownerAfterRelease(slot.handOverAt.has_value(), slot.hasBeenStable);
    slot.isReleasing = true;
    slot.lease.delayAcquire(m_clock.now() + reacquireDelay);
    slot.owner->release(encodeOwner(released), [this, &slot, epoch = released.epoch] {
        logInfo("shard-released", { { "part", slot.part }, { "epoch", std::to_string(epoch) } });
        m_lastReleaseAt = m_clock.now();
        asio::post(m_loop, [&slot] { slot.owner.reset(); });
    });
}

void Node::planHandOver(TimePoint now)
{
    Slot* newest = nullptr;
    for (auto& slot : m_slots) {
        if (!slot->owner)
            continue;
        // Only one shard is handed over at a time.
        if (slot->handOverAt || slot->isReleasing)
            return;
        if (!newest || slot->heldSince > newest->heldSince)
            newest = slot.get();
    }
    if (!newest)
        return;
    HolderState holder { shardsHeld(), m_isOverloaded, isSmall(),
        std::max(newest->heldSince, m_lastReleaseAt), newest->lease.owner()->consecutiveHandOvers };
    if (!isSuboptimal(holder) && now >= newest->heldSince + stabilizationTime)
        newest->hasBeenStable = true;
    if (!isHandOverDue(holder, now))
        return;
    newest->handOverAt = now + vmOrderQuiescePeriod;
    logInfo("shard-hand-over",
        { { "part", newest->part }, { "held", std::to_string(holder.shardsHeld) },
            { "lag-ms", std::to_string(m_lag.average().count()) },
            { "offers", std::to_string(holder.consecutiveHandOvers) },
            { "quiet-ms", std::to_string(vmOrderQuiescePeriod.count()) } });
}

std::size_t Node::shardsHeld() const
{
    return std::size_t(
        std::count_if(m_slots.begin(), m_slots.end(), [](const auto& slot) { return bool(slot->owner); }));
}

bool Node::isSmall() const { return m_settings.processorShare < minHolderCoreShare; }

void Node::observeLag(TimePoint now)
{
    if (m_tickDue != TimePoint {})
        m_lag.observe(m_tickDue, now);
    if (m_isOverloaded == m_lag.isOverloaded())
        return;
    m_isOverloaded = !m_isOverloaded;
    logWarning(m_isOverloaded ? "overloaded" : "overload-over",
        { { "lag-ms", std::to_string(m_lag.average().count()) },
            { "shards", std::to_string(shardsHeld()) } });
}

void Node::finishStop()
{
    answerCallsBeforeExit();
    StopState state;
    state.elapsed = timeSinceStop();
    state.grace = m_settings.stopGrace;
    state.callsInFlight = m_callsInFlight.size();
    state.openConnections = m_callers->openConnections();
    state.sinceLastAnswer
        = std::chrono::duration_cast<std::chrono::milliseconds>(m_clock.now() - m_lastAnswerAt);
    state.tickLag = std::chrono::duration_cast<std::chrono::milliseconds>(m_clock.now() - m_tickDue);
    if (!mayExit(state))
        return;
    for (auto& slot : m_slots)
        slot->owner.reset();
    m_loop.stop();
}

} // namespace fulmar::node
