#include "serve/keyed_calls.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace fulmar::serve {

namespace {

constexpr std::size_t maxFollowers = 16;
// How often a question may be redirected before the key's state counts as unknown.
constexpr std::uint32_t maxHops = 4;
constexpr std::chrono::seconds retryAfterRunning { 1 };
constexpr std::chrono::seconds retryAfterOutage { 5 };
constexpr std::chrono::seconds noRetry { 0 };

Failure fingerprintMismatch()
{
    return { Outcome::NotRun, Reason::BadInput,
        "the idempotency key was already used for a different request" };
}

Failure responseLost()
{
    return { Outcome::Ran, Reason::KeyUnknown, "the request ran; its response is no longer stored" };
}

Failure outcomeUnknown()
{
    return { Outcome::MayHaveRun, Reason::KeyUnknown,
        "an earlier request with this key may have run; its outcome is unknown" };
}

std::string_view callersPart(std::string_view key) { return key.substr(key.find(' ') + 1); }

} // namespace

std::string scopedKey(const ServiceId& service, const std::string& callersKey)
{
    return service.value() + ' ' + callersKey;
}

KeyedCalls::KeyedCalls(KeyOwner self, KeyRegistryLimits limits)
    : m_registry(std::move(self), limits)
{
}

KeyedStep KeyedCalls::onCall(
    RequestId request, const std::string& key, std::uint64_t fingerprint, TimePoint now)
{
    KeyedStep step;
    auto* state = m_registry.find(key);
    if (!state) {
        auto minted = parseMintedKey(callersPart(key));
        bool ours = minted && minted->owner == m_registry.self();
        if (ours && !m_registry.isMintedAndNeverRun(*minted, now)) {
            step.actions.emplace_back(Refuse { request, outcomeUnknown(), noRetry });
            return step;
        }
        state = &m_registry.add(key, fingerprint, now);
        if (ours)
            state->phase = KeyPhase::Owned;
        else if (minted)
            state->ownerGrant = { minted->owner, 0 };
    }
    if (state->fingerprint != fingerprint) {
        step.actions.emplace_back(Refuse { request, fingerprintMismatch(), noRetry });
        return step;
    }
    advance(request, key, *state, step);
    return step;
}

// Takes the request as far as the key's phase allows.
void KeyedCalls::advance(RequestId request, const std::string& key, KeyState& state, KeyedStep& step)
{
    bool busy = state.leader.has_value() || state.phase == KeyPhase::Sent;
    if (busy && state.followers.size() >= maxFollowers) {
        step.actions.emplace_back(Refuse { request,
            { Outcome::MayHaveRun, Reason::Overloaded,
                "too many requests with this key are waiting for its result" },
            retryAfterRunning });
        return;
    }
    if (busy) {
        state.followers.push_back(request);
        return;
    }
    switch (state.phase) {
    case KeyPhase::Undecided:
        state.leader = request;
        state.hops = 0;
        if (state.ownerGrant.owner.process.empty())
            step.actions.emplace_back(
                ClaimKey { request, key, { m_registry.nextGrant(), state.fingerprint } });
        else
            ask(request, key, state, state.ownerGrant, step);
        return;
    case KeyPhase::Owned:
        becomeOwner(request, state, step);
        return;
    case KeyPhase::Transferred:
        state.leader = request;
        state.hops = 0;
        ask(request, key, state, state.movedTo, step);
        return;
    case KeyPhase::ResponseStored:
        step.actions.emplace_back(ForwardStoredResponse { request, key });
        return;
    case KeyPhase::ResponseDropped:
        step.actions.emplace_back(Refuse { request, responseLost(), noRetry });
        return;
    case KeyPhase::Sent:
    case KeyPhase::OutcomeUnknown:
        step.actions.emplace_back(Refuse { request, outcomeUnknown(), noRetry });
        return;
    }
}

