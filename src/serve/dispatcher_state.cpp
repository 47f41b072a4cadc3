#include "serve/dispatcher_state.h"

#include <algorithm>
#include <array>
#include <cassert>
#include <fmt/format.h>

namespace fulmar::serve {

namespace {

constexpr std::size_t maxKeyLength = 255;
constexpr std::chrono::seconds noRetry { 0 };
constexpr std::chrono::seconds maxRetryAfter { 30 };
constexpr Duration minWakeDelay = std::chrono::milliseconds(1);
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

// Latest time at which a call can start and still be expected to finish before its deadline.
TimePoint latestStart(const Request& request) { return request.deadline - request.highRunTime; }

} // namespace

Dispatcher::State::State(DispatcherSettings settings)
    : m_settings(std::move(settings))
    , m_random(m_settings.seed)
    , m_targets({ m_settings.process, m_settings.zone }, m_settings.seed)
    , m_exchange({ m_settings.process, m_settings.zone }, m_settings.incarnation, m_targets)
    , m_keyed({ m_settings.process, m_settings.incarnation }, m_settings.keys)
{
}

void Dispatcher::State::onCall(RequestId id, const CallInfo& call, TimePoint now)
{
    ++m_counts.calls;
    auto service = m_services.find(call.service);
    if (service == m_services.end() || service->second.removed) {
        emit(Refuse { id, { Outcome::NotRun, Reason::NotFound, "no such service" }, noRetry });
        return;
    }
    if (call.idempotencyKey && (call.idempotencyKey->empty() || call.idempotencyKey->size() > maxKeyLength)) {
        auto detail = fmt::format("the idempotency key must have 1 to {} characters", maxKeyLength);
        emit(Refuse { id, { Outcome::NotRun, Reason::BadInput, detail }, noRetry });
        return;
    }
    auto& state = service->second;
    state.retries.onFreshCall(state.config.retryShare);
    auto [position, isNew] = m_requests.try_emplace(id);
    assert(isNew);
    ++state.references;
    auto& request = position->second;
    auto timeout = call.timeout.value_or(state.config.defaultTimeout);
    request.service = call.service;
    request.caller = call.caller;
    request.arrivedAt = now;
    request.deadline = now + timeout;
    request.idempotent = isIdempotent(state.config, call.method);
    request.callClass = m_runTimes.classOf(call.service, call.method, call.path);
    request.isLong = m_runTimes.isLong(request.callClass);
    request.expectedRunTime = m_runTimes.expected(request.callClass);
    request.highRunTime = m_runTimes.highEstimate(request.callClass);
    setWake(id, request, request.deadline);
    if (!call.idempotencyKey || request.idempotent) {
        enqueue(id, request, now);
        return;
    }
    request.key = scopedKey(call.service, *call.idempotencyKey);
    request.phase = RequestPhase::LookingUpKey;
    apply(m_keyed.onCall(id, *request.key, call.fingerprint, now), now);
}

// Adds a new request to its service's queue, or refuses it.
void Dispatcher::State::enqueue(RequestId id, Request& request, TimePoint now)
{
    if (!m_targets.takesCalls(request.service, now)) {
        fail(id, request, { Outcome::NotRun, Reason::NoTarget, "no target of the service accepts calls" },
            retryAfter({}), now);
        return;
    }
    // Caps the estimates so that some calls are admitted however slow calls have become. Otherwise a recovery
    // would never be noticed.
    auto left = request.deadline - now;
    request.expectedRunTime = std::min(request.expectedRunTime, left / 2);
    request.highRunTime = std::min(request.highRunTime, left * 3 / 4);
    auto& service = m_services.at(request.service);
    auto slots = m_targets.slotLimit(request.service, now);
    auto offer
        = service.admission.offer(waitingCall(id, request, now), slots, service.config.queueLimit, now);
    if (!offer.admitted) {
        fail(id, request,
            { Outcome::NotRun, Reason::Overloaded, "the queue is full or too long for the call's deadline" },
            retryAfter(offer.wait), now);
        return;
    }
    request.phase = RequestPhase::Queued;
    setWake(id, request, latestStart(request));
    if (offer.evicted)
        fail(*offer.evicted, m_requests.at(*offer.evicted),
            { Outcome::NotRun, Reason::Overloaded,
                "the queue is full and this caller has the most waiting calls" },
            retryAfter(offer.wait), now);
}

void Dispatcher::State::startWaitingCalls(TimePoint now)
{
    for (auto position = m_services.begin(); position != m_services.end();) {
        // Ending the last call of a removed service erases it from the map.
        auto& [id, service] = *position++;
        if (service.admission.size() > 0)
            startWaitingCallsOf(id, service, now);
    }
}

void Dispatcher::State::startWaitingCallsOf(const ServiceId& serviceId, ServiceState& service, TimePoint now)
{
    auto slots = m_targets.slotLimit(serviceId, now);
    ++service.references;
    startCallsFromQueue(serviceId, service, slots, now);
    releaseService(serviceId);
}

void Dispatcher::State::startCallsFromQueue(
    const ServiceId& serviceId, ServiceState& service, std::uint32_t slots, TimePoint now)
{
    while (const auto* call = service.admission.next(slots, now)) {
        auto id = call->request;
        auto& request = m_requests.at(id);
        assert(request.phase == RequestPhase::Queued);
        if (now >= request.deadline) {
            expire(id, request, now);
            continue;
        }
        if (now > latestStart(request)) {
            service.admission.popNext(*call);
            failForLackOfTime(id, request, now);
            continue;
        }
        if (auto* target = m_targets.pick(serviceId, request.tried, now)) {
            service.admission.popNext(*call);
            start(id, request, service, *target, now);
            continue;
        }
        // A retry whose remaining targets are all busy must not block the calls behind it.
        if (request.tried.empty() || !m_targets.pick(serviceId, {}, now))
            return;
        service.admission.popNext(*call);
        backOff(id, request, now);
    }
}

void Dispatcher::State::start(
    RequestId id, Request& request, ServiceState& service, TargetState& target, TimePoint now)
{
    assert(now < request.deadline);
    assert(request.idempotent || !request.mayHaveRun);
    auto attempt = ++m_lastAttempt;
    m_counts.retries += request.tried.empty() ? 0 : 1;
    request.phase = RequestPhase::InFlight;
    request.attempt = attempt;
    request.tried.push_back(target.row.vm);
    setWake(id, request, request.deadline);
    if (request.key)
        m_keyed.onSent(*request.key);
    service.admission.onStart(request.isLong);
    ++service.references;
    m_attempts.emplace(attempt,
        Attempt { id, request.service, target.row.vm, target.slots.take(now), request.callClass,
            request.isLong, now, false, request.key });
    auto grace = request.key ? m_settings.keyedAttemptGrace : Duration::zero();
    emit(StartAttempt {
        id, attempt, target.row.vm, target.row.address, request.deadline + grace, target.ownConnections });
}

// Ends a request that is not in flight. The outcome becomes MayHaveRun if any earlier attempt may have run.
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
    auto step = failure.outcome == Outcome::NotRun ? m_keyed.onNotRun(key, failure, retryAfter)
                                                   : m_keyed.onOutcomeUnknown(key, failure);
    apply(std::move(step), now);
}

