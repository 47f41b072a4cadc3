#include "node/node.h"

#include "core/log.h"
#include "node/stop_plan.h"
#include "platform/decode.h"

#include <algorithm>
#include <asio/post.hpp>
#include <charconv>
#include <fmt/format.h>
#include <random>
#include <strings.h>

namespace fulmar::node {

namespace {

using namespace std::chrono_literals;

constexpr auto operatorTable = "op";
// The row that says into how many shards the fleet is divided.
constexpr auto mapTable = "layout";
constexpr auto mapKey = "shards";
constexpr std::chrono::milliseconds mapRetry { 250 };
// Leases change hands seldom, but every renewal is a change of the table; this paces the answers.
constexpr std::chrono::milliseconds leaseFeedPause { 150 };
// Rows that the operator writes.
constexpr std::string_view configKey = "config";
constexpr std::string_view wavePrefix = "wave/";
constexpr std::chrono::milliseconds tickPause { 50 };
// A lease is renewed four times in its length, so that one lost answer does not cost it.
constexpr int renewalsPerLease = 4;
// Processes wait up to this long beyond a lease's end before they try to take it, each another time.
constexpr std::int64_t maxJitterMs = 250;
// A process that holds shards already, or has a small share of a core, leaves a shard to others for this long.
constexpr std::chrono::milliseconds delayPerHeldShard { 300 };
constexpr std::chrono::milliseconds delayOfSmallest { 400 };
// An order of the last holder may still be on its way when its lease ends.
constexpr std::chrono::milliseconds orderMargin { 300 };
constexpr std::chrono::milliseconds acquireTimeout { 1'200 };
// A claim that failed is tried again after this; the store may be away.
constexpr std::chrono::milliseconds acquireRetry { 250 };
// Kept beyond the time that the platform asks for.
constexpr std::chrono::milliseconds finishedMargin { 30'000 };
constexpr std::chrono::milliseconds feedPause { 10 };
// The callers wait for an answer for 3 s; one that comes later helps nobody.
constexpr std::chrono::milliseconds defaultDeadline { 3'000 };
// Taken off a caller's deadline for the way back.
constexpr std::chrono::milliseconds answerMargin { 150 };
// One try of a call to a holder, which answers within 50 ms when it and the store are well, and the pause before
// the next one.
constexpr std::chrono::milliseconds shortestTry { 200 };
constexpr std::chrono::milliseconds longestTry { 1'200 };
constexpr std::chrono::milliseconds tryPause { 100 };
// Without another answer of the holder it is asked this often.
constexpr std::chrono::milliseconds probeInterval { 800 };
// Two missed probes: this process cannot serve, and says so to the balancer and to callers.
constexpr std::chrono::milliseconds holderSilence { 1'700 };
constexpr std::chrono::milliseconds retryWithoutHolder { 1'000 };
constexpr std::size_t maxMetricsConnections = 16;

std::string headerOf(const CallerRequest& request, std::string_view name)
{
    for (const auto& [each, value] : request.headers)
        if (each.size() == name.size() && strncasecmp(each.data(), name.data(), name.size()) == 0)
            return value;
    return {};
}

// The host without its port.
std::string hostOf(const CallerRequest& request)
{
    auto host = headerOf(request, "Host");
    return host.substr(0, host.find(':'));
}

std::chrono::milliseconds deadlineOf(const CallerRequest& request)
{
    auto text = headerOf(request, "Deadline-Ms");
    std::int64_t value = 0;
    auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || value <= 0)
        return defaultDeadline;
    return std::chrono::milliseconds(value);
}

bool isJobId(std::string_view text)
{
    return text.size() == 16
        && std::all_of(text.begin(), text.end(), [](unsigned char c) { return std::isxdigit(c); });
}

HttpAnswer plain(std::uint32_t status, std::string body = "{}")
{
    return { status, { { "Content-Type", "application/json" } }, std::move(body) };
}

HttpAnswer refusal(std::uint32_t status, std::chrono::milliseconds retryAfter, std::string_view reason)
{
    auto answer = plain(status, fmt::format(R"({{"reason":"{}"}})", reason));
    auto seconds = std::chrono::ceil<std::chrono::seconds>(std::max(retryAfter, 1ms));
    answer.headers.emplace_back("Retry-After", std::to_string(seconds.count()));
    return answer;
}

} // namespace

Node::Node(NodeSettings settings, std::uint64_t incarnation, Reload reload)
    : m_settings(std::move(settings))
    , m_reload(std::move(reload))
    , m_incarnation(incarnation)
    , m_http(m_loop)
    , m_store(m_http, m_settings.storeAddress)
    , m_runnerClient(m_http)
    , m_vmClient(m_http, m_settings.vmsAddress)
    , m_rpcClient(m_loop)
    , m_configFollower(m_loop, m_store, operatorTable, { "" }, feedPause,
          { [this](const platform::StoredRow& row) { onOperatorRow(row); },
              [this](const std::vector<platform::StoredRow>& rows) {
                  for (const auto& row : rows)
                      onOperatorRow(row);
              },
              [] {} })
    , m_mapTimer(m_loop)
    , m_tickTimer(m_loop)
    , m_signals(m_loop, SIGTERM, SIGINT, SIGHUP)
{
    std::mt19937_64 random(std::random_device {}());
    m_jitter = std::chrono::milliseconds(std::uniform_int_distribution<std::int64_t>(0, maxJitterMs)(random));
}

Node::~Node() = default;

Result<void> Node::listen()
{
    CallerServerLimits limits { m_settings.callerAddress };
    limits.maxConnections = std::size_t(m_settings.maxDescriptors) / 2;
    limits.maxBodyBytes = 1024 * 1024;
    limits.readTimeout = 60s;
    auto callers = CallerServer::start(
        m_loop, limits, [this](CallId id, const CallerRequest& request) { onCaller(id, request); });
    if (!callers)
        return tl::unexpected(callers.error());
    m_callers = std::move(*callers);
    limits.address = m_settings.readinessAddress;
    auto readiness = CallerServer::start(
        m_loop, limits, [this](CallId id, const CallerRequest& request) { onReadiness(id, request); });
    if (!readiness)
        return tl::unexpected(readiness.error());
    m_readiness = std::move(*readiness);
    limits.address = m_settings.metricsAddress;
    limits.maxConnections = maxMetricsConnections;
    auto metrics = CallerServer::start(m_loop, limits, [this](CallId id, const CallerRequest&) { onMetrics(id); });
    if (!metrics)
        return tl::unexpected(metrics.error());
    m_metricsServer = std::move(*metrics);
    auto rpc = ShardRpcServer::start(m_settings.peerAddress, m_loop, [this](JobCall call, OnJobReply reply) {
        auto* slot = call.shard < m_slots.size() ? m_slots[call.shard].get() : nullptr;
        if (slot && slot->owner)
            slot->owner->handle(std::move(call), std::move(reply));
        else
            reply({ JobVerdict::NotHolder, {}, 0, retryWithoutHolder, "not-holder" });
    });
    if (!rpc)
        return tl::unexpected(rpc.error());
    m_rpcServer = std::move(*rpc);
    return {};
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
            if (signal == SIGHUP)
                this->reload();
            else
                stop();
            waitForSignal();
        });
    };
    waitForSignal();
    m_configFollower.start();
    readShardMap();
    tick();
    m_loop.run();
    logInfo("stop", { { "result", "done" } });
    return {};
}

void Node::readShardMap()
{
    m_store.read(mapTable, "", {}, acquireTimeout, [this](const std::optional<platform::RowPage>& page) {
        auto map = page && !page->rows.empty() ? decodeShardMap(page->rows.front().value) : std::nullopt;
        if (map) {
            onShardMap(*map);
            return;
        }
        m_mapTimer.expires_after(mapRetry + m_jitter);
        m_mapTimer.async_wait([this, isEmpty = page && page->rows.empty()](const asio::error_code& error) {
            if (error)
                return;
            if (isEmpty)
                proposeShardMap();
            else
                readShardMap();
        });
    });
}

// The first process to write the row settles it; the others read it then.
void Node::proposeShardMap()
{
    m_vmClient.list([this](const std::optional<std::vector<jobs::VmRecord>>& vms) {
        if (!vms || vms->empty()) {
            readShardMap();
            return;
        }
        platform::RowName name { mapTable, "", mapKey };
        platform::RowTransaction transaction;
        transaction.conditions.push_back({ name, 0 });
        transaction.puts.push_back({ name, encodeShardMap(shardMapFor(vms->size())) });
        m_store.commit(
            transaction, acquireTimeout, [this](const platform::CommitResult&) { readShardMap(); });
    });
}

void Node::onShardMap(const ShardMap& map)
{
    logInfo("shard-map", { { "shards", std::to_string(map.count) } });
    m_map = map;
    std::vector<std::string> parts;
    for (std::uint32_t index = 0; index < map.count; ++index) {
        parts.push_back(ShardMap::partOf(index));
        m_slots.push_back(std::make_unique<Slot>(Slot { index, parts.back(),
            ShardLease(LeaseSettings {}, m_settings.peerAddress, m_incarnation), nullptr, false, false, {}, {},
            {} }));
    }
    m_leaseFollower = std::make_unique<TableFollower>(m_loop, m_store, leaseTable, std::move(parts),
        leaseFeedPause,
        TableFollower::Hooks { [this](const platform::StoredRow& row) { onLeaseRow(row); },
            [this](const std::vector<platform::StoredRow>& rows) {
                for (const auto& row : rows)
                    onLeaseRow(row);
                for (auto& slot : m_slots)
                    if (!slot->lease.owner())
                        slot->lease.observeOwner(std::nullopt, slot->lease.ownerVersion(), m_clock.now());
            },
            [] {} });
    m_leaseFollower->start();
}

Node::Slot* Node::slotOf(const std::string& part)
{
    auto found = std::find_if(m_slots.begin(), m_slots.end(), [&](const auto& slot) { return slot->part == part; });
    return found == m_slots.end() ? nullptr : found->get();
}

void Node::onOperatorRow(const platform::StoredRow& row)
{
    if (row.isRemoved)
        return;
    if (row.name.key == configKey)
        onConfigRow(row.value);
    else if (row.name.key.starts_with(wavePrefix))
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
        logWarning("config-unreadable", { { "bytes", std::to_string(value.size()) } });
        return;
    }
    if (m_config && config->version <= m_config->version)
        return;
    logInfo("config",
        { { "version", std::to_string(config->version) },
            { "before", std::to_string(m_config ? m_config->version : 0) },
            { "queues", std::to_string(config->queues.size()) } });
    m_config = std::move(*config);
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
    if (row.name.key != ownerKey)
        return;
    auto owner = row.isRemoved ? std::nullopt : decodeOwner(row.value);
    auto isNew = row.version > slot->lease.ownerVersion();
    slot->lease.observeOwner(owner, row.version, now);
    // A process that has just written the row is there.
    if (isNew)
        slot->holderAnswered = now;
    if (isNew)
        logInfo("shard-holder",
            { { "part", slot->part }, { "address", owner ? owner->address : "" },
                { "epoch", std::to_string(owner ? owner->epoch : 0) } });
    if (slot->owner && !slot->lease.isOwn())
        dropShard(*slot, "other-holder");
}

void Node::tick()
{
    auto now = m_clock.now();
    for (auto& slot : m_slots)
        tickSlot(*slot, now);
    if (m_isStopping)
        finishStop();
    m_tickTimer.expires_after(tickPause);
    m_tickTimer.async_wait([this](const asio::error_code& error) {
        if (!error)
            tick();
    });
}

void Node::tickSlot(Slot& slot, TimePoint now)
{
    if (slot.owner) {
        if (now >= slot.renewAt && !slot.isReleased) {
            slot.renewAt = now + slot.lease.settings().length / renewalsPerLease;
            slot.owner->renew();
        }
        slot.owner->tick();
    } else if (!slot.isAcquiring && !m_isStopping && slot.lease.shouldAcquire(now, acquireDelay())) {
        acquire(slot);
    }
    if (now >= slot.probeAt)
        probeHolder(slot, now);
}

std::chrono::milliseconds Node::acquireDelay() const
{
    auto held = std::count_if(
        m_slots.begin(), m_slots.end(), [](const auto& slot) { return slot->owner || slot->isAcquiring; });
    auto smallness = std::clamp(1 - m_settings.processorShare * 2, 0.0, 1.0);
    return m_jitter + delayPerHeldShard * held
        + std::chrono::milliseconds(std::int64_t(double(delayOfSmallest.count()) * smallness));
}

void Node::acquire(Slot& slot)
{
    slot.isAcquiring = true;
    auto claim = slot.lease.claim();
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
            slot.lease.delayAcquire(now + acquireRetry);
            // A conflict tells the rows as they are; what may have been done is seen by the feed.
            for (const auto& row : result.current)
                onLeaseRow(row);
        });
}