KeyedStep KeyedCalls::onClaim(RequestId request, const std::string& key, const ClaimResult& result)
{
    KeyedStep step;
    auto* state = findLookup(request, key);
    if (!state)
        return step;
    if (std::holds_alternative<ClaimWon>(result)) {
        becomeOwner(request, *state, step);
        return step;
    }
    if (const auto* held = std::get_if<ClaimHeld>(&result)) {
        if (held->claim.fingerprint != state->fingerprint)
            refuseAll(*state, fingerprintMismatch(), noRetry, step);
        else if (m_registry.isUnusedGrant(*state, held->claim.grant))
            becomeOwner(request, *state, step);
        else if (held->claim.grant.owner == m_registry.self())
            refuseAll(*state, outcomeUnknown(), noRetry, step);
        else
            ask(request, key, *state, held->claim.grant, step);
        return step;
    }
    // This request did not run the key, but an earlier one through another entry VM may have.
    refuseAll(*state,
        { Outcome::MayHaveRun, Reason::StoreUnavailable,
            "the state of the key cannot be read; this request did not run" },
        retryAfterOutage, step);
    return step;
}

KeyedStep KeyedCalls::onOwnerReply(RequestId request, const std::string& key, const OwnerReply& reply)
{
    KeyedStep step;
    auto* state = findLookup(request, key);
    if (!state)
        return step;
    switch (reply.knowledge) {
    case KeyKnowledge::Kept:
        state->leader.reset();
        step.actions.emplace_back(ForwardStoredResponse { request, key });
        for (auto follower : std::exchange(state->followers, {}))
            step.actions.emplace_back(ForwardStoredResponse { follower, key });
        break;
    case KeyKnowledge::Running:
        step.askAgain = request;
        break;
    case KeyKnowledge::HandedOver:
        becomeOwner(request, *state, step);
        break;
    case KeyKnowledge::Moved:
        if (reply.movedTo && m_registry.isUnusedGrant(*state, *reply.movedTo))
            becomeOwner(request, *state, step);
        else if (reply.movedTo && reply.movedTo->owner != m_registry.self() && ++state->hops <= maxHops)
            ask(request, key, *state, *reply.movedTo, step);
        else
            refuseAll(*state, outcomeUnknown(), noRetry, step);
        break;
    case KeyKnowledge::RanAnswerLost:
        refuseAll(*state, responseLost(), noRetry, step);
        break;
    case KeyKnowledge::OtherRequest:
        refuseAll(*state, fingerprintMismatch(), noRetry, step);
        break;
    case KeyKnowledge::MayHaveRun:
    case KeyKnowledge::Gone:
        refuseAll(*state, outcomeUnknown(), noRetry, step);
        break;
    case KeyKnowledge::Unreachable:
        refuseAll(*state, outcomeUnknown(), retryAfterOutage, step);
        break;
    }
    return step;
}

KeyedStep KeyedCalls::askAgain(RequestId request, const std::string& key)
{
    KeyedStep step;
    if (auto* state = findLookup(request, key))
        ask(request, key, *state, state->ownerGrant, step);
    return step;
}

void KeyedCalls::ask(
    RequestId request, const std::string& key, KeyState& state, const KeyGrant& ownerGrant, KeyedStep& step)
{
    state.ownerGrant = ownerGrant;
    step.actions.emplace_back(
        AskKeyOwner { request, { key, state.fingerprint, ownerGrant, m_registry.nextGrant() } });
}

void KeyedCalls::becomeOwner(RequestId request, KeyState& state, KeyedStep& step)
{
    state.phase = KeyPhase::Owned;
    state.leader = request;
    step.proceed = request;
}

void KeyedCalls::onSent(const std::string& key)
{
    auto* state = m_registry.find(key);
    assert(state && (state->phase == KeyPhase::Owned || state->phase == KeyPhase::Sent));
    state->phase = KeyPhase::Sent;
}

