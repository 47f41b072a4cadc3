#include "serve/key_registry.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace fulmar::serve {

namespace {

// A key in these phases drives requests and must not be forgotten.
bool isBusy(const KeyState& state)
{
    return state.leader.has_value() || !state.followers.empty() || state.phase == KeyPhase::Sent;
}

// The caller's part of a key that is scoped by its service.
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
    m_order.push_back(key);
    auto& state = position->second;
    state.fingerprint = fingerprint;
    state.added = now;
    state.firstSerial = m_lastSerial + 1;
    return state;
}

KeyGrant KeyRegistry::nextGrant() { return { m_self, ++m_lastSerial }; }

bool KeyRegistry::isUnused(const KeyState& state, const KeyGrant& grant) const
{
    bool neverSent = state.phase == KeyPhase::Undecided || state.phase == KeyPhase::Owned
        || state.phase == KeyPhase::HandedOver;
    return grant.owner == m_self && grant.serial >= state.firstSerial && neverSent;
}

bool KeyRegistry::setAnswered(const std::string& key, std::optional<std::size_t> bytes)
{
    auto& state = m_keys.at(key);
    assert(state.phase == KeyPhase::Sent);
    if (!bytes || *bytes > m_limits.bytesPerAnswer) {
        state.phase = KeyPhase::AnswerForgotten;
        return false;
    }
    state.phase = KeyPhase::Answered;
    state.answerBytes = *bytes;
    m_answerBytes += *bytes;
    m_answered.push_back(key);
    discardStaleAnswers();
    while (m_answerBytes > m_limits.answerBytes) {
        auto oldest = std::move(m_answered.front());
        m_answered.pop_front();
        if (auto* answered = find(oldest); answered && answered->phase == KeyPhase::Answered)
            dropAnswer(*answered, oldest);
    }
    return true;
}

bool KeyRegistry::isFreshMint(const MintedKey& key, TimePoint now) const
{
    return key.owner == m_self && key.minted > m_mintFloor && key.minted <= now
        && key.minted + m_limits.keyRetention > now;
}

OwnerAnswer KeyRegistry::answerPeer(const KeyQuestion& question, TimePoint now)
{
    if (question.holder.owner != m_self)
        return { KeyKnowledge::Gone, {} };
    auto* state = find(question.key);
    if (!state) {
        auto minted = parseMintedKey(callersPart(question.key));
        if (!minted || !isFreshMint(*minted, now))
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
        // An undecided claim took effect if the asker has seen it.
        if (state->phase == KeyPhase::Undecided && !isUnused(*state, question.holder))
            return { KeyKnowledge::MayHaveRun, {} };
        state->phase = KeyPhase::HandedOver;
        state->movedTo = question.asker;
        return { KeyKnowledge::HandedOver, {} };
    case KeyPhase::Sent:
        return { KeyKnowledge::Running, {} };
    case KeyPhase::Answered:
        return { KeyKnowledge::Kept, {} };
    case KeyPhase::AnswerForgotten:
        return { KeyKnowledge::RanAnswerLost, {} };
    case KeyPhase::EndUnknown:
        return { KeyKnowledge::MayHaveRun, {} };
    case KeyPhase::HandedOver:
        return { KeyKnowledge::Moved, state->movedTo };
    }
    return { KeyKnowledge::MayHaveRun, {} };
}

void KeyRegistry::expire(TimePoint now)
{
    while (!m_order.empty()) {
        const auto& state = m_keys.at(m_order.front());
        if (isBusy(state) || state.added + m_limits.keyRetention > now)
            return;
        forgetOldest();
    }
}

std::vector<std::string> KeyRegistry::takeDropped() { return std::exchange(m_dropped, {}); }

// Takes keys off the front that were forgotten since they were answered.
void KeyRegistry::discardStaleAnswers()
{
    while (!m_answered.empty()) {
        if (auto* state = find(m_answered.front()); state && state->phase == KeyPhase::Answered)
            return;
        m_answered.pop_front();
    }
}

// Keys in use move to the back; with all in use the registry grows, bounded by the requests in the process.
void KeyRegistry::makeRoom()
{
    auto tries = m_order.size();
    while (m_keys.size() >= m_limits.keys && tries-- > 0) {
        if (!isBusy(m_keys.at(m_order.front()))) {
            forgetOldest();
            continue;
        }
        m_order.push_back(std::move(m_order.front()));
        m_order.pop_front();
    }
}

void KeyRegistry::forgetOldest()
{
    auto key = std::move(m_order.front());
    m_order.pop_front();
    auto position = m_keys.find(key);
    if (position->second.phase == KeyPhase::Answered)
        dropAnswer(position->second, key);
    if (auto minted = parseMintedKey(callersPart(key)); minted && minted->owner == m_self)
        m_mintFloor = std::max(m_mintFloor, minted->minted);
    m_keys.erase(position);
}

void KeyRegistry::dropAnswer(KeyState& state, const std::string& key)
{
    m_answerBytes -= state.answerBytes;
    state.answerBytes = 0;
    state.phase = KeyPhase::AnswerForgotten;
    m_dropped.push_back(key);
}

} // namespace fulmar::serve
