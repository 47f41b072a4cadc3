#pragma once

#include "serve/call.h"
#include "serve/minted_key.h"

#include <deque>
#include <unordered_map>

namespace fulmar::serve {

// State of a key at this process. A key may be sent only in phase Owned. A key that was sent returns to Owned
// only if the attempt has provably not run.
enum class KeyPhase : std::uint8_t {
    // It is not known yet who may run the key: the leader's claim or question has no result, or an earlier
    // leader ended without obtaining the right to run it. Not sent since the entry was added.
    Undecided,
    // Only this process may run the key; it is not sent to a target.
    Owned,
    // Sent to a target, or about to be.
    Sent,
    ResponseStored,
    ResponseDropped,
    // Sent; the outcome will never be known.
    OutcomeUnknown,
    // The right to run the key was transferred to `movedTo`.
    Transferred,
};

// `leader` is the request that acts for the key; `followers` are resends that wait for its result.
struct KeyState {
    KeyPhase phase { KeyPhase::Undecided };
    std::uint64_t fingerprint { 0 };
    std::optional<RequestId> leader;
    std::vector<RequestId> followers;
    // Lowest serial of the grants created since the entry was added. A grant with a lower serial may have
    // been used before the key was forgotten.
    std::uint64_t firstSerial { 0 };
    // Set in phase Transferred.
    KeyGrant movedTo;
    // Grant of the owner that the leader asks, and how often the question was redirected to another owner.
    KeyGrant ownerGrant;
    std::uint32_t hops { 0 };
    TimePoint addedAt;
    // Set in phase ResponseStored.
    std::size_t responseBytes { 0 };
};

struct KeyRegistryLimits {
    // Beyond this number of keys the oldest are forgotten.
    std::size_t keys { 50'000 };
    // How long a key is remembered.
    Duration keyRetention { std::chrono::hours(1) };
    // Beyond this total the oldest responses are dropped; a response larger than bytesPerResponse is not
    // stored.
    std::size_t responseBytes { 16U << 20U };
    std::size_t bytesPerResponse { 256U << 10U };
};

// Idempotency keys known to this process. A missing key was either never seen or is forgotten. The two cases
// can be told apart only for keys minted here, and for grants by their serial.
class KeyRegistry {
public:
    KeyRegistry(KeyOwner self, KeyRegistryLimits);

    [[nodiscard]] KeyState* find(const std::string& key);
    // Adds a key in phase Undecided and forgets older keys to make room.
    KeyState& add(const std::string& key, std::uint64_t fingerprint, TimePoint now);

    // A grant for a new claim or question of this process.
    [[nodiscard]] KeyGrant nextGrant();
    // The grant was given to this process, and the key has not been sent since.
    [[nodiscard]] bool isUnusedGrant(const KeyState&, const KeyGrant&) const;

    // Records that the key ran. `bytes` is the size of the response; empty if it cannot be stored. Returns
    // whether the response is to be stored.
    [[nodiscard]] bool recordResponse(const std::string& key, std::optional<std::size_t> bytes);

    // For a key that is not in the registry: it was minted by this incarnation and has certainly never run.
    [[nodiscard]] bool isMintedAndNeverRun(const MintedKey&, TimePoint now) const;

    // Answers a question that a peer asks this process as the owner of the key.
    [[nodiscard]] OwnerReply answerQuestion(const KeyQuestion&, TimePoint now);

    // Forgets keys that exceeded their retention time.
    void expire(TimePoint now);

    // Keys whose responses were dropped since the previous call.
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
    // Keys in the order in which they are considered for eviction: oldest first, but makeRoom() moves busy
    // keys to the back.
    std::deque<std::string> m_evictionOrder;
    // Keys in the order in which their responses were stored.
    std::deque<std::string> m_storedByAge;
    std::size_t m_responseBytes { 0 };
    std::vector<std::string> m_dropped;
    std::uint64_t m_lastSerial { 0 };
    // Keys minted up to this time may have been forgotten.
    TimePoint m_newestForgottenMint {};
};

} // namespace fulmar::serve