void Node::onAcquired(Slot& slot, Version version, Epoch epoch, TimePoint sent)
{
    if (m_isStopping)
        return;
    auto now = m_clock.now();
    slot.lease.onRenewed(sent);
    slot.renewAt = now;
    jobs::ShardSettings settings;
    settings.maxLease = m_settings.maxRunnerLease;
    settings.keepFinished = m_settings.keepFinished + finishedMargin;
    ShardOwner::Hooks hooks;
    hooks.mayOrder = [this, &slot] { return slot.lease.isValid(m_clock.now()) && !slot.isReleased; };
    hooks.onLost = [this, &slot] { asio::post(m_loop, [this, &slot] { dropShard(slot, "store-refused"); }); };
    hooks.onRenewed = [&slot](TimePoint at) { slot.lease.onRenewed(at); };
    hooks.isOurs = [this, index = slot.index](const VmId& vm) { return m_map->shardOf(vm) == index; };
    // A predecessor has released the shard, or was without its lease for its margin at least; an order that it sent
    // before may still be on its way. The first holder of all has none.
    auto ordersFrom = epoch > 1 ? now + orderMargin : now;
    VmKeeperSettings vmSettings { m_settings.name, epoch, slot.index, *m_map, ordersFrom, m_settings.moveTime,
        m_settings.maintenanceTime };
    slot.owner = std::make_unique<ShardOwner>(m_loop,
        ShardOwner::Clients { m_store, m_runnerClient, m_vmClient, m_metrics }, settings, vmSettings,
        platform::RowCondition { { leaseTable, slot.part, ownerKey }, version }, version, std::move(hooks));
    if (m_config)
        slot.owner->configure(*m_config);
    for (const auto& [number, wave] : m_waves)
        slot.owner->addWave(wave);
    logInfo("shard-held",
        { { "part", slot.part }, { "epoch", std::to_string(epoch) }, { "version", std::to_string(version) } });
}