// Ends a queued call that has too little time left to run.
void Dispatcher::State::failForLackOfTime(RequestId id, Request& request, TimePoint now)
{
    fail(id, request,
        { Outcome::NotRun, Reason::DeadlineExceeded, "too little time is left before the deadline" },
        retryAfter({}), now);
}

// Answers a caller whose deadline has passed with the outcome known so far.
void Dispatcher::State::expire(RequestId id, Request& request, TimePoint now)
{
    Failure failure { Outcome::NotRun, Reason::DeadlineExceeded, "the deadline passed" };
    bool inFlight = request.phase == RequestPhase::InFlight;
    if (!request.key) {
        if (inFlight) {
            failure.outcome = Outcome::MayHaveRun;
            cancel(request.attempt);
        }
        fail(id, request, std::move(failure), retryAfter({}), now);
        return;
    }
    // An attempt with a key continues, so that a resend can obtain its response.
    const auto key = *request.key;
    failure.outcome = inFlight || request.mayHaveRun ? Outcome::MayHaveRun : m_keyed.outcomeSoFar(id, key);
    emit(Refuse { id, std::move(failure), retryAfter({}) });
    erase(id);
    apply(m_keyed.onRequestGone(id, key), now);
}

void Dispatcher::State::onCallerGone(RequestId id, TimePoint now)
{
    auto position = m_requests.find(id);
    if (position == m_requests.end())
        return;
    auto key = position->second.key;
    if (!key && position->second.phase == RequestPhase::InFlight)
        cancel(position->second.attempt);
    erase(id);
    if (key)
        apply(m_keyed.onRequestGone(id, *key), now);
}

