#pragma once

#include "core/clock.h"
#include "core/types.h"
#include "core/verdict.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace fulmar::serve {

// A caller's request at this entry VM; never reused within a process.
using RequestId = std::uint64_t;

// One sending of a request to one target; never reused within a process.
using AttemptId = std::uint64_t;

// A request as it came from a caller, without its body.
struct CallInfo {
    ServiceId service;
    std::string method;
    // Path after the service's segment; its shape tells short calls from long ones.
    std::string path;
    // Whom fairness counts the call for, such as the caller's address.
    std::string caller;
    // Value of the Idempotency-Key header.
    std::optional<std::string> idempotencyKey;
    // Value of the Request-Timeout-Ms header; the service's default applies without it.
    std::optional<Duration> timeout;
    // Hash of method, path and body: a key sent again with another fingerprint is another request.
    std::uint64_t fingerprint { 0 };
};

// How an attempt ended. Outcome::Ran: the whole answer arrived. Outcome::NotRun: nothing that could run was
// sent (no connection, or closed before any byte of the request was written). MayHaveRun: everything else.
struct AttemptEnd {
    Outcome outcome { Outcome::MayHaveRun };
    // HTTP status; present when outcome is Ran.
    std::optional<int> status;
    Reason reason { Reason::TargetFailed };
    // The target said that it is leaving.
    bool targetLeaving { false };
    // Part of the answer was already passed to the caller, so no other attempt can replace it.
    bool responseStarted { false };
    // Size of the whole answer if the daemon still holds all of it, so that it can be kept for a resend of
    // the same key; empty otherwise.
    std::optional<std::size_t> bufferedBytes;
};

// The entry VM process that alone may run a key. An incarnation is one life of a process: a process that is
// started again, or whose VM is replaced, has another.
struct KeyOwner {
    ProcessId process;
    std::uint64_t incarnation { 0 };

    bool operator==(const KeyOwner&) const = default;
};

// The right to run a key, as claimed or asked for by one request at its owner. The serial grows with every
// claim and every question of that process, so that the owner can tell a claim of which it remembers
// everything from one that it may have forgotten. Serial 0: the owner minted the key.
struct KeyGrant {
    KeyOwner owner;
    std::uint64_t serial { 0 };

    bool operator==(const KeyGrant&) const = default;
};

// The claim on an idempotency key, the value of its row in the platform's table.
struct KeyClaim {
    KeyGrant grant;
    std::uint64_t fingerprint { 0 };

    bool operator==(const KeyClaim&) const = default;
};

// What came of a ClaimKey. Unknown: the table could not be asked, or the reply was lost and reading back
// failed.
struct ClaimWon { };
struct ClaimHeld {
    KeyClaim claim;
};
struct ClaimUnknown { };
using ClaimResult = std::variant<ClaimWon, ClaimHeld, ClaimUnknown>;

// What a key's owner knows of it.
enum class KeyKnowledge : std::uint8_t {
    // The run ended and its answer comes with this reply.
    Kept,
    // The run has not ended yet.
    Running,
    // It never ran, and the owner has just given its right to run it to the asking process.
    HandedOver,
    // The right to run it was given to `movedTo` before.
    Moved,
    // It ran, and its answer is not kept.
    RanAnswerLost,
    // It was sent to a target, and its end is unknown or forgotten.
    MayHaveRun,
    // The key belongs to a request with another fingerprint.
    OtherRequest,
    // The owner's incarnation is over; its memory is lost.
    Gone,
    // No reply from the owner.
    Unreachable,
};

struct OwnerReply {
    KeyKnowledge knowledge { KeyKnowledge::Unreachable };
    std::optional<KeyGrant> movedTo;
};

// Actions: what the daemon is to do next, in order.

// Send the request to this target. Report its end with onAttemptEnd, exactly once, also after CancelAttempt.
struct StartAttempt {
    RequestId request { 0 };
    AttemptId attempt { 0 };
    VmId target;
    std::string address;
    // The attempt is ended by the daemon at this time if it has not ended before.
    TimePoint deadline;
    // Connections to this address, idle ones included, that the daemon may keep.
    std::uint32_t connectionLimit { 0 };
};

// Close the attempt's connection. Its end is still reported.
struct CancelAttempt {
    AttemptId attempt { 0 };
};

// Pass the attempt's whole answer to the caller, with Fulmar-Outcome: ran.
struct ForwardResponse {
    RequestId request { 0 };
    AttemptId attempt { 0 };
};

// Answer the caller with this failure, or cut its connection if part of an answer was passed on. retryAfter
// is zero where asking again is of no use.
struct Refuse {
    RequestId request { 0 };
    Failure failure;
    std::chrono::seconds retryAfter {};
};

// Write the claim row of `key`, on condition that it is absent, and report with onClaim. Claims that come
// together share a transaction: see claim_batch.h.
struct ClaimKey {
    RequestId request { 0 };
    std::string key;
    KeyClaim claim;
};

// A question to the process that holds a key's right to run: what it knows, and whether `asker` may run it.
struct KeyQuestion {
    std::string key;
    std::uint64_t fingerprint { 0 };
    KeyGrant holder;
    KeyGrant asker;
};

// Send the question to its holder's process (Dispatcher::onKeyQuestion there); report with onOwnerReply.
struct AskKeyOwner {
    RequestId request { 0 };
    KeyQuestion question;
};

// Keep the attempt's answer under the key, until DropStoredResponse.
struct StoreResponse {
    AttemptId attempt { 0 };
    std::string key;
};

struct DropStoredResponse {
    std::string key;
};

// Pass the answer kept under the key, here or in the owner's reply, to the caller.
struct ForwardStoredResponse {
    RequestId request { 0 };
    std::string key;
};

using Action = std::variant<StartAttempt, CancelAttempt, ForwardResponse, Refuse, ClaimKey, AskKeyOwner,
    StoreResponse, DropStoredResponse, ForwardStoredResponse>;
using Actions = std::vector<Action>;

} // namespace fulmar::serve
