#include "serve/dispatcher.h"

#include "serve/keyed_calls.h"
#include "serve/targets.h"

#include <algorithm>
#include <array>
#include <cassert>
#include <deque>
#include <fmt/format.h>
#include <set>
#include <unordered_map>

namespace fulmar::serve {

namespace {

constexpr std::size_t maxKeyLength = 255;
constexpr std::uint32_t maxAttempts = 3;
constexpr std::chrono::seconds retryAfterOverload { 1 };
constexpr std::chrono::seconds never { 0 };
constexpr Duration retryDelay = std::chrono::milliseconds(10);

// Methods that RFC 9110 defines as idempotent.
constexpr std::array<std::string_view, 6> idempotentMethods { "GET", "HEAD", "PUT", "DELETE", "OPTIONS",
    "TRACE" };

bool isIdempotent(const ServiceConfig& config, const std::string& method)
{
    auto has = [&method](const auto& methods) {
        return std::find(methods.begin(), methods.end(), method) != methods.end();
    };
    return has(idempotentMethods) || has(config.idempotentMethods);
}

// A whole answer by which a target or its gateway says that it did not do the work.
bool isRetriableStatus(int status) { return status == 502 || status == 503 || status == 504; }

enum class RequestPhase : std::uint8_t {
    // Its key's history is being looked up, or a resend of it is under way.
    LookingUpKey,
    Queued,
    InFlight,
    BackingOff,
};

struct Request {
    ServiceId service;
    TimePoint deadline;
    // When onTick has to look at the request next.
    TimePoint wake;
    RequestPhase phase { RequestPhase::Queued };
    bool idempotent { false };
    // Scoped; present for non-idempotent requests with a key.
    std::optional<std::string> key;
    AttemptId attempt { 0 };
    // Some attempt may have run.
    bool mayHaveRun { false };
    std::uint32_t attempts { 0 };
    std::vector<VmId> tried;
};

struct Attempt {
    RequestId request { 0 };
    VmId target;
    // Key of the request; the attempt can outlive it.
    std::optional<std::string> key;
};

} // namespace

class Dispatcher::State {
public:
    explicit State(DispatcherSettings settings)
        : m_settings(std::move(settings))
        , m_targets(m_settings.zone, m_settings.seed)
        , m_keyed({ m_settings.process, m_settings.incarnation }, m_settings.keys)
    {
    }

    void onCall(RequestId, const CallInfo&, TimePoint now);
    void onAttemptEnd(AttemptId, const AttemptEnd&, TimePoint now);
    void onCallerGone(RequestId, TimePoint now);
    void onClaim(RequestId, const ClaimResult&, TimePoint now);
    void onOwnerAnswer(RequestId, const OwnerAnswer&, TimePoint now);
    void onTick(TimePoint now);
    void pump(TimePoint now);

    Actions takeActions() { return std::exchange(m_actions, {}); }

private:
    friend Dispatcher;

    DispatcherSettings m_settings;
    ServiceDirectory m_directory;
    Targets m_targets;
    KeyedCalls m_keyed;
    std::vector<EntryVm> m_entries;
    std::map<ServiceId, std::deque<RequestId>> m_queues;
    std::unordered_map<RequestId, Request> m_requests;
    std::unordered_map<AttemptId, Attempt> m_attempts;
    std::set<std::pair<TimePoint, RequestId>> m_wakes;
    Actions m_actions;
    AttemptId m_lastAttempt { 0 };
    std::uint64_t m_lastMint { 0 };
    bool m_draining { false };