void Node::dropShard(Slot& slot, std::string_view why)
{
    if (!slot.owner)
        return;
    logWarning("shard-dropped", { { "part", slot.part }, { "reason", std::string(why) } });
    slot.owner.reset();
}

void Node::passOn(JobCall call, std::chrono::milliseconds timeout, OnJobReply reply)
{
    auto* slot = call.shard < m_slots.size() ? m_slots[call.shard].get() : nullptr;
    if (slot && slot->owner) {
        slot->owner->handle(std::move(call), std::move(reply));
        return;
    }
    auto owner = slot ? slot->lease.owner() : std::nullopt;
    if (!owner || owner->address.empty() || owner->address == m_settings.peerAddress) {
        reply({ JobVerdict::NotHolder, {}, 0, retryWithoutHolder, "no-holder" });
        return;
    }
    // A holder that has not answered for a while is not asked, so that the caller is told at once; probes go on.
    auto isProbe = call.kind == JobCallKind::Count && call.queue.empty();
    if (!isProbe && m_clock.now() >= slot->holderAnswered + holderSilence) {
        reply({ JobVerdict::NotHolder, {}, 0, retryWithoutHolder, "holder-silent" });
        return;
    }
    m_rpcClient.call(
        owner->address, call, timeout, [this, slot, reply = std::move(reply)](const JobReply& result) {
            if (result.verdict != JobVerdict::NotHolder && result.verdict != JobVerdict::Uncertain)
                slot->holderAnswered = m_clock.now();
            reply(result);
        });
}