void KeyedCalls::onAttemptNotRun(const std::string& key)
{
    auto* state = m_registry.find(key);
    assert(state && state->phase == KeyPhase::Sent);
    state->phase = KeyPhase::Owned;
}

KeyedStep KeyedCalls::onNotRun(
    const std::string& key, const Failure& failure, std::chrono::seconds retryAfter)
{
    assert(failure.outcome == Outcome::NotRun);
    KeyedStep step;
    auto* state = m_registry.find(key);
    assert(state && (state->phase == KeyPhase::Owned || state->phase == KeyPhase::Sent));
    state->phase = KeyPhase::Owned;
    // Followers are refused as well: if one of them ran later, this NotRun would become untrue.
    refuseAll(*state, failure, retryAfter, step);
    return step;
}

KeyedStep KeyedCalls::onResponse(
    const std::string& key, AttemptId attempt, std::optional<std::size_t> bufferedBytes)
{
    KeyedStep step;
    auto& state = *m_registry.find(key);
    if (m_registry.recordResponse(key, bufferedBytes))
        step.actions.emplace_back(StoreResponse { attempt, key });
    if (state.leader)
        step.actions.emplace_back(ForwardResponse { *state.leader, attempt });
    state.leader.reset();
    for (auto follower : std::exchange(state.followers, {}))
        if (state.phase == KeyPhase::ResponseStored)
            step.actions.emplace_back(ForwardStoredResponse { follower, key });
        else
            step.actions.emplace_back(Refuse { follower, responseLost(), noRetry });
    return step;
}

KeyedStep KeyedCalls::onOutcomeUnknown(const std::string& key, const Failure& failure)
{
    assert(failure.outcome != Outcome::NotRun);
    KeyedStep step;
    auto& state = *m_registry.find(key);
    state.phase = KeyPhase::OutcomeUnknown;
    refuseAll(state, failure, noRetry, step);
    return step;
}

KeyedStep KeyedCalls::onRequestGone(RequestId request, const std::string& key)
{
    KeyedStep step;
    auto* state = m_registry.find(key);
    if (!state)
        return step;
    std::erase(state->followers, request);
    if (state->leader != request)
        return step;
    state->leader.reset();
    if (state->phase == KeyPhase::Sent || state->followers.empty())
        return step;
    auto next = state->followers.front();
    state->followers.erase(state->followers.begin());
    advance(next, key, *state, step);
    return step;
}

Outcome KeyedCalls::outcomeSoFar(RequestId request, const std::string& key)
{
    const auto* state = m_registry.find(key);
    // An owned key has not run. A follower could still run it, however, so that NotRun would become untrue.
    bool staysNotRun
        = state && state->phase == KeyPhase::Owned && state->leader == request && state->followers.empty();
    return staysNotRun ? Outcome::NotRun : Outcome::MayHaveRun;
}

Actions KeyedCalls::expire(TimePoint now)
{
    m_registry.expire(now);
    Actions actions;
    for (auto& key : m_registry.takeDroppedResponses())
        actions.emplace_back(DropStoredResponse { std::move(key) });
    return actions;
}

// Refuses the leader and all followers.
void KeyedCalls::refuseAll(
    KeyState& state, const Failure& failure, std::chrono::seconds retryAfter, KeyedStep& step)
{
    if (state.leader)
        step.actions.emplace_back(Refuse { *state.leader, failure, retryAfter });
    state.leader.reset();
    for (auto follower : std::exchange(state.followers, {}))
        step.actions.emplace_back(Refuse { follower, failure, retryAfter });
}

// The key's state if the request is the leader and the key's history is being looked up; null otherwise.
KeyState* KeyedCalls::findLookup(RequestId request, const std::string& key)
{
    auto* state = m_registry.find(key);
    if (!state || state->leader != request)
        return nullptr;
    bool lookingUp = state->phase == KeyPhase::Undecided || state->phase == KeyPhase::Transferred;
    return lookingUp ? state : nullptr;
}

} // namespace fulmar::serve