    void enqueue(RequestId, Request&, TimePoint now);
    void start(RequestId, Request&, const ServiceEntry&, const Target&, TimePoint now);
    bool mayRetry(const Request&, const AttemptEnd&, TimePoint now) const;
    void fail(RequestId, Request&, Failure, std::chrono::seconds retryAfter, TimePoint now);
    void expire(RequestId, Request&, TimePoint now);
    void apply(KeyedStep, TimePoint now);
    void setWake(RequestId, Request&, TimePoint);
    void erase(RequestId);
    void emit(Action action) { m_actions.push_back(std::move(action)); }
};

void Dispatcher::State::onCall(RequestId id, const CallInfo& call, TimePoint now)
{
    auto entry = m_directory.services.find(call.service);
    if (entry == m_directory.services.end()) {
        emit(Refuse { id, { Outcome::NotRun, Reason::NotFound, "no such service" }, never });
        return;
    }
    if (call.idempotencyKey && (call.idempotencyKey->empty() || call.idempotencyKey->size() > maxKeyLength)) {
        auto detail = fmt::format("the idempotency key must have 1 to {} characters", maxKeyLength);
        emit(Refuse { id, { Outcome::NotRun, Reason::BadInput, detail }, never });
        return;
    }
    const auto& config = entry->second.config;
    auto [position, isNew] = m_requests.try_emplace(id);
    assert(isNew);
    auto& request = position->second;
    request.service = call.service;
    request.deadline = now + call.timeout.value_or(config.defaultTimeout);
    request.idempotent = isIdempotent(config, call.method);
    setWake(id, request, request.deadline);
    if (!call.idempotencyKey || request.idempotent) {
        enqueue(id, request, now);
        return;
    }
    request.key = scopedKey(call.service, *call.idempotencyKey);
    request.phase = RequestPhase::LookingUpKey;
    apply(m_keyed.onCall(id, *request.key, call.fingerprint, now), now);
}

// Adds the request to its service's queue, or refuses it.
void Dispatcher::State::enqueue(RequestId id, Request& request, TimePoint now)
{
    auto& queue = m_queues[request.service];
    auto entry = m_directory.services.find(request.service);
    if (entry == m_directory.services.end() || entry->second.targets.empty()) {
        fail(id, request, { Outcome::NotRun, Reason::NoTarget, "the service has no target" },
            retryAfterOverload, now);
        return;
    }
    if (queue.size() >= entry->second.config.queueLimit) {
        fail(id, request, { Outcome::NotRun, Reason::Overloaded, "the queue is full" }, retryAfterOverload,
            now);
        return;
    }
    request.phase = RequestPhase::Queued;
    setWake(id, request, request.deadline);
    queue.push_back(id);
}

// Starts queued calls for as long as there are free slots.
void Dispatcher::State::pump(TimePoint now)
{
    for (auto& [service, queue] : m_queues) {
        auto entry = m_directory.services.find(service);
        while (!queue.empty()) {
            auto id = queue.front();
            auto position = m_requests.find(id);
            if (position == m_requests.end() || position->second.phase != RequestPhase::Queued) {
                queue.pop_front();
                continue;
            }
            auto& request = position->second;
            if (now >= request.deadline) {
                queue.pop_front();
                expire(id, request, now);
                continue;
            }
            if (entry == m_directory.services.end())
                break;
            const auto* target = m_targets.pick(entry->second, request.tried);
            if (!target)
                target = m_targets.pick(entry->second, {});
            if (!target)
                break;
            queue.pop_front();
            start(id, request, entry->second, *target, now);
        }
    }
}

void Dispatcher::State::start(
    RequestId id, Request& request, const ServiceEntry&, const Target& target, TimePoint now)
{
    assert(now < request.deadline);
    assert(request.idempotent || !request.mayHaveRun);
    auto attempt = ++m_lastAttempt;
    request.phase = RequestPhase::InFlight;
    request.attempt = attempt;
    ++request.attempts;
    request.tried.push_back(target.vm);
    setWake(id, request, request.deadline);
    if (request.key)
        m_keyed.onSent(*request.key);
    m_targets.onStart(target.vm);
    m_attempts.emplace(attempt, Attempt { id, target.vm, request.key });
    auto grace = request.key ? m_settings.keyedGrace : Duration::zero();
    emit(StartAttempt { id, attempt, target.vm, target.address, request.deadline + grace });
}

bool Dispatcher::State::mayRetry(const Request& request, const AttemptEnd& end, TimePoint now) const
{
    if (end.answerStarted || request.attempts >= maxAttempts || now + retryDelay >= request.deadline)
        return false;
    if (end.outcome == Outcome::Ran)
        return request.idempotent && isRetriableStatus(end.status.value_or(0));
    return request.idempotent || end.outcome == Outcome::NotRun;
}

void Dispatcher::State::onAttemptEnd(AttemptId attemptId, const AttemptEnd& end, TimePoint now)
{
    auto node = m_attempts.extract(attemptId);
    // A doubled or late report belongs to nobody.
    if (!node)
        return;
    const auto attempt = std::move(node.mapped());
    m_targets.onEnd(attempt.target);
    if (end.closing)
        m_targets.setLeaving(attempt.target);

    auto position = m_requests.find(attempt.request);
    auto* request
        = position == m_requests.end() || position->second.attempt != attemptId ? nullptr : &position->second;
    if (request && mayRetry(*request, end, now)) {
        request->mayHaveRun |= end.outcome != Outcome::NotRun;
        request->phase = RequestPhase::BackingOff;
        setWake(attempt.request, *request, now + retryDelay);
        return;
    }
    if (end.outcome == Outcome::Ran) {
        if (attempt.key) {
            apply(m_keyed.onAnswered(*attempt.key, attemptId, end.heldBytes), now);
        } else if (request) {
            emit(PassAnswer { attempt.request, attemptId });
            erase(attempt.request);
        }
        return;
    }
    Failure failure { end.outcome, end.reason, "the target did not answer in full" };
    if (end.outcome == Outcome::NotRun)
        failure.detail = "no target could be reached";
    if (request) {
        fail(attempt.request, *request, failure, never, now);
    } else if (attempt.key) {
        auto step = end.outcome == Outcome::NotRun ? m_keyed.onUnsent(*attempt.key, failure, never)
                                                   : m_keyed.onEndUnknown(*attempt.key, failure);
        apply(std::move(step), now);
    }
}

// Ends a request that is not in flight. Where any attempt may have run, the failure says so.
void Dispatcher::State::fail(
    RequestId id, Request& request, Failure failure, std::chrono::seconds retryAfter, TimePoint now)
{
    if (request.mayHaveRun)
        failure.outcome = Outcome::MayHaveRun;
    if (!request.key) {
        emit(Refuse { id, std::move(failure), retryAfter });
        erase(id);
        return;
    }
    const auto key = *request.key;
    auto step = failure.outcome == Outcome::NotRun ? m_keyed.onUnsent(key, failure, retryAfter)
                                                   : m_keyed.onEndUnknown(key, failure);
    apply(std::move(step), now);
}

// The deadline has passed: the caller is answered with what is known.
void Dispatcher::State::expire(RequestId id, Request& request, TimePoint now)
{
    Failure failure { Outcome::NotRun, Reason::DeadlineExceeded, "the deadline passed" };
    bool inFlight = request.phase == RequestPhase::InFlight;
    if (!request.key) {
        if (inFlight) {
            failure.outcome = Outcome::MayHaveRun;
            emit(CancelAttempt { request.attempt });
        }
        fail(id, request, std::move(failure), inFlight ? never : retryAfterOverload, now);
        return;
    }
    // A keyed attempt goes on, so that a resend finds its answer.
    const auto key = *request.key;
    failure.outcome = inFlight || request.mayHaveRun ? Outcome::MayHaveRun : m_keyed.outcomeSoFar(id, key);
    emit(Refuse { id, std::move(failure), retryAfterOverload });
    erase(id);
    apply(m_keyed.onLeave(id, key), now);
}

void Dispatcher::State::onCallerGone(RequestId id, TimePoint now)
{
    auto position = m_requests.find(id);
    if (position == m_requests.end())
        return;
    auto key = position->second.key;
    if (!key && position->second.phase == RequestPhase::InFlight)
        emit(CancelAttempt { position->second.attempt });
    erase(id);
    if (key)
        apply(m_keyed.onLeave(id, *key), now);
}

void Dispatcher::State::onClaim(RequestId id, const ClaimResult& result, TimePoint now)
{
    if (auto position = m_requests.find(id); position != m_requests.end())
        apply(m_keyed.onClaim(id, position->second.key.value(), result), now);
}

void Dispatcher::State::onOwnerAnswer(RequestId id, const OwnerAnswer& answer, TimePoint now)
{
    if (auto position = m_requests.find(id); position != m_requests.end())
        apply(m_keyed.onOwnerAnswer(id, position->second.key.value(), answer), now);
}

// Carries out what the keyed calls decided. Actions that end a request remove it here.
void Dispatcher::State::apply(KeyedStep step, TimePoint now)
{
    for (auto& action : step.actions) {
        if (const auto* refuse = std::get_if<Refuse>(&action))
            erase(refuse->request);
        else if (const auto* kept = std::get_if<PassKeptAnswer>(&action))
            erase(kept->request);
        else if (const auto* answer = std::get_if<PassAnswer>(&action))
            erase(answer->request);
        emit(std::move(action));
    }
    if (step.askAgain) {
        auto& request = m_requests.at(*step.askAgain);
        setWake(*step.askAgain, request, std::min(request.deadline, now + m_settings.askInterval));
    }
    if (step.proceed)
        enqueue(*step.proceed, m_requests.at(*step.proceed), now);
}

void Dispatcher::State::onTick(TimePoint now)
{
    while (!m_wakes.empty() && m_wakes.begin()->first <= now) {
        auto id = m_wakes.begin()->second;
        auto& request = m_requests.at(id);
        if (now >= request.deadline) {
            expire(id, request, now);
            continue;
        }
        setWake(id, request, request.deadline);
        if (request.phase == RequestPhase::BackingOff)
            enqueue(id, request, now);
        else if (request.phase == RequestPhase::LookingUpKey)
            apply(m_keyed.askAgain(id, *request.key), now);
    }
    for (auto& action : m_keyed.expire(now))
        emit(std::move(action));
}

void Dispatcher::State::setWake(RequestId id, Request& request, TimePoint wake)
{
    m_wakes.erase({ request.wake, id });
    request.wake = wake;
    m_wakes.emplace(wake, id);
}

void Dispatcher::State::erase(RequestId id)
{
    auto position = m_requests.find(id);
    if (position == m_requests.end())
        return;
    m_wakes.erase({ position->second.wake, id });
    m_requests.erase(position);
}

Dispatcher::Dispatcher(DispatcherSettings settings)
    : m_state(std::make_unique<State>(std::move(settings)))
{
}

Dispatcher::~Dispatcher() = default;
Dispatcher::Dispatcher(Dispatcher&&) noexcept = default;
Dispatcher& Dispatcher::operator=(Dispatcher&&) noexcept = default;

Actions Dispatcher::onCall(RequestId id, const CallInfo& call, TimePoint now)
{
    m_state->onCall(id, call, now);
    m_state->pump(now);
    return m_state->takeActions();
}

Actions Dispatcher::onAttemptEnd(AttemptId attempt, const AttemptEnd& end, TimePoint now)
{
    m_state->onAttemptEnd(attempt, end, now);
    m_state->pump(now);
    return m_state->takeActions();
}

Actions Dispatcher::onCallerGone(RequestId id, TimePoint now)
{
    m_state->onCallerGone(id, now);
    m_state->pump(now);
    return m_state->takeActions();
}

Actions Dispatcher::onClaim(RequestId id, const ClaimResult& result, TimePoint now)
{
    m_state->onClaim(id, result, now);
    m_state->pump(now);
    return m_state->takeActions();
}

Actions Dispatcher::onOwnerAnswer(RequestId id, const OwnerAnswer& answer, TimePoint now)
{
    m_state->onOwnerAnswer(id, answer, now);
    m_state->pump(now);
    return m_state->takeActions();
}

OwnerAnswer Dispatcher::onPeerAsk(const KeyQuestion& question, TimePoint now)
{
    return m_state->m_keyed.onPeerAsk(question, now);
}

Actions Dispatcher::onTick(TimePoint now)
{
    m_state->onTick(now);
    m_state->pump(now);
    return m_state->takeActions();
}

std::optional<TimePoint> Dispatcher::nextWake() const
{
    if (m_state->m_wakes.empty())
        return std::nullopt;
    return m_state->m_wakes.begin()->first;
}

Actions Dispatcher::applyDirectory(ServiceDirectory directory, TimePoint now)
{
    m_state->m_directory = std::move(directory);
    m_state->m_targets.applyDirectory(m_state->m_directory);
    m_state->pump(now);
    return m_state->takeActions();
}

Actions Dispatcher::setEntries(const std::vector<EntryVm>& entries, TimePoint now)
{
    m_state->m_entries = entries;
    m_state->m_targets.setSharers(std::uint32_t(entries.size()));
    m_state->pump(now);
    return m_state->takeActions();
}

void Dispatcher::onTargetLeaving(const VmId& vm, TimePoint) { m_state->m_targets.setLeaving(vm); }

Actions Dispatcher::onPeerLoad(const ProcessId&, const PeerLoad& load, TimePoint now)
{
    for (const auto& vm : load.leaving)
        m_state->m_targets.setLeaving(vm);
    m_state->pump(now);
    return m_state->takeActions();
}

PeerLoad Dispatcher::loadFor(const ProcessId&, TimePoint)
{
    PeerLoad load;
    load.inFlight = inFlight();
    for (const auto& [service, queue] : m_state->m_queues)
        if (!queue.empty())
            load.waiting[service] = std::uint32_t(queue.size());
    load.leaving = m_state->m_targets.leaving();
    return load;
}

std::map<VmId, std::uint32_t> Dispatcher::inFlight() const { return m_state->m_targets.inFlight(); }

std::optional<std::string> Dispatcher::mintKey(TimePoint now)
{
    if (m_state->m_draining)
        return std::nullopt;
    const auto& settings = m_state->m_settings;
    return formatMintedKey(
        { settings.zone, { settings.process, settings.incarnation }, now, ++m_state->m_lastMint });
}

void Dispatcher::beginDrain(TimePoint) { m_state->m_draining = true; }

bool Dispatcher::isIdle() const { return m_state->m_requests.empty() && m_state->m_attempts.empty(); }

} // namespace fulmar::serve