// Holders know a job by its id, so that a call whose outcome is unknown can be made again: to the same holder, or
// to the next one, which has read what the last one stored.
void Node::passOnUntilSure(JobCall call, TimePoint deadline, bool wasUncertain, OnJobReply reply)
{
    auto left = std::chrono::duration_cast<std::chrono::milliseconds>(deadline - m_clock.now());
    auto timeout = std::clamp(left, shortestTry, longestTry);
    passOn(call, timeout,
        [this, call, deadline, wasUncertain, reply = std::move(reply)](const JobReply& result) mutable {
            auto isUncertain = result.verdict == JobVerdict::Uncertain
                || (result.verdict == JobVerdict::NotHolder && wasUncertain);
            if (!isUncertain) {
                reply(result);
                return;
            }
            if (m_clock.now() + tryPause + shortestTry >= deadline) {
                auto last = result;
                last.verdict = JobVerdict::Uncertain;
                reply(last);
                return;
            }
            auto timer = std::make_shared<asio::steady_timer>(m_loop, tryPause);
            timer->async_wait([this, timer, call = std::move(call), deadline, reply = std::move(reply)](
                                  const asio::error_code& error) mutable {
                if (!error)
                    passOnUntilSure(std::move(call), deadline, true, std::move(reply));
            });
        });
}

