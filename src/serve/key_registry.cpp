#include "serve/key_registry.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace fulmar::serve {

namespace {

// Requests still depend on the key, so it must not be forgotten.
bool isBusy(const KeyState& state)
{
    return state.leader.has_value() || !state.followers.empty() || state.phase == KeyPhase::Sent;
}

// The caller's key without the service that scopes it.
std::string_view callersPart(std::string_view key)
{
    auto space = key.find(' ');
    return space == std::string_view::npos ? key : key.substr(space + 1);
}

} // namespace

KeyRegistry::KeyRegistry(KeyOwner self, KeyRegistryLimits limits)
    : m_self(std::move(self))
    , m_limits(limits)
{
}

KeyState* KeyRegistry::find(const std::string& key)
{
    auto position = m_keys.find(key);
    return position == m_keys.end() ? nullptr : &position->second;
}

KeyState& KeyRegistry::add(const std::string& key, std::uint64_t fingerprint, TimePoint now)
{
    makeRoom();
    auto [position, isNew] = m_keys.try_emplace(key);
    assert(isNew);
    m_evictionOrder.push_back(key);
    auto& state = position->second;
    state.fingerprint = fingerprint;
    state.addedAt = now;
    state.firstSerial = m_lastSerial + 1;
    return state;
}

KeyGrant KeyRegistry::nextGrant() { return { m_self, ++m_lastSerial }; }

bool KeyRegistry::isUnusedGrant(const KeyState& state, const KeyGrant& grant) const
{
    bool neverSent = state.phase == KeyPhase::Undecided || state.phase == KeyPhase::Owned
        || state.phase == KeyPhase::Transferred;
    return grant.owner == m_self && grant.serial >= state.firstSerial && neverSent;
}

bool KeyRegistry::recordResponse(const std::string& key, std::optional<std::size_t> bytes)
{
    auto& state = m_keys.at(key);
    assert(state.phase == KeyPhase::Sent);
    if (!bytes || *bytes > m_limits.bytesPerResponse) {
        state.phase = KeyPhase::ResponseDropped;
        return false;
    }
    state.phase = KeyPhase::ResponseStored;
    state.responseBytes = *bytes;
    m_responseBytes += *bytes;
    m_storedByAge.push_back(key);
    discardStaleResponses();
    while (m_responseBytes > m_limits.responseBytes) {
        auto oldest = std::move(m_storedByAge.front());
        m_storedByAge.pop_front();
        if (auto* stored = find(oldest); stored && stored->phase == KeyPhase::ResponseStored)
            dropResponse(*stored, oldest);
    }
    return true;
}

bool KeyRegistry::isMintedAndNeverRun(const MintedKey& key, TimePoint now) const
{
    return key.owner == m_self && key.mintedAt > m_newestForgottenMint && key.mintedAt <= now
        && key.mintedAt + m_limits.keyRetention > now;
}

OwnerReply KeyRegistry::answerQuestion(const KeyQuestion& question, TimePoint now)
{
    if (question.holder.owner != m_self)
        return { KeyKnowledge::Gone, {} };
    auto* state = find(question.key);
    if (!state) {
        auto minted = parseMintedKey(callersPart(question.key));
        if (!minted || !isMintedAndNeverRun(*minted, now))
            return { KeyKnowledge::MayHaveRun, {} };
        state = &add(question.key, question.fingerprint, now);
        state->phase = KeyPhase::Owned;
    }
    if (state->fingerprint != question.fingerprint)
        return { KeyKnowledge::OtherRequest, {} };

    switch (state->phase) {
    case KeyPhase::Undecided:
    case KeyPhase::Owned:
        if (state->leader)
            return { KeyKnowledge::Running, {} };
        // The asker learned of our grant from the claim row or from an earlier owner, so our undecided claim
        // or question succeeded. If the grant is unused the right can be transferred.
        if (state->phase == KeyPhase::Undecided && !isUnusedGrant(*state, question.holder))
            return { KeyKnowledge::MayHaveRun, {} };
        state->phase = KeyPhase::Transferred;
        state->movedTo = question.asker;
        return { KeyKnowledge::HandedOver, {} };
    case KeyPhase::Sent:
        return { KeyKnowledge::Running, {} };
    case KeyPhase::ResponseStored:
        return { KeyKnowledge::Kept, {} };
    case KeyPhase::ResponseDropped:
        return { KeyKnowledge::RanAnswerLost, {} };
    case KeyPhase::OutcomeUnknown:
        return { KeyKnowledge::MayHaveRun, {} };
    case KeyPhase::Transferred:
        return { KeyKnowledge::Moved, state->movedTo };
    }
    return { KeyKnowledge::MayHaveRun, {} };
}

void KeyRegistry::expire(TimePoint now)
{
    while (!m_evictionOrder.empty()) {
        const auto& state = m_keys.at(m_evictionOrder.front());
        if (isBusy(state) || state.addedAt + m_limits.keyRetention > now)
            return;
        forgetOldest();
    }
}

std::vector<std::string> KeyRegistry::takeDroppedResponses() { return std::exchange(m_dropped, {}); }

// Pops keys from the front that were forgotten after their response was stored.
void KeyRegistry::discardStaleResponses()
{
    while (!m_storedByAge.empty()) {
        if (auto* state = find(m_storedByAge.front()); state && state->phase == KeyPhase::ResponseStored)
            return;
        m_storedByAge.pop_front();
    }
}

// Busy keys move to the back. If all keys are busy the registry exceeds its limit; its size is then bounded
// by the requests in the process.
void KeyRegistry::makeRoom()
{
    auto tries = m_evictionOrder.size();
    while (m_keys.size() >= m_limits.keys && tries-- > 0) {
        if (!isBusy(m_keys.at(m_evictionOrder.front()))) {
            forgetOldest();
            continue;
        }
        m_evictionOrder.push_back(std::move(m_evictionOrder.front()));
        m_evictionOrder.pop_front();
    }
}

void KeyRegistry::forgetOldest()
{
    auto key = std::move(m_evictionOrder.front());
    m_evictionOrder.pop_front();
    auto position = m_keys.find(key);
    if (position->second.phase == KeyPhase::ResponseStored)
        dropResponse(position->second, key);
    if (auto minted = parseMintedKey(callersPart(key)); minted && minted->owner == m_self)
        m_newestForgottenMint = std::max(m_newestForgottenMint, minted->mintedAt);
    m_keys.erase(position);
}

void KeyRegistry::dropResponse(KeyState& state, const std::string& key)
{
    m_responseBytes -= state.responseBytes;
    state.responseBytes = 0;
    state.phase = KeyPhase::ResponseDropped;
    m_dropped.push_back(key);
}

} // namespace fulmar::serve
