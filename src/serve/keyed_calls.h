#pragma once

#include "serve/key_registry.h"

namespace fulmar::serve {

// Result of an event of a request with a key.
struct KeyedStep {
    // ClaimKey, AskKeyOwner, StoreResponse, ForwardResponse, ForwardStoredResponse and Refuse. The last three
    // end a request.
    Actions actions;
    // A request that may be sent to a target now.
    std::optional<RequestId> proceed;
    // A request whose question to the key's owner is to be repeated after a short delay.
    std::optional<RequestId> askAgain;
};

// At-most-once execution of requests with an idempotency key, across all entry VMs. Decides when such a
// request may be sent, and answers resends of its key. The dispatcher does the sending.
//
// A key chosen by the caller is claimed in the platform's table before its first byte is sent. A minted key
// belongs to the process that minted it. In both cases the owner answers
// questions about the key from memory, and can transfer the right to run an unsent key. Whatever cannot be
// proven is reported as Outcome::MayHaveRun.
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
    // The attempt has provably not run; another one may follow.
    void onAttemptNotRun(const std::string& key);
    // The request ends without a run. All requests that wait for the key are refused; a later resend may run.
    [[nodiscard]] KeyedStep onNotRun(const std::string& key, const Failure&, std::chrono::seconds retryAfter);
    [[nodiscard]] KeyedStep onResponse(
        const std::string& key, AttemptId, std::optional<std::size_t> bufferedBytes);
    [[nodiscard]] KeyedStep onOutcomeUnknown(const std::string& key, const Failure&);

    // The caller disconnected or its deadline passed. If the request was the leader and the key was not sent
    // yet, a follower becomes the leader.
    [[nodiscard]] KeyedStep onRequestGone(RequestId, const std::string& key);

    // The outcome known so far, for a caller that must be answered now.
    [[nodiscard]] Outcome outcomeSoFar(RequestId, const std::string& key);

    [[nodiscard]] OwnerReply onKeyQuestion(const KeyQuestion& question, TimePoint now)
    {
        return m_registry.answerQuestion(question, now);
    }

    // Number of keys remembered.
    [[nodiscard]] std::size_t size() const { return m_registry.size(); }

    // Forgets old keys. Returns the responses to drop since the previous call.
    [[nodiscard]] Actions expire(TimePoint now);

private:
    void advance(RequestId, const std::string& key, KeyState&, KeyedStep&);
    void ask(RequestId, const std::string& key, KeyState&, const KeyGrant& ownerGrant, KeyedStep&);
    void becomeOwner(RequestId, KeyState&, KeyedStep&);
    void refuseAll(KeyState&, const Failure&, std::chrono::seconds retryAfter, KeyedStep&);
    KeyState* findLookup(RequestId, const std::string& key);

    KeyRegistry m_registry;
};

[[nodiscard]] std::string scopedKey(const ServiceId&, const std::string& callersKey);

} // namespace fulmar::serve
