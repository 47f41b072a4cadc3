#include "node/node.h"

#include "core/log.h"
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

// The only shard of a fleet of this size.
constexpr auto shardPart = "s0";
// Rows that the operator writes.
constexpr std::string_view configKey = "config";
constexpr std::string_view wavePrefix = "wave/";
constexpr std::chrono::milliseconds tickPause { 50 };
// A lease is renewed four times in its length, so that one lost answer does not cost it.
constexpr int renewalsPerLease = 4;
// Processes wait up to this long beyond a lease's end before they try to take it, each another time.
constexpr std::int64_t maxAcquireDelayMs = 250;
// An order of the last holder may still be on its way when its lease ends.
constexpr std::chrono::milliseconds orderMargin { 300 };
constexpr std::chrono::milliseconds acquireTimeout { 1'200 };
constexpr std::chrono::milliseconds feedPause { 10 };
// The callers wait for an answer for 3 s; one that comes later helps nobody.
constexpr std::chrono::milliseconds defaultDeadline { 3'000 };
// Taken off a caller's deadline for the way back.
constexpr std::chrono::milliseconds answerMargin { 150 };
// Without another answer of the holder it is asked this often.
constexpr std::chrono::milliseconds probeInterval { 800 };
// Two missed probes: this process cannot serve.
constexpr std::chrono::milliseconds holderSilence { 2'500 };
constexpr std::chrono::milliseconds retryWithoutHolder { 1'000 };
// Callers keep using open connections after a stop was ordered; the process stays for them this long at
// least, and leaves before it would be killed.
constexpr std::chrono::milliseconds minStopTime { 2'500 };
constexpr std::chrono::milliseconds killMargin { 1'200 };

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

Node::Node(NodeSettings settings, std::uint64_t incarnation)
    : m_settings(std::move(settings))
    , m_incarnation(incarnation)
    , m_http(m_loop)
    , m_store(m_http, m_settings.storeAddress)
    , m_runnerClient(m_http)
    , m_vmClient(m_http, m_settings.vmsAddress)
    , m_rpcClient(m_loop)
    , m_lease(LeaseSettings {}, m_settings.peerAddress, incarnation)
    , m_configFollower(m_loop, m_store, "op", "", feedPause,
          { [this](const platform::StoredRow& row) { onOperatorRow(row); },
              [this](const std::vector<platform::StoredRow>& rows) {
                  for (const auto& row : rows)
                      onOperatorRow(row);
              },
              [] {} })
    , m_leaseFollower(m_loop, m_store, leaseTable, shardPart, feedPause,
          { [this](const platform::StoredRow& row) { onLeaseRow(row); },
              [this](const std::vector<platform::StoredRow>& rows) {
                  for (const auto& row : rows)
                      onLeaseRow(row);
                  if (rows.empty())
                      m_lease.observeOwner(std::nullopt, 0, m_clock.now());
              },
              [] {} })
    , m_tickTimer(m_loop)
    , m_signals(m_loop, SIGTERM, SIGINT, SIGHUP)
{
    std::mt19937_64 random(std::random_device {}());
    m_acquireDelay
        = std::chrono::milliseconds(std::uniform_int_distribution<std::int64_t>(0, maxAcquireDelayMs)(random));
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
    auto rpc = ShardRpcServer::start(m_settings.peerAddress, m_loop, [this](JobCall call, OnJobReply reply) {
        if (m_owner)
            m_owner->handle(std::move(call), std::move(reply));
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
                logInfo("reload", { { "result", "no-setting-changes-at-run-time" } });
            else
                stop();
            waitForSignal();
        });
    };
    waitForSignal();
    followTables();
    tick();
    m_loop.run();
    logInfo("stop", { { "result", "done" } });
    return {};
}

void Node::followTables()
{
    m_configFollower.start();
    m_leaseFollower.start();
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
    if (m_owner)
        m_owner->addWave(*wave);
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
    if (m_owner)
        m_owner->configure(*m_config);
}

void Node::onLeaseRow(const platform::StoredRow& row)
{
    auto now = m_clock.now();
    if (row.name.key == renewalKey) {
        m_lease.observeRenewal(row.version, now);
        return;
    }
    if (row.name.key != ownerKey)
        return;
    auto owner = row.isRemoved ? std::nullopt : decodeOwner(row.value);
    auto isNew = row.version > m_lease.ownerVersion();
    m_lease.observeOwner(owner, row.version, now);
    if (isNew)
        logInfo("shard-holder",
            { { "part", shardPart }, { "address", owner ? owner->address : "" },
                { "epoch", std::to_string(owner ? owner->epoch : 0) } });
    if (m_owner && !m_lease.isOwn())
        dropShard("other-holder");
}

void Node::tick()
{
    auto now = m_clock.now();
    if (m_owner && now >= m_renewAt && !m_isReleased) {
        m_renewAt = now + m_lease.settings().length / renewalsPerLease;
        m_owner->renew();
    }
    if (m_owner)
        m_owner->tick();
    if (!m_owner && !m_isAcquiring && !m_isStopping && m_lease.shouldAcquire(now, m_acquireDelay))
        acquire();
    if (now >= m_probeAt)
        probeHolder();
    if (m_isStopping)
        finishStop();
    m_tickTimer.expires_after(tickPause);
    m_tickTimer.async_wait([this](const asio::error_code& error) {
        if (!error)
            tick();
    });
}

void Node::acquire()
{
    m_isAcquiring = true;
    auto claim = m_lease.claim();
    platform::RowName owner { leaseTable, shardPart, ownerKey };
    platform::RowName renewal { leaseTable, shardPart, renewalKey };
    platform::RowTransaction transaction;
    transaction.conditions = { { owner, m_lease.ownerVersion() }, { renewal, m_lease.renewalVersion() } };
    transaction.puts = { { owner, encodeOwner(claim) }, { renewal, "0" } };
    auto sent = m_clock.now();
    m_store.commit(std::move(transaction), acquireTimeout,
        [this, sent, claim, owner, renewal](const platform::CommitResult& result) {
            m_isAcquiring = false;
            auto now = m_clock.now();
            logInfo("shard-claim",
                { { "part", shardPart }, { "epoch", std::to_string(claim.epoch) },
                    { "outcome", std::to_string(int(result.outcome)) },
                    { "version", std::to_string(result.version) } });
            if (result.outcome == platform::CommitOutcome::Committed) {
                m_lease.observeOwner(claim, result.version, now);
                m_lease.observeRenewal(result.version, now);
                onAcquired(result.version, result.version, claim.epoch, sent);
                return;
            }
            // A conflict tells the rows as they are; what may have been done is seen by the feed.
            for (const auto& row : result.current)
                onLeaseRow(row);
        });
}

void Node::onAcquired(Version ownerVersion, Version renewalVersion, Epoch epoch, TimePoint sent)
{
    if (m_isStopping)
        return;
    m_lease.onRenewed(sent);
    m_renewAt = m_clock.now();
    jobs::ShardSettings settings;
    settings.maxLease = m_settings.maxRunnerLease;
    settings.keepFinished = m_settings.keepFinished + 30s;
    ShardOwner::Hooks hooks;
    hooks.mayOrder = [this] { return m_lease.isValid(m_clock.now()) && !m_isReleased; };
    hooks.onLost = [this] { asio::post(m_loop, [this] { dropShard("store-refused"); }); };
    hooks.onRenewed = [this](TimePoint at) { m_lease.onRenewed(at); };
    // The first holder of all has no predecessor whose orders could be near.
    auto ordersFrom = epoch > 1 ? m_clock.now() + m_settings.holderLease + orderMargin : m_clock.now();
    VmKeeperSettings vmSettings { m_settings.name, epoch, ordersFrom, m_settings.moveTime,
        m_settings.maintenanceTime };
    m_owner = std::make_unique<ShardOwner>(m_loop, ShardOwner::Clients { m_store, m_runnerClient, m_vmClient },
        settings, vmSettings,
        platform::RowCondition { { leaseTable, shardPart, ownerKey }, ownerVersion }, renewalVersion,
        std::move(hooks));
    if (m_config)
        m_owner->configure(*m_config);
    for (const auto& [number, wave] : m_waves)
        m_owner->addWave(wave);
    logInfo("shard-held", { { "part", shardPart }, { "epoch", std::to_string(epoch) } });
}

void Node::dropShard(std::string_view why)
{
    if (!m_owner)
        return;
    logWarning("shard-dropped", { { "part", shardPart }, { "reason", std::string(why) } });
    m_owner.reset();
}

void Node::passOn(JobCall call, std::chrono::milliseconds timeout, OnJobReply reply)
{
    if (m_owner) {
        m_owner->handle(std::move(call), std::move(reply));
        return;
    }
    const auto& owner = m_lease.owner();
    if (!owner || owner->address.empty() || owner->address == m_settings.peerAddress) {
        reply({ JobVerdict::NotHolder, {}, 0, retryWithoutHolder, "no-holder" });
        return;
    }
    m_rpcClient.call(owner->address, call, timeout, [this, reply = std::move(reply)](const JobReply& result) {
        if (result.verdict != JobVerdict::NotHolder && result.verdict != JobVerdict::Uncertain)
            m_holderAnswered = m_clock.now();
        reply(result);
    });
}

void Node::probeHolder()
{
    m_probeAt = m_clock.now() + probeInterval;
    if (m_owner) {
        m_holderAnswered = m_clock.now();
        return;
    }
    if (m_clock.now() < m_holderAnswered + probeInterval)
        return;
    passOn({ JobCallKind::Count, {}, {}, {} }, probeInterval, [](const JobReply&) {});
}

bool Node::isReady() const
{
    return m_config && !m_isStopping && m_clock.now() < m_holderAnswered + holderSilence;
}

void Node::onReadiness(CallId id, const CallerRequest&)
{
    m_readiness->answer(id, plain(isReady() ? 200 : 503), false);
}

void Node::onCaller(CallId id, const CallerRequest& request)
{
    auto received = m_clock.now();
    if (!m_config) {
        m_callers->answer(id, refusal(503, retryWithoutHolder, "no-configuration"), m_isStopping);
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
    passOn(std::move(call), timeout, [this, id, summary, received](const JobReply& reply) {
        --m_callsInFlight;
        answer(id, summary, reply, received);
    });
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
    if (answer.status >= 500 || call.kind != JobCallKind::Show)
        logInfo("answer",
            { { "job", call.job.value() }, { "kind", std::to_string(int(call.kind)) },
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
    logInfo("stopping", { { "calls", std::to_string(m_callsInFlight) }, { "holds", m_owner ? "yes" : "no" } });
    if (!m_owner)
        return;
    auto released = m_lease.claim();
    released.address.clear();
    --released.epoch;
    m_isReleased = true;
    m_owner->release(encodeOwner(released), [this] {
        logInfo("shard-released", { { "part", shardPart } });
        asio::post(m_loop, [this] { m_owner.reset(); });
    });
}

void Node::finishStop()
{
    auto now = m_clock.now();
    auto hasTime = now < m_stopAt + m_settings.stopGrace - killMargin;
    auto isIdle = m_callsInFlight == 0 && m_callers->openConnections() == 0;
    if (hasTime && (now < m_stopAt + minStopTime || !isIdle))
        return;
    m_owner.reset();
    m_loop.stop();
}

} // namespace fulmar::node