void Node::countPending(JobCall call, std::chrono::milliseconds timeout, OnJobReply reply)
{
    struct Count {
        std::size_t left;
        JobReply total;
        OnJobReply reply;
    };
    auto count = std::make_shared<Count>(Count { m_slots.size(), {}, std::move(reply) });
    count->total.verdict = JobVerdict::Done;
    if (m_slots.empty())
        count->reply({ JobVerdict::NotHolder, {}, 0, retryWithoutHolder, "no-shard-map" });
    for (call.shard = 0; call.shard < m_slots.size(); ++call.shard)
        passOn(call, timeout, [count](const JobReply& part) {
            count->total.pending += part.pending;
            if (part.verdict != JobVerdict::Done && count->total.verdict == JobVerdict::Done) {
                auto pending = count->total.pending;
                count->total = part;
                count->total.pending = pending;
            }
            if (--count->left == 0)
                count->reply(count->total);
        });
}

void Node::search(JobCall call, std::uint32_t asked, TimePoint deadline, OnJobReply reply)
{
    passOnUntilSure(call, deadline, false,
        [this, call, asked, deadline, reply = std::move(reply)](const JobReply& result) mutable {
            auto isLast = asked + 1 >= m_slots.size();
            if (result.verdict != JobVerdict::UnknownJob || isLast) {
                reply(result);
                return;
            }
            call.shard = (call.shard + 1) % std::uint32_t(m_slots.size());
            search(std::move(call), asked + 1, deadline, std::move(reply));
        });
}

void Node::probeHolder(Slot& slot, TimePoint now)
{
    slot.probeAt = now + probeInterval;
    if (slot.owner)
        slot.holderAnswered = now;
    else if (now >= slot.holderAnswered + probeInterval)
        passOn({ JobCallKind::Count, {}, {}, {}, slot.index }, probeInterval, [](const JobReply&) {});
}

bool Node::isReady() const
{
    auto now = m_clock.now();
    return m_config && !m_isStopping && !m_slots.empty()
        && std::all_of(m_slots.begin(), m_slots.end(),
            [now](const auto& slot) { return now < slot->holderAnswered + holderSilence; });
}

void Node::onReadiness(CallId id, const CallerRequest&)
{
    m_readiness->answer(id, plain(isReady() ? 200 : 503), false);
}

std::uint32_t Node::shardFor(const jobs::Job& job) const
{
    return job.isLasting() ? m_map->shardOfQueue(job.queue) : m_map->shardOf(job.id);
}

void Node::onMetrics(CallId id)
{
    std::size_t held = 0;
    std::size_t runners = 0;
    std::size_t known = 0;
    for (const auto& slot : m_slots) {
        if (!slot->owner)
            continue;
        ++held;
        runners += slot->owner->shard().runners().size();
        known += slot->owner->shard().book().all().size();
    }
    m_metrics.setShardsHeld(held);
    m_metrics.setFleet(runners, known);
    m_metrics.setConfigVersion(m_config ? m_config->version : 0);
    HttpAnswer answer { 200, { { "Content-Type", "text/plain; version=0.0.4" } }, m_metrics.serialize() };
    m_metricsServer->answer(id, std::move(answer), false);
}

// Addresses stay as they are until the next start; the rest is in force for what begins after this.
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

