#pragma once

#include "serve/call.h"
#include "serve/minted_key.h"

#include <deque>
#include <unordered_map>

namespace fulmar::serve {

// Where a key stands at this process. Only Owned may turn into Sent, and only once.
enum class KeyPhase : std::uint8_t {
    // Being claimed or asked for by the leading request, or left undecided by an earlier one. Never sent from
    // here.
    Undecided,
    // This process alone may run it, and has not sent it to a target.
    Owned,
    // Sent to a target, or about to be.
    Sent,
    ResponseStored,
    ResponseDropped,
    // Sent, and its end will never be known.
    OutcomeUnknown,
    HandedOver,
};

// One key's state. `leader` is the request that drives it, `followers` are resends that wait for its end.
struct KeyState {
    KeyPhase phase { KeyPhase::Undecided };
    std::uint64_t fingerprint { 0 };
    std::optional<RequestId> leader;
    std::vector<RequestId> followers;
    // Grants to this process with this serial or a later one are remembered here with all that came of them.
    std::uint64_t firstSerial { 0 };
    // Set in phase HandedOver.
    KeyGrant movedTo;
    // Whom the leader asks, and how often it was sent on to another holder.
    KeyGrant holder;
    std::uint32_t hops { 0 };
    TimePoint added;
    // Set in phase Answered.
    std::size_t responseBytes { 0 };
};

struct KeyRegistryLimits {
    // Beyond this many keys the oldest are forgotten.
    std::size_t keys { 50'000 };
    // How long a key is remembered.
    Duration keyRetention { std::chrono::hours(1) };
    // Beyond this much the oldest answers are dropped; a larger answer than the second limit is not kept.
    std::size_t responseBytes { 16U << 20U };
    std::size_t bytesPerResponse { 256U << 10U };
};

// This process's memory of idempotency keys. A key that is missing here was never seen or is forgotten; the
// registry tells the two apart only for keys that this process minted, and for grants by their serial.
class KeyRegistry {
public:
    KeyRegistry(KeyOwner self, KeyRegistryLimits);

    [[nodiscard]] KeyState* find(const std::string& key);
    // Adds a key in phase Undecided, forgetting older ones to make room.
    KeyState& add(const std::string& key, std::uint64_t fingerprint, TimePoint now);

    // A grant for a new claim or question of this process.
    [[nodiscard]] KeyGrant nextGrant();
    // The grant was given to this process, and the key has not been sent since.
    [[nodiscard]] bool isUnusedGrant(const KeyState&, const KeyGrant&) const;

    // The run ended with an answer of this size; empty if it cannot be kept. True if the answer is to be
    // kept.
    [[nodiscard]] bool recordResponse(const std::string& key, std::optional<std::size_t> bytes);

    // A key minted by this very life of the process that is not in the registry: whether it was certainly
    // never run.
    [[nodiscard]] bool isMintedAndNeverRun(const MintedKey&, TimePoint now) const;

    // The holder's side of a question.
    [[nodiscard]] OwnerReply answerQuestion(const KeyQuestion&, TimePoint now);

    // Forgets the keys that are past their retention.
    void expire(TimePoint now);

    // The keys whose answers are no longer kept, since the last call.
    [[nodiscard]] std::vector<std::string> takeDroppedResponses();

    [[nodiscard]] const KeyOwner& self() const { return m_self; }
    [[nodiscard]] std::size_t size() const { return m_keys.size(); }

private:
    void makeRoom();
    void forgetOldest();
    void discardStaleResponses();
    void dropResponse(KeyState&, const std::string& key);

    KeyOwner m_self;
    KeyRegistryLimits m_limits;
    std::unordered_map<std::string, KeyState> m_keys;
    // Keys in the order in which they were added, and in which they were answered.
    std::deque<std::string> m_byAge;
    std::deque<std::string> m_storedByAge;
    std::size_t m_responseBytes { 0 };
    std::vector<std::string> m_dropped;
    std::uint64_t m_lastSerial { 0 };
    // Keys minted up to here may have been forgotten.
    TimePoint m_newestForgottenMint {};
};

} // namespace fulmar::serve