void Dispatcher::State::onClaim(RequestId id, const ClaimResult& result, TimePoint now)
{
    if (auto position = m_requests.find(id); position != m_requests.end())
        apply(m_keyed.onClaim(id, position->second.key.value(), result), now);
}

void Dispatcher::State::onOwnerReply(RequestId id, const OwnerReply& reply, TimePoint now)
{
    if (auto position = m_requests.find(id); position != m_requests.end())
        apply(m_keyed.onOwnerReply(id, position->second.key.value(), reply), now);
}

// Carries out the decisions of KeyedCalls. Requests that end are removed here.
void Dispatcher::State::apply(KeyedStep step, TimePoint now)
{
    for (auto& action : step.actions) {
        if (const auto* refuse = std::get_if<Refuse>(&action))
            erase(refuse->request);
        else if (const auto* stored = std::get_if<ForwardStoredResponse>(&action))
            erase(stored->request);
        else if (const auto* response = std::get_if<ForwardResponse>(&action))
            erase(response->request);
        emit(std::move(action));
    }
    if (step.askAgain) {
        auto& request = m_requests.at(*step.askAgain);
        setWake(*step.askAgain, request, std::min(request.deadline, now + m_settings.ownerPollInterval));
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
        if (request.phase == RequestPhase::Queued) {
            failForLackOfTime(id, request, now);
        } else if (request.phase == RequestPhase::BackingOff) {
            request.phase = RequestPhase::Queued;
            setWake(id, request, std::max(now + minWakeDelay, latestStart(request)));
            m_services.at(request.service).admission.requeue(waitingCall(id, request, now));
        } else if (request.phase == RequestPhase::LookingUpKey) {
            apply(m_keyed.askAgain(id, *request.key), now);
        }
    }
    while (!m_abandonedSlots.empty() && m_abandonedSlots.begin()->first <= now) {
        const auto& held = m_abandonedSlots.begin()->second;
        if (auto* target = m_targets.find(held.target))
            target->slots.returnSlot(held.slot);
        m_abandonedSlots.erase(m_abandonedSlots.begin());
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
    const auto request = std::move(position->second);
    m_requests.erase(position);
    if (request.phase == RequestPhase::Queued)
        m_services.at(request.service).admission.remove(waitingCall(id, request, request.arrivedAt));
    m_wakes.erase({ request.wake, id });
    releaseService(request.service);
}

void Dispatcher::State::applyDirectory(const DirectoryChange& change, TimePoint now)
{
    for (const auto& entry : change.changed) {
        auto& service = m_services[entry.config.service];
        service.config = entry.config;
        service.removed = false;
        m_targets.setService(entry, now);
    }
    for (const auto& id : change.removed) {
        m_targets.removeService(id);
        if (auto position = m_services.find(id); position != m_services.end()) {
            position->second.removed = true;
            ++position->second.references;
            releaseService(id);
        }
    }
}

// Drops one reference to the service. A removed service is erased with its last reference.
void Dispatcher::State::releaseService(const ServiceId& id)
{
    auto position = m_services.find(id);
    auto& service = position->second;
    assert(service.references > 0);
    if (--service.references == 0 && service.removed)
        m_services.erase(position);
}

void Dispatcher::State::onPeerLoad(const ProcessId& peer, const PeerLoad& load, TimePoint now)
{
    m_exchange.onPeerLoad(peer, load, now);
    m_targets.setEntryVms(m_exchange.sharers(now), now);
}

PeerLoad Dispatcher::State::loadFor(const ProcessId& peer, TimePoint now)
{
    if (m_exchange.detectPause(now))
        m_targets.reacquireSlots(now);
    m_targets.setEntryVms(m_exchange.sharers(now), now);
    return m_exchange.loadFor(peer, wanted(), now);
}

std::optional<TimePoint> Dispatcher::State::nextWake() const
{
    std::optional<TimePoint> wake;
    if (!m_wakes.empty())
        wake = m_wakes.begin()->first;
    if (!m_abandonedSlots.empty())
        wake = std::min(wake.value_or(m_abandonedSlots.begin()->first), m_abandonedSlots.begin()->first);
    return wake;
}

std::map<ServiceId, std::uint32_t> Dispatcher::State::wanted() const
{
    std::map<ServiceId, std::uint32_t> counts;
    for (const auto& [id, service] : m_services)
        if (auto waiting = service.admission.size(); waiting > 0)
            counts[id] += std::uint32_t(waiting);
    for (const auto& [id, attempt] : m_attempts)
        if (attempt.slot.lender)
            ++counts[attempt.service];
    return counts;
}

DispatcherCounts Dispatcher::State::counts(TimePoint now)
{
    auto counts = m_counts;
    for (const auto& [id, service] : m_services)
        counts.waiting += service.admission.size();
    counts.inFlight = m_attempts.size();
    for (const auto& [id, attempt] : m_attempts)
        counts.inFlightOnBorrowedSlots += attempt.slot.lender ? 1 : 0;
    counts.ejectedTargets = m_targets.ejected(now);
    counts.leavingTargets = m_targets.leaving(now).size();
    counts.keys = m_keyed.size();
    return counts;
}

// Appends an action and updates the counters.
void Dispatcher::State::emit(Action action)
{
    if (const auto* refuse = std::get_if<Refuse>(&action)) {
        auto outcome = refuse->failure.outcome;
        m_counts.refusedNotRun += outcome == Outcome::NotRun ? 1 : 0;
        m_counts.refusedMayHaveRun += outcome == Outcome::MayHaveRun ? 1 : 0;
        m_counts.refusedRan += outcome == Outcome::Ran ? 1 : 0;
    }
    m_counts.attempts += std::holds_alternative<StartAttempt>(action) ? 1 : 0;
    m_counts.cancelled += std::holds_alternative<CancelAttempt>(action) ? 1 : 0;
    m_counts.answered += std::holds_alternative<ForwardResponse>(action) ? 1 : 0;
    m_counts.answeredFromStored += std::holds_alternative<ForwardStoredResponse>(action) ? 1 : 0;
    m_counts.claims += std::holds_alternative<ClaimKey>(action) ? 1 : 0;
    m_counts.questionsToOwners += std::holds_alternative<AskKeyOwner>(action) ? 1 : 0;
    m_actions.push_back(std::move(action));
}

WaitingCall Dispatcher::State::waitingCall(RequestId id, const Request& request, TimePoint now)
{
    return { id, request.caller, request.isLong, request.expectedRunTime, request.highRunTime,
        request.deadline, now };
}

// Whole seconds, with jitter so that refused callers do not all return at once.
std::chrono::seconds Dispatcher::State::retryAfter(Duration wait)
{
    auto least = std::chrono::ceil<std::chrono::seconds>(wait) + std::chrono::seconds(1);
    auto spread = std::chrono::seconds(m_random() % 2);
    return std::min(maxRetryAfter, least + spread);
}

} // namespace fulmar::serve