void Node::onCaller(CallId id, const CallerRequest& request)
{
    auto received = m_clock.now();
    auto stopping = std::chrono::duration_cast<std::chrono::milliseconds>(received - m_stopAt);
    if (m_isStopping && !takesCalls(stopping, m_settings.stopGrace)) {
        m_answeredAt = received;
        m_callers->answer(id, refusal(503, retryWithoutHolder, "stopping"), true);
        return;
    }
    if (!m_config || !m_map) {
        m_callers->answer(id, refusal(503, retryWithoutHolder, "not-started"), m_isStopping);
        return;
    }
    auto path = request.path.substr(0, request.path.find('?'));
    const auto* queue = m_config->queueFor(hostOf(request), path);
    auto rest = queue ? path.substr(queue->pathPrefix.size()) : std::string_view();
    if (!queue || (!rest.empty() && !isJobId(rest))) {
        m_callers->answer(id, plain(404), m_isStopping);
        return;
    }
    JobCall call;
    call.queue = queue->name;
    call.job = JobId(std::string(rest));
    call.shard = m_map->shardOf(call.job);
    if (request.method == "POST" && !rest.empty()) {
        call.kind = JobCallKind::Submit;
        auto job = platform::decodeSubmission(request.body);
        if (!job) {
            m_callers->answer(id, plain(400, R"({"reason":"unreadable-job"})"), m_isStopping);
            return;
        }
        job->id = call.job;
        job->queue = queue->name;
        job->policy = queue->policy;
        call.encodedJob = jobs::encodeJob(*job);
        call.shard = shardFor(*job);
    } else if (request.method == "GET") {
        call.kind = rest.empty() ? JobCallKind::Count : JobCallKind::Show;
    } else if (request.method == "DELETE" && !rest.empty()) {
        call.kind = JobCallKind::Cancel;
    } else {
        m_callers->answer(id, plain(405), m_isStopping);
        return;
    }
    ++m_callsInFlight;
    auto timeout = std::max(deadlineOf(request) - answerMargin, answerMargin);
    auto summary = JobCall { call.kind, call.job, call.queue, {} };
    auto done = [this, id, summary, received](const JobReply& reply) {
        --m_callsInFlight;
        answer(id, summary, reply, received);
    };
    if (call.kind == JobCallKind::Submit)
        passOnUntilSure(std::move(call), received + timeout, false, std::move(done));
    else if (call.kind == JobCallKind::Count)
        countPending(std::move(call), timeout, std::move(done));
    else
        search(std::move(call), 0, received + timeout, std::move(done));
}

void Node::answer(CallId id, const JobCall& call, const JobReply& reply, TimePoint received)
{
    HttpAnswer answer;
    switch (reply.verdict) {
    case JobVerdict::Done:
        answer = plain(200);
        if (call.kind == JobCallKind::Show)
            answer.body = platform::encodeJobState(reply.state);
        else if (call.kind == JobCallKind::Count)
            answer.body = platform::encodePending(reply.pending);
        break;
    case JobVerdict::UnknownJob:
        answer = plain(410);
        break;
    case JobVerdict::Rejected:
        answer = refusal(429, reply.retryAfter, reply.reason);
        break;
    case JobVerdict::NotHolder:
        answer = refusal(503, retryWithoutHolder, reply.reason);
        break;
    case JobVerdict::Uncertain:
        answer = plain(504, R"({"reason":"outcome-unknown"})");
        break;
    }
    m_answeredAt = m_clock.now();
    m_metrics.countAnswer(std::string(toString(call.kind)), int(answer.status), m_clock.now() - received);
    auto log = answer.status >= 400 ? logWarning : logInfo;
    if (answer.status >= 400 || call.kind == JobCallKind::Submit || call.kind == JobCallKind::Cancel)
        log("answer",
            { { "job", call.job.value() }, { "kind", std::string(toString(call.kind)) },
                { "status", std::to_string(answer.status) }, { "verdict", std::string(toString(reply.verdict)) },
                { "reason", reply.reason },
                { "ms", std::to_string((m_clock.now() - received).count() / 1000) } });
    m_callers->answer(id, std::move(answer), m_isStopping || !isReady());
}

void Node::stop()
{
    if (std::exchange(m_isStopping, true))
        return;
    m_stopAt = m_clock.now();
    logInfo("stopping", { { "calls", std::to_string(m_callsInFlight) }, { "shards", std::to_string(m_slots.size()) } });
    for (auto& slot : m_slots)
        if (slot->owner)
            release(*slot);
}

void Node::release(Slot& slot)
{
    auto released = slot.lease.claim();
    released.address.clear();
    --released.epoch;
    slot.isReleased = true;
    slot.owner->release(encodeOwner(released), [this, &slot] {
        logInfo("shard-released", { { "part", slot.part } });
        asio::post(m_loop, [&slot] { slot.owner.reset(); });
    });
}

void Node::finishStop()
{
    StopState state;
    state.elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(m_clock.now() - m_stopAt);
    state.grace = m_settings.stopGrace;
    state.callsInFlight = m_callsInFlight;
    state.openConnections = m_callers->openConnections();
    state.sinceLastAnswer
        = std::chrono::duration_cast<std::chrono::milliseconds>(m_clock.now() - m_answeredAt);
    if (!mayExit(state))
        return;
    for (auto& slot : m_slots)
        slot->owner.reset();
    m_loop.stop();
}

} // namespace fulmar::node
