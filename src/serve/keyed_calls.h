#pragma once

#include "serve/key_registry.h"

namespace fulmar::serve {

// What follows from an event of a keyed request.
struct KeyedStep {
    // ClaimKey, AskKeyOwner, StoreResponse, ForwardResponse, ForwardStoredResponse and Refuse; the last three
    // end a request.
    Actions actions;
    // This request may be sent to a target now.
    std::optional<RequestId> proceed;
    // This request's question is to be asked again a little later.
    std::optional<RequestId> askAgain;
};

// Carries requests with an idempotency key to the point where they may be sent, at most once per key over all
// entry VMs, and tells resends of the key what is known. The dispatcher does the sending.
//
// A caller's own key is claimed in the platform's table before its first byte is sent. A minted key belongs
// to the process that minted it. In both cases the process that holds the right to run the key answers for
// it from memory, and can hand the right over while the key is unsent. Whatever cannot be proven is reported
// as Outcome::MayHaveRun.
class KeyedCalls {
public:
    KeyedCalls(KeyOwner self, KeyRegistryLimits);

    // `key` is the caller's key scoped by its service: see scopedKey().
    [[nodiscard]] KeyedStep onCall(
        RequestId, const std::string& key, std::uint64_t fingerprint, TimePoint now);
    [[nodiscard]] KeyedStep onClaim(RequestId, const std::string& key, const ClaimResult&);
    [[nodiscard]] KeyedStep onOwnerReply(RequestId, const std::string& key, const OwnerReply&);
    [[nodiscard]] KeyedStep askAgain(RequestId, const std::string& key);

    // An attempt for the key is about to start.
    void onSent(const std::string& key);
    // The attempt is proven not to have run, and another one may follow.
    void onAttemptNotRun(const std::string& key);
    // It is proven that no attempt ran, and no further one will start.
    [[nodiscard]] KeyedStep onNotRun(const std::string& key, const Failure&, std::chrono::seconds retryAfter);
    [[nodiscard]] KeyedStep onResponse(
        const std::string& key, AttemptId, std::optional<std::size_t> bufferedBytes);
    [[nodiscard]] KeyedStep onOutcomeUnknown(const std::string& key, const Failure&);

    // The request leaves: its caller is gone or its deadline has passed. A follower takes a leader's place
    // unless the key was sent already.
    [[nodiscard]] KeyedStep onRequestGone(RequestId, const std::string& key);

    // What is known of the key's request when one of its callers has to be answered now.
    [[nodiscard]] Outcome outcomeSoFar(RequestId, const std::string& key);

    [[nodiscard]] OwnerReply onKeyQuestion(const KeyQuestion& question, TimePoint now)
    {
        return m_registry.answerQuestion(question, now);
    }

    // Keys remembered.
    [[nodiscard]] std::size_t size() const { return m_registry.size(); }

    // Forgets old keys. Also collects the answers dropped since the last call.
    [[nodiscard]] Actions expire(TimePoint now);

private:
    void advance(RequestId, const std::string& key, KeyState&, KeyedStep&);
    void ask(RequestId, const std::string& key, KeyState&, const KeyGrant& holder, KeyedStep&);
    void becomeOwner(RequestId, KeyState&, KeyedStep&);
    void refuseAll(KeyState&, const Failure&, std::chrono::seconds retryAfter, KeyedStep&);
    KeyState* findLookup(RequestId, const std::string& key);

    KeyRegistry m_registry;
};

[[nodiscard]] std::string scopedKey(const ServiceId&, const std::string& callersKey);

} // namespace fulmar::serve
