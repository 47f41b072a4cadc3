#include "node/node.h"

#include "core/log.h"
#include "node/call_retry.h"
#include "node/caller_access.h"
#include "node/readiness.h"
#include "node/stop_plan.h"
#include "node/stored_job_view.h"
#include "platform/decode.h"
#include "platform/names.h"

#include <algorithm>
#include <charconv>
#include <fmt/format.h>
#include <strings.h>

namespace fulmar::node {

namespace {

using namespace std::chrono_literals;

// Callers wait 3 s for an answer and ignore later ones.
constexpr std::chrono::milliseconds defaultDeadline { 3'000 };
// Part of a caller's deadline reserved for the transfer of the answer.
constexpr std::chrono::milliseconds answerMargin { 150 };
// A holder is probed this long after its last answer.
constexpr std::chrono::milliseconds probeInterval { 800 };
// A holder that misses two probes is unreachable: calls for its shard are refused, and it counts against this
// process's readiness.
constexpr std::chrono::milliseconds holderTimeout { 1'700 };
// A holder that has not answered for this long is unreachable for a submission whose first attempt got no
// answer.
constexpr std::chrono::milliseconds secondAttemptTimeout { 1'200 };
// A holder whose renewal was seen within this time reaches the store, and so does this process. Renewals come
// every 0.75 s, and a small process sees them up to 0.4 s later.
constexpr std::chrono::milliseconds maxRenewalAge { 1'500 };
// Bytes of a submission's row besides the job.
constexpr std::size_t submissionRowOverhead { 2'048 };
constexpr std::size_t maxLoggedPathBytes = 200;

std::string headerOf(const CallerRequest& request, std::string_view name)
{
    for (const auto& [each, value] : request.headers)
        if (each.size() == name.size() && strncasecmp(each.data(), name.data(), name.size()) == 0)
            return value;
    return {};
}

// The host name of the request, without the port.
std::string hostOf(const CallerRequest& request)
{
    auto host = headerOf(request, "Host");
    return host.substr(0, host.find(':'));
}

std::chrono::milliseconds deadlineOf(const CallerRequest& request)
{
    auto text = headerOf(request, platform::callTimeoutHeader);
    std::int64_t value = 0;
    auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || value <= 0)
        return defaultDeadline;
    return std::chrono::milliseconds(value);
}

HttpAnswer makeJsonAnswer(std::uint32_t status, std::string body = "{}")
{
    return { status, { { "Content-Type", "application/json" } }, std::move(body) };
}

HttpAnswer refusal(std::uint32_t status, std::chrono::milliseconds retryAfter, std::string_view reason)
{
    auto answer = makeJsonAnswer(status, fmt::format(R"({{"reason":"{}"}})", reason));
    auto seconds = std::chrono::ceil<std::chrono::seconds>(std::max(retryAfter, 1ms));
    answer.headers.emplace_back("Retry-After", std::to_string(seconds.count()));
    return answer;
}

// For the metrics; empty if the call was not refused. Reasons of failed calls between processes are texts
// without bound.
std::string_view refusalReason(const JobReply& reply)
{
    switch (reply.verdict) {
    case JobVerdict::Rejected:
    case JobVerdict::Unavailable:
    case JobVerdict::UnknownKey:
    case JobVerdict::OtherTeam:
        return reply.reason;
    case JobVerdict::NotHolder:
        return toString(reply.verdict);
    case JobVerdict::Done:
    case JobVerdict::UnknownJob:
    case JobVerdict::Uncertain:
        break;
    }
    return {};
}

HttpAnswer unknownKeyAnswer()
{
    auto answer = makeJsonAnswer(401, fmt::format(R"({{"reason":"{}"}})", unknownKeyReason));
    answer.headers.emplace_back("WWW-Authenticate", "Bearer");
    return answer;
}

} // namespace

void Node::forward(JobCall call, std::chrono::milliseconds timeout, OnJobReply reply)
{
    auto* slot = call.shard < m_slots.size() ? m_slots[call.shard].get() : nullptr;
    if (slot && isServedHere(*slot)) {
        handleHere(*slot, std::move(call), std::move(reply));
        return;
    }
    auto owner = slot ? slot->lease.owner() : std::nullopt;
    if (!owner || owner->address.empty() || owner->address == m_settings.peerAddress) {
        auto isReleased = slot && (slot->isReleasing || (owner && owner->address.empty()));
        reply(noHolderReply(isReleased));
        return;
    }
    // Calls to an unreachable holder fail immediately instead of timing out; probes continue.
    if (!call.isProbe() && m_clock.now() >= slot->holderAnsweredAt + holderTimeout) {
        reply({ JobVerdict::NotHolder, {}, 0, noHolderRetryAfter, "holder-silent" });
        return;
    }
    m_rpcClient.call(
        owner->address, call, timeout, [this, slot, reply = std::move(reply)](const JobReply& result) {
            if (result.verdict != JobVerdict::NotHolder && result.verdict != JobVerdict::Uncertain)
                slot->holderAnsweredAt = m_clock.now();
            reply(result);
        });
}

void Node::handleHere(Slot& slot, JobCall call, OnJobReply reply)
{
    if (auto refused = refuseForwardedCall(call, m_config ? &*m_config : nullptr, configAge())) {
        reply(std::move(*refused));
        return;
    }
    slot.owner->handle(std::move(call), std::move(reply));
}

Node::RetryState Node::newRetryState(TimePoint deadline) const
{
    return { deadline, false, std::min(deadline, m_clock.now() + maxWaitForNextHolder) };
}

bool Node::isCutOff(const Slot& slot, std::chrono::milliseconds silence) const
{
    auto now = m_clock.now();
    const auto& holder = slot.lease.owner();
    auto renewedAt = slot.lease.unchangedSince();
    return m_settings.storeSubmissions && !slot.owner && holder && holder->servesSubmissions
        && !holder->address.empty() && holder->address != m_settings.peerAddress
        && now >= slot.holderAnsweredAt + silence && renewedAt && now <= *renewedAt + maxRenewalAge;
}

bool Node::callThroughStore(const JobCall& call, const RetryState& retryState, const OnJobReply& reply)
{
    const auto* slot = call.shard < m_slots.size() ? m_slots[call.shard].get() : nullptr;
    // The key of an undecided call must not be stored, and only the holder can decide.
    if (!slot || call.undecided
        || !isCutOff(*slot, retryState.wasUncertain ? secondAttemptTimeout : holderTimeout))
        return false;
    if (call.kind == JobCallKind::Show) {
        auto left
            = std::chrono::duration_cast<std::chrono::milliseconds>(retryState.deadline - m_clock.now());
        showStoredJob(m_store, slot->part, call, m_config && m_config->teams, attemptTimeout(left), reply);
        return true;
    }
    return call.kind == JobCallKind::Submit
        && call.encodedJob.size() + submissionRowOverhead <= m_settings.maxRowBytes
        && m_storeSubmitter->submit(
            { slot->part, { { leaseTable, slot->part, ownerKey }, slot->lease.ownerVersion() } }, call,
            retryState.deadline, reply);
}

void Node::forwardWithRetries(JobCall call, RetryState retryState, OnJobReply reply)
{
    auto timeLeft = [this](TimePoint moment) {
        return std::chrono::duration_cast<std::chrono::milliseconds>(moment - m_clock.now());
    };
    auto isThroughStore = std::make_shared<bool>(false);
    auto onResult = [this, call, retryState, timeLeft, isThroughStore, reply = std::move(reply)](
                        JobReply result) mutable {
        auto mayWait
            = isRefusedAfterRelease(result) && timeLeft(retryState.nextHolderDeadline) > retryInterval;
        // Another row would have the same outcome.
        auto left = *isThroughStore ? std::chrono::milliseconds(0) : timeLeft(retryState.deadline);
        auto step = mayWait ? RetryStep::Retry : decideRetry(result.verdict, retryState.wasUncertain, left);
        switch (step) {
        case RetryStep::Answer:
            reply(std::move(result));
            return;
        case RetryStep::AnswerUncertain:
            result.verdict = JobVerdict::Uncertain;
            reply(std::move(result));
            return;
        case RetryStep::Retry:
            break;
        }
        // An attempt refused for lack of a holder had no effect.
        retryState.wasUncertain |= !mayWait;
        auto timer = std::make_shared<asio::steady_timer>(m_loop, retryInterval);
        timer->async_wait([this, timer, call = std::move(call), retryState, reply = std::move(reply)](
                              const asio::error_code& error) mutable {
            if (!error)
                forwardWithRetries(std::move(call), retryState, std::move(reply));
        });
    };
    *isThroughStore = callThroughStore(call, retryState, onResult);
    if (!*isThroughStore)
        forward(call, attemptTimeout(timeLeft(retryState.deadline)), std::move(onResult));
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
        count->reply({ JobVerdict::NotHolder, {}, 0, noHolderRetryAfter, "no-shard-map" });
    for (call.shard = 0; call.shard < m_slots.size(); ++call.shard)
        forward(call, timeout, [count](const JobReply& part) {
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

void Node::search(JobCall call, std::uint32_t shardsAsked, TimePoint deadline, OnJobReply reply)
{
    forwardWithRetries(call, newRetryState(deadline),
        [this, call, shardsAsked, deadline, reply = std::move(reply)](const JobReply& result) mutable {
            auto isLast = shardsAsked + 1 >= m_slots.size();
            if (result.verdict != JobVerdict::UnknownJob || isLast) {
                reply(result);
                return;
            }
            call.shard = (call.shard + 1) % std::uint32_t(m_slots.size());
            search(std::move(call), shardsAsked + 1, deadline, std::move(reply));
        });
}

void Node::probeHolder(Slot& slot, TimePoint now)
{
    slot.nextProbeAt = now + probeInterval;
    if (slot.owner)
        slot.holderAnsweredAt = now;
    else if (now >= slot.holderAnsweredAt + probeInterval)
        forward({ JobCallKind::Count, {}, {}, {}, slot.index }, probeInterval, [](const JobReply&) {});
}

bool Node::isReady() const
{
    auto now = m_clock.now();
    auto unreachable = std::count_if(m_slots.begin(), m_slots.end(),
        [now](const auto& slot) { return now >= slot->holderAnsweredAt + holderTimeout; });
    return m_config && !m_isStopping && isReadyWith(std::size_t(unreachable), m_slots.size());
}

void Node::onReadiness(CallId id, const CallerRequest&)
{
    m_readiness->answer(id, makeJsonAnswer(isReady() ? 200 : 503), false);
}

std::optional<std::uint32_t> Node::shardFor(const jobs::Job& job) const
{
    if (!job.isLongRunning())
        return m_map->shardOf(job.id);
    auto poolIndex = m_poolOrder.indexOf(job.policy.pool);
    return poolIndex ? std::optional(m_map->shardOfLongRunning(*poolIndex)) : std::nullopt;
}

void Node::onMetrics(CallId id)
{
    std::size_t held = 0;
    std::size_t runners = 0;
    std::size_t known = 0;
    std::size_t stalled = 0;
    std::chrono::milliseconds longestStall { 0 };
    for (const auto& slot : m_slots) {
        if (!slot->owner)
            continue;
        ++held;
        runners += slot->owner->shard().runners().size();
        known += slot->owner->shard().jobTable().all().size();
        const auto& stalledJobs = slot->owner->shard().stalledJobs();
        stalled += stalledJobs.count;
        if (stalledJobs.oldest)
            longestStall = std::max(longestStall, stalledJobs.oldest->stalledFor);
    }
    m_metrics.setShardsHeld(held);
    m_metrics.setFleet(runners, known);
    m_metrics.setStalledJobs(stalled, longestStall);
    m_metrics.setClientMemory(m_clientGuard->memory().heldBytes(), m_clientGuard->memory().maxBytes());
    m_metrics.setConfig(configView().version, configView().age);
    HttpAnswer answer { 200, { { "Content-Type", "text/plain; version=0.0.4" } }, m_metrics.serialize() };
    m_metricsServer->answer(id, std::move(answer), false);
}

ConfigAge Node::configAge() const { return { m_configFollower.age(), m_settings.configApplyTime }; }

Node::ConfigView Node::configView() const
{
    return { m_config ? m_config->version : 0, m_configFollower.age() };
}

void Node::refuse(CallId id, const CallerRequest& request, HttpAnswer answer, std::string_view reason)
{
    auto config = configView();
    m_lastAnswerAt = m_clock.now();
    m_metrics.countAnswer("none", int(answer.status), {});
    m_metrics.countRefusal(std::string(reason));
    logWarning("refused",
        { { "host", hostOf(request) }, { "method", request.method },
            { "path", std::string(request.path.substr(0, maxLoggedPathBytes)) },
            { "status", std::to_string(answer.status) }, { "reason", std::string(reason) },
            { "config", std::to_string(config.version) },
            { "config-age-ms", std::to_string(config.age.count()) } });
    m_callers->answer(id, std::move(answer), m_isStopping);
}

void Node::onCaller(CallId id, const CallerRequest& request)
{
    auto received = m_clock.now();
    if (m_isStopping && !acceptsCalls(timeSinceStop(), m_settings.stopGrace)) {
        refuse(id, request, refusal(503, noHolderRetryAfter, "stopping"), "stopping");
        return;
    }
    if (!m_config || !m_map) {
        refuse(id, request, refusal(503, noHolderRetryAfter, "not-started"), "not-started");
        return;
    }
    auto path = request.path.substr(0, request.path.find('?'));
    auto host = hostOf(request);
    auto age = configAge();
    auto [verdict, queue, jobId] = lookUpQueue(*m_config, host, path, age);
    if (verdict == QueueVerdict::Denied) {
        refuse(id, request, makeJsonAnswer(404), "unknown-queue");
        return;
    }
    if (verdict == QueueVerdict::Unconfirmed) {
        refuse(id, request, refusal(503, unconfirmedRetryAfter, unconfirmedReason), unconfirmedReason);
        return;
    }
    auto authorization = headerOf(request, "Authorization");
    auto apiKey = apiKeyOf(authorization);
    auto access = checkAccess(*m_config, *queue, apiKey, age);
    if (access.verdict == AccessVerdict::UnknownKey) {
        refuse(id, request, unknownKeyAnswer(), unknownKeyReason);
        return;
    }
    JobCall call;
    call.team = access.team;
    if (access.verdict == AccessVerdict::Unconfirmed)
        call.undecided = { host, std::string(path), std::string(apiKey) };
    call.queue = queue->name;
    call.job = JobId(std::string(jobId));
    call.shard = m_map->shardOf(call.job);
    if (request.method == "POST" && !jobId.empty()) {
        call.kind = JobCallKind::Submit;
        auto job = platform::decodeSubmission(request.body);
        if (!job) {
            refuse(id, request, makeJsonAnswer(400, R"({"reason":"unreadable-job"})"), "unreadable-job");
            return;
        }
        job->id = call.job;
        job->queue = queue->name;
        job->team = call.team;
        job->policy = queue->policy;
        if (!jobs::fitsInRows(*job, m_settings.maxRowBytes)) {
            refuse(id, request, makeJsonAnswer(400, R"({"reason":"job-too-large"})"), "job-too-large");
            return;
        }
        call.encodedJob = jobs::encodeJob(*job);
        auto shard = shardFor(*job);
        if (!shard) {
            refuse(id, request, refusal(503, noHolderRetryAfter, "pool-not-placed"), "pool-not-placed");
            return;
        }
        call.shard = *shard;
    } else if (request.method == "GET") {
        call.kind = jobId.empty() ? JobCallKind::Count : JobCallKind::Show;
    } else if (request.method == "DELETE" && !jobId.empty()) {
        call.kind = JobCallKind::Cancel;
    } else {
        refuse(id, request, makeJsonAnswer(405), "unknown-method");
        return;
    }
    m_callsInFlight.emplace(
        id, CallInFlight { { call.kind, call.job, call.queue, {} }, received, configView() });
    auto timeout = std::max(deadlineOf(request) - answerMargin, answerMargin);
    if (m_isStopping)
        timeout = std::min(timeout, timeToAnswer(timeSinceStop(), m_settings.stopGrace));
    auto done = [this, id](const JobReply& reply) { answer(id, reply); };
    if (call.kind == JobCallKind::Submit)
        forwardWithRetries(std::move(call), newRetryState(received + timeout), std::move(done));
    else if (call.kind == JobCallKind::Count)
        countPending(std::move(call), timeout, std::move(done));
    else
        search(std::move(call), 0, received + timeout, std::move(done));
}

std::chrono::milliseconds Node::timeSinceStop() const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(m_clock.now() - m_stopRequestedAt);
}

void Node::answerCallsBeforeExit()
{
    if (!mustAnswerNow(timeSinceStop(), m_settings.stopGrace))
        return;
    while (!m_callsInFlight.empty()) {
        JobReply reply;
        reply.reason = "stopping";
        answer(m_callsInFlight.begin()->first, reply);
    }
}

void Node::answer(CallId id, const JobReply& reply)
{
    auto inFlight = m_callsInFlight.extract(id);
    if (!inFlight)
        return;
    const auto& [call, received, config] = inFlight.mapped();
    HttpAnswer answer;
    switch (reply.verdict) {
    case JobVerdict::Done:
        answer = makeJsonAnswer(200);
        if (call.kind == JobCallKind::Show)
            answer.body = platform::encodeJobState(reply.state);
        else if (call.kind == JobCallKind::Count)
            answer.body = platform::encodePendingJobs(reply.pending);
        break;
    case JobVerdict::UnknownJob:
        answer = makeJsonAnswer(410);
        break;
    case JobVerdict::Rejected:
        answer = refusal(429, reply.retryAfter, reply.reason);
        break;
    case JobVerdict::Unavailable:
        answer = refusal(503, reply.retryAfter, reply.reason);
        break;
    case JobVerdict::NotHolder:
        answer = refusal(503, noHolderRetryAfter, reply.reason);
        break;
    case JobVerdict::UnknownKey:
        answer = unknownKeyAnswer();
        break;
    case JobVerdict::OtherTeam:
        answer = makeJsonAnswer(403, R"({"reason":"other-team"})");
        break;
    case JobVerdict::Uncertain:
        answer = makeJsonAnswer(504, R"({"reason":"outcome-unknown"})");
        break;
    }
    m_lastAnswerAt = m_clock.now();
    m_metrics.countAnswer(std::string(toString(call.kind)), int(answer.status), m_clock.now() - received);
    if (auto reason = refusalReason(reply); !reason.empty())
        m_metrics.countRefusal(std::string(reason));
    auto log = answer.status >= 400 ? logWarning : logInfo;
    if (answer.status >= 400 || call.kind == JobCallKind::Submit || call.kind == JobCallKind::Cancel)
        log("answer",
            { { "job", call.job.value() }, { "kind", std::string(toString(call.kind)) },
                { "status", std::to_string(answer.status) },
                { "verdict", std::string(toString(reply.verdict)) }, { "reason", reply.reason },
                { "ms", std::to_string((m_clock.now() - received).count() / 1000) },
                { "config", std::to_string(config.version) },
                { "config-age-ms", std::to_string(config.age.count()) } });
    m_callers->answer(id, std::move(answer), m_isStopping || !isReady());
}

} // namespace fulmar::node
