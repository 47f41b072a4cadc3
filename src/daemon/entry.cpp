#include "daemon/entry.h"

#include "core/log.h"
#include "daemon/call_request.h"
#include "fleet/entry_row.h"
#include "io/http_answers.h"
#include "operate/rows.h"

#include <algorithm>
#include <csignal>
#include <fmt/format.h>
#include <future>
#include <nlohmann/json.hpp>
#include <xxhash.h>

namespace fulmar {

namespace {

constexpr std::size_t inboxCapacity = 65'536;
constexpr std::size_t eventCapacity = 20'000;
constexpr std::chrono::milliseconds loopAnswerTimeout { 200 };
constexpr std::chrono::milliseconds confirmTimeout { 800 };
constexpr std::chrono::milliseconds keyQuestionTimeout { 500 };
constexpr std::chrono::milliseconds operatorCallTimeout { 1'000 };
constexpr std::chrono::milliseconds taskCallTimeout { 5'000 };
constexpr std::chrono::milliseconds configBatchPause { 50 };
constexpr std::chrono::milliseconds configPollPause { 500 };
constexpr std::chrono::milliseconds stopPollPause { 50 };

} // namespace

Entry::Entry(EntrySettings settings, std::uint64_t incarnation)
    : m_settings(std::move(settings))
    , m_self(describeSelf(m_settings.process, PeerRole::Entry, incarnation))
    , m_events(m_self.process, eventCapacity)
    , m_inbox(m_loop, inboxCapacity)
    , m_signals(m_loop, SIGTERM, SIGINT)
    , m_tickTimer(m_loop)
    , m_configTimer(m_loop)
    , m_stopTimer(m_loop)
    , m_dispatcher({ m_self.zone, m_self.process, incarnation, incarnation })
    , m_targets(m_loop, { m_settings.targetConnectTimeout, m_settings.maxHeldAnswerBytes })
    , m_distribution(m_self, membershipOf(m_settings.process), [this] {
        // A wake-up dropped by a full inbox does no harm: the next one applies all rows that are missing.
        std::ignore = m_inbox.tryPost([this] { scheduleConfig(configBatchPause); });
    })
{
}

Entry::~Entry() = default;

Result<void> Entry::startDuties()
{
    auto callers = CallerServer::start(m_loop, m_settings.callers,
        [this](CallId id, CallerRequest request) { onCall(id, std::move(request)); });
    if (!callers)
        return tl::unexpected(callers.error());
    m_callers = std::move(*callers);

    EntryRecord record { m_self.process, m_self.vm, m_self.address, m_self.region, m_self.zone,
        std::to_string(m_self.incarnation) };
    Store::Hooks hooks;
    hooks.onRegistered = [this] { m_distribution.setRegistered(); };
    hooks.onClaims = [this](std::vector<serve::ClaimDone> done) {
        bool wasPosted = m_inbox.tryPost([this, done = std::move(done)] {
            for (const auto& [request, result] : done)
                perform(m_dispatcher.onClaim(request, result, m_clock.now()));
        });
        if (!wasPosted)
            logWarning("claims.dropped", {});
    };
    m_store = std::make_unique<Store>(HttpPlatform(platformOf(m_settings.process)), record,
        StoreDutySettings {}, m_events, m_clock, std::move(hooks));

    auto peers = PeerDuty::start(m_settings.process.peerAddress, m_distribution, m_events, makePeerHooks());
    if (!peers)
        return tl::unexpected(peers.error());
    m_peers = std::move(*peers);
    m_store->start();
    auto operators = OperatorEndpoint::start(
        m_settings.process, m_distribution, m_events, m_peers->client(), makeOperatorEndpointHooks());
    if (!operators)
        return tl::unexpected(operators.error());
    m_operators = std::move(*operators);
    return {};
}

OperatorEndpointHooks Entry::makeOperatorEndpointHooks()
{
    OperatorEndpointHooks hooks;
    hooks.addTargets = [this](operate::OperatorView& view) { addTargets(view); };
    hooks.callTask = [this](const TaskCall& call) -> TaskAnswer {
        auto controls = m_distribution.live(PeerRole::Control, m_clock.now());
        if (controls.empty())
            return { {}, 503, Outcome::NotRun, R"({"detail":"no control process is known"})" };
        auto promise = std::make_shared<std::promise<Result<TaskAnswer>>>();
        m_peers->client().callTask(controls.front().address, call, operatorCallTimeout,
            [promise](Result<TaskAnswer> answer) { promise->set_value(std::move(answer)); });
        return promise->get_future().get().value_or(TaskAnswer {
            {}, 504, Outcome::MayHaveRun, R"({"detail":"the control process did not answer"})" });
    };
    hooks.updateMetrics = [this](operate::MetricsRegistry& metrics) { updateMetrics(metrics); };
    hooks.isHealthy = [this] {
        return m_inbox.ask<bool>([this] { return isServing(); }, loopAnswerTimeout).value_or(false);
    };
    return hooks;
}

void Entry::updateMetrics(operate::MetricsRegistry& metrics)
{
    auto counts = m_inbox.ask<CallCounts>([this] { return m_counts; }, loopAnswerTimeout);
    if (!counts)
        return;
    for (const auto& [outcome, count] : counts->outcomes)
        metrics.follow(operate::Metric::Calls, double(count), std::string(toString(outcome)));
    for (const auto& [reason, count] : counts->refusals)
        metrics.follow(operate::Metric::Refusals, double(count), std::string(toString(reason)));
    metrics.follow(operate::Metric::Retries, double(counts->retries));
}

// Adds the targets at which this entry has calls in flight.
void Entry::addTargets(operate::OperatorView& view)
{
    auto inFlight = m_inbox.ask<std::map<VmId, std::uint32_t>>(
        [this] { return m_dispatcher.inFlight(); }, loopAnswerTimeout);
    if (!inFlight)
        return;
    for (const auto& [vm, calls] : *inFlight) {
        operate::TargetFact fact;
        fact.vm = vm;
        fact.inFlight = calls;
        fact.process = m_self.process;
        if (auto record = operate::findValue<VmRecord>(view.config, keys::vmPrefix + vm.value())) {
            fact.zone = record->zone;
            fact.state = toString(record->state);
            operate::forEachRow<ServiceConfig>(
                view.config, keys::servicePrefix, [&](const Row&, const ServiceConfig& service) {
                    if (service.pool != record->pool)
                        return;
                    fact.service = service.service;
                    fact.slots = service.slotsPerTarget;
                });
        }
        view.targets.push_back(std::move(fact));
    }
}

PeerDutyHooks Entry::makePeerHooks()
{
    PeerDutyHooks hooks;
    hooks.loadFor = [this](const PeerInfo& peer) -> std::optional<serve::PeerLoad> {
        if (peer.role != PeerRole::Entry || peer.region != m_self.region)
            return std::nullopt;
        return m_inbox.ask<serve::PeerLoad>(
            [this, process = peer.process] { return m_dispatcher.loadFor(process, m_clock.now()); },
            loopAnswerTimeout);
    };
    hooks.onLoad = [this](const PeerInfo& peer, const serve::PeerLoad& load) {
        std::ignore = m_inbox.tryPost(
            [this, peer, load] { perform(m_dispatcher.onPeerLoad(peer.process, load, m_clock.now())); });
    };
    hooks.onListed = [this](const std::vector<ListedTarget>& listed) {
        std::ignore = m_inbox.tryPost([this, listed] {
            for (const auto& [vm, isLeaving] : listed)
                m_dispatcher.onTargetListed(vm, isLeaving);
        });
    };
    hooks.confirmLeaving = [this](const ConfirmQuestion& question) {
        auto confirmation = m_inbox.ask<Confirmation>(
            [this, question] { return confirmLeaving(question); }, confirmTimeout);
        // Without an answer from the serve duty in time, version 0 confirms nothing.
        return confirmation.value_or(Confirmation { {}, 0, 0, m_self.incarnation, {} });
    };
    hooks.askKey = [this](const KeyQuestion& question) {
        auto answer
            = m_inbox.ask<KeyAnswer>([this, question] { return answerKey(question); }, keyQuestionTimeout);
        return answer.value_or(KeyAnswer {});
    };
    return hooks;
}

Result<void> Entry::run()
{
    if (auto started = startDuties(); !started)
        return started;
    m_events.record(m_clock.wallNow(), "entry.started",
        { { "zone", m_self.zone.value() }, { "incarnation", std::to_string(m_self.incarnation) } });
    m_signals.async_wait([this](const asio::error_code& error, int) {
        if (!error)
            beginStop();
    });
    scheduleConfig(configBatchPause);
    scheduleTick();
    m_loop.run();
    m_operators.reset();
    m_peers.reset();
    m_store->stop();
    m_events.record(m_clock.wallNow(), "entry.stopped", {});
    return {};
}

bool Entry::isServing() const { return !m_isStopping && m_appliedVersion > 0; }

void Entry::answerHealth(CallId id)
{
    nlohmann::json body { { "serving", isServing() }, { "stopping", m_isStopping },
        { "configVersion", m_appliedVersion } };
    m_callers->answer(id, jsonAnswer(isServing() ? 200 : 503, Outcome::Ran, body.dump()), m_isStopping);
}

void Entry::answerMint(CallId id)
{
    auto key = m_dispatcher.mintKey(m_clock.now());
    auto answer = key ? jsonAnswer(201, Outcome::Ran, nlohmann::json { { "key", *key } }.dump())
                      : problemAnswer({ Outcome::NotRun, Reason::Draining, "this entry is stopping" },
                          std::chrono::seconds(1));
    m_callers->answer(id, std::move(answer), m_isStopping);
}

// The id is derived from the idempotency key if there is one, so that a resent submission finds its task.
TaskId Entry::newTaskId(CallId id, const CallerRequest& request) const
{
    if (const auto* key = findHeader(request.headers, idempotencyKeyHeader)) {
        auto hash = XXH3_128bits(key->data(), key->size());
        return TaskId(fmt::format("k{:016x}{:016x}", hash.high64, hash.low64));
    }
    return TaskId(fmt::format("{}-{}-{}", m_self.process.value(), m_self.incarnation, id));
}

// Forwards a task request to a control process, preferably of this zone, which finds the task's owner.
void Entry::forwardTask(CallId id, const CallerRequest& request)
{
    constexpr std::string_view prefix = "/v1/tasks";
    auto task = request.path.substr(prefix.size());
    task.remove_prefix(std::min<std::size_t>(1, task.size()));
    auto controls = m_distribution.live(PeerRole::Control, m_clock.now());
    std::stable_partition(
        controls.begin(), controls.end(), [&](const PeerInfo& peer) { return peer.zone == m_self.zone; });
    if (controls.empty()) {
        m_callers->answer(id,
            problemAnswer({ Outcome::NotRun, Reason::NoTarget, "no control process is known" },
                std::chrono::seconds(1)),
            m_isStopping);
        return;
    }
    auto taskId = request.method == "POST" ? newTaskId(id, request) : TaskId(std::string(task));
    TaskCall call { m_events.stampForMessage(m_clock.wallNow()), request.method, std::move(taskId),
        std::string(request.body) };
    m_peers->client().callTask(
        controls.front().address, call, taskCallTimeout, [this, id](Result<TaskAnswer> answer) {
            std::ignore = m_inbox.tryPost([this, id, answer = std::move(answer)] {
                if (answer)
                    m_callers->answer(
                        id, jsonAnswer(answer->status, answer->outcome, answer->body), m_isStopping);
                else
                    m_callers->answer(
                        id, problemAnswer(answer.error(), std::chrono::seconds(1)), m_isStopping);
            });
        });
}

// Answers a request to a path of the system itself. Returns false for a service's path.
bool Entry::answerOwnPath(CallId id, const CallerRequest& request)
{
    if (request.path == "/healthz" || request.path == "/readyz")
        answerHealth(id);
    else if (request.path == "/v1/keys" && request.method == "POST")
        answerMint(id);
    else if (request.path == "/v1/tasks" || request.path.starts_with("/v1/tasks/"))
        forwardTask(id, request);
    else
        return false;
    return true;
}

void Entry::onCall(CallId id, CallerRequest request)
{
    if (answerOwnPath(id, request))
        return;
    auto info = parseCallInfo(request);
    if (!info) {
        auto answer = problemAnswer(info.error(), {});
        answer.status = 400;
        m_callers->answer(id, std::move(answer), m_isStopping);
        return;
    }
    if (m_appliedVersion == 0) {
        m_callers->answer(id,
            problemAnswer({ Outcome::NotRun, Reason::NoTarget, "no configuration received yet" },
                std::chrono::seconds(1)),
            true);
        return;
    }
    m_calls.emplace(id,
        Call { request.method, std::string(request.path), std::move(request.headers),
            std::string(request.body) });
    perform(m_dispatcher.onCall(id, *info, m_clock.now()));
    scheduleTick();
}

void Entry::perform(const serve::Actions& actions)
{
    for (const auto& action : actions)
        std::visit([this](const auto& each) { perform(each); }, action);
    if (!actions.empty())
        scheduleTick();
}

void Entry::perform(const serve::StartAttempt& start)
{
    auto position = m_calls.find(start.request);
    assert(position != m_calls.end());
    auto& call = position->second;
    if (++call.attempts > 1)
        ++m_counts.retries;
    auto timeout = std::max(start.deadline - m_clock.now(), Duration(1));
    m_targets.start(start.attempt,
        { start.address, call.method, call.path, call.headers, call.body, timeout, start.connectionLimit },
        makeSink(start.request, start.attempt),
        [this, request = start.request, attempt = start.attempt](serve::AttemptEnd end, HttpAnswer answer) {
            onAttemptEnd(request, attempt, end, std::move(answer));
        });
}

void Entry::onAttemptEnd(
    serve::RequestId request, serve::AttemptId attempt, const serve::AttemptEnd& end, HttpAnswer answer)
{
    m_answers[attempt] = std::move(answer);
    perform(m_dispatcher.onAttemptEnd(attempt, end, m_clock.now()));
    m_answers.erase(attempt);
    --m_calls.at(request).attempts;
    forgetIfDone(request);
    scheduleTick();
}

void Entry::perform(const serve::CancelAttempt& cancel) { m_targets.cancel(cancel.attempt); }

void Entry::perform(const serve::ForwardResponse& forward)
{
    ++m_counts.outcomes[Outcome::Ran];
    if (m_calls.at(forward.request).streaming == forward.attempt)
        return endStream(forward.request, true);
    auto answer = m_answers.at(forward.attempt);
    answer.headers.emplace_back(outcomeHeader, std::string(toString(Outcome::Ran)));
    this->answer(forward.request, std::move(answer));
}

// Records an event if the call may have run. Other refusals are only counted: overload causes many.
void Entry::perform(const serve::Refuse& refuse)
{
    ++m_counts.outcomes[refuse.failure.outcome];
    ++m_counts.refusals[refuse.failure.reason];
    if (refuse.failure.outcome == Outcome::MayHaveRun)
        m_events.record(m_clock.wallNow(), "call.unknown",
            { { "request", std::to_string(refuse.request) },
                { "reason", std::string(toString(refuse.failure.reason)) },
                { "detail", refuse.failure.detail } });
    if (m_calls.at(refuse.request).streaming)
        return endStream(refuse.request, false);
    answer(refuse.request, problemAnswer(refuse.failure, refuse.retryAfter));
}

void Entry::perform(const serve::ClaimKey& claim)
{
    if (m_store->tryClaim(claim))
        return;
    asio::post(m_loop, [this, request = claim.request] {
        perform(m_dispatcher.onClaim(request, serve::ClaimUnknown {}, m_clock.now()));
    });
}

void Entry::perform(const serve::AskKeyOwner& ask)
{
    auto owner = m_distribution.find(ask.question.holder.owner.process);
    if (!owner) {
        asio::post(m_loop, [this, request = ask.request] {
            perform(m_dispatcher.onOwnerReply(
                request, { serve::KeyKnowledge::Unreachable, std::nullopt }, m_clock.now()));
        });
        return;
    }
    KeyQuestion question { m_events.stampForMessage(m_clock.wallNow()), ask.question };
    m_peers->client().askKey(owner->address, question, keyQuestionTimeout,
        [this, request = ask.request](Result<KeyAnswer> answer) {
            std::ignore = m_inbox.tryPost([this, request, answer = std::move(answer)] {
                if (auto call = m_calls.find(request); answer && call != m_calls.end())
                    call->second.ownerAnswer = answer->answer;
                auto knowledge = answer
                    ? answer->owner
                    : serve::OwnerReply { serve::KeyKnowledge::Unreachable, std::nullopt };
                perform(m_dispatcher.onOwnerReply(request, knowledge, m_clock.now()));
            });
        });
}

void Entry::perform(const serve::StoreResponse& store)
{
    m_storedAnswers[store.key] = m_answers.at(store.attempt);
}

void Entry::perform(const serve::DropStoredResponse& drop) { m_storedAnswers.erase(drop.key); }

void Entry::perform(const serve::ForwardStoredResponse& forward)
{
    auto stored = m_storedAnswers.find(forward.key);
    auto answer = stored != m_storedAnswers.end() ? stored->second : m_calls.at(forward.request).ownerAnswer;
    answer.headers.emplace_back(outcomeHeader, std::string(toString(Outcome::Ran)));
    this->answer(forward.request, std::move(answer));
}

void Entry::answer(serve::RequestId request, HttpAnswer answer)
{
    m_callers->answer(request, std::move(answer), m_isStopping);
    m_calls.at(request).isAnswered = true;
    forgetIfDone(request);
}

void Entry::forgetIfDone(serve::RequestId request)
{
    if (auto call = m_calls.find(request);
        call != m_calls.end() && call->second.isAnswered && call->second.attempts == 0)
        m_calls.erase(call);
}

// The pause lets a burst of changes be applied together.
void Entry::scheduleConfig(std::chrono::milliseconds pause)
{
    auto due = m_clock.now() + pause;
    if (due >= m_configDue)
        return;
    m_configDue = due;
    m_configTimer.expires_at(due);
    m_configTimer.async_wait([this](const asio::error_code& error) {
        if (error)
            return;
        m_configDue = TimePoint::max();
        applyConfig();
    });
}

// Applies the rows that changed since the last call, and polls again after configPollPause in any case.
void Entry::applyConfig()
{
    scheduleConfig(configPollPause);
    if (!m_distribution.mayRoute())
        return;
    auto changes = m_distribution.changesSince(m_appliedVersion);
    if (changes.tableVersion <= m_appliedVersion)
        return;
    for (const auto& row : changes.rows) {
        m_directory.apply(row);
        indexRow(row);
    }
    m_appliedVersion = changes.tableVersion;
    if (changes.rows.empty())
        return;
    perform(m_dispatcher.setEntryVms(registeredEntries(), m_clock.now()));
    perform(m_dispatcher.applyDirectory(m_directory.takeChange(), m_clock.now()));
    m_events.record(m_clock.wallNow(), "config.applied",
        { { "version", std::to_string(m_appliedVersion) }, { "rows", std::to_string(changes.rows.size()) } });
}

// Indexes the VM and entry rows for confirmations and for the dispatcher.
void Entry::indexRow(const Row& row)
{
    if (row.key.starts_with(keys::vmPrefix))
        m_vmRowOperations[row.key] = row.operation;
    if (!row.key.starts_with(keys::entryPrefix))
        return;
    m_entryRows.erase(row.key);
    if (auto record = decode<EntryRecord>(row.value); record && !row.deleted)
        m_entryRows.emplace(row.key, serve::EntryVm { record->process, record->zone });
}

std::vector<serve::EntryVm> Entry::registeredEntries() const
{
    std::vector<serve::EntryVm> entries { { m_self.process, m_self.zone } };
    for (const auto& [key, entry] : m_entryRows)
        if (entry.process != m_self.process)
            entries.push_back(entry);
    return entries;
}

// The configuration applied for one VM and its calls in flight. Runs on the loop that routes calls, so the
// two are consistent.
Confirmation Entry::confirmLeaving(const ConfirmQuestion& question)
{
    Confirmation confirmation { {}, m_appliedVersion, 0, m_self.incarnation, m_distribution.dependents(),
        {} };
    auto inFlight = m_dispatcher.inFlight();
    if (auto position = inFlight.find(question.vm); position != inFlight.end())
        confirmation.inFlight = position->second;
    if (auto row = m_vmRowOperations.find(keys::vmPrefix + question.vm.value());
        row != m_vmRowOperations.end())
        confirmation.row = row->second;
    return confirmation;
}

KeyAnswer Entry::answerKey(const KeyQuestion& question)
{
    KeyAnswer answer { {}, m_dispatcher.onKeyQuestion(question.question, m_clock.now()), {} };
    if (answer.owner.knowledge != serve::KeyKnowledge::Kept)
        return answer;
    if (auto stored = m_storedAnswers.find(question.question.key); stored != m_storedAnswers.end())
        answer.answer = stored->second;
    else
        answer.owner.knowledge = serve::KeyKnowledge::RanAnswerLost;
    return answer;
}

// A timer that fires earlier than needed is left unchanged: a needless tick costs less than resetting the
// timer on every call.
void Entry::scheduleTick()
{
    auto wake = m_dispatcher.nextWake();
    if (!wake || *wake >= m_tickDue)
        return;
    m_tickDue = *wake;
    m_tickTimer.expires_at(*wake);
    m_tickTimer.async_wait([this](const asio::error_code& error) {
        if (error)
            return;
        m_tickDue = TimePoint::max();
        perform(m_dispatcher.onTick(m_clock.now()));
        scheduleTick();
    });
}

void Entry::beginStop()
{
    m_isStopping = true;
    m_stopBegan = m_clock.now();
    m_dispatcher.beginDrain(m_clock.now());
    m_events.record(m_clock.wallNow(), "entry.stopping", { { "calls", std::to_string(m_calls.size()) } });
    pollStop();
}

// Stops once balancerLag has passed, every call has ended and every connection is closed, or at the latest
// after drainLimit.
void Entry::pollStop()
{
    auto waited = m_clock.now() - m_stopBegan;
    bool isDrained = m_dispatcher.isIdle() && m_calls.empty() && m_callers->openConnections() == 0;
    if (waited >= m_settings.balancerLag && (isDrained || waited >= m_settings.drainLimit)) {
        m_callers->stopAccepting();
        m_loop.stop();
        return;
    }
    m_stopTimer.expires_after(stopPollPause);
    m_stopTimer.async_wait([this](const asio::error_code& error) {
        if (!error)
            pollStop();
    });
}

} // namespace fulmar
