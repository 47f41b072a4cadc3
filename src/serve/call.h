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

// Identifies a caller's request at this entry VM; never reused within a process.
using RequestId = std::uint64_t;

// Identifies one transmission of a request to one target; never reused within a process.
using AttemptId = std::uint64_t;

// A caller's request without its body.
struct CallInfo {
    ServiceId service;
    std::string method;
    // Path after the service's segment. The method and the shape of the path determine the call's class,
    // whose run times are learned.
    std::string path;
    // Identity used for fair queueing, such as the caller's address.
    std::string caller;
    // Value of the Idempotency-Key header.
    std::optional<std::string> idempotencyKey;
    // Value of the Request-Timeout-Ms header; if absent, the service's default applies.
    std::optional<Duration> timeout;
    // Hash of method, path and body. A repeated key with a different fingerprint denotes a different request.
    std::uint64_t fingerprint { 0 };
};

// How an attempt ended. Ran: the complete response was received. NotRun: no byte of the request was written,
// for example because the connection failed. MayHaveRun: everything else.
struct AttemptEnd {
    Outcome outcome { Outcome::MayHaveRun };
    // HTTP status; set if the outcome is Ran.
    std::optional<int> status;
    Reason reason { Reason::TargetFailed };
    // The target announced that it is leaving.
    bool targetLeaving { false };
    // Part of the response was already forwarded to the caller, so that a retry is impossible.
    bool responseStarted { false };
    // Size of the complete response if the daemon still buffers all of it, so that it can be stored for
    // resends of the same key; empty otherwise.
    std::optional<std::size_t> bufferedBytes;
};

// The only entry VM process that may run a key. The incarnation changes whenever the process restarts or its
// VM is replaced.
struct KeyOwner {
    ProcessId process;
    std::uint64_t incarnation { 0 };

    bool operator==(const KeyOwner&) const = default;
};

// The right to run a key, obtained by one request through a claim or from the key's owner. The serial grows
// with every claim and question of the process. A grant with a serial below KeyState::firstSerial may have
// been used and forgotten by its owner. Serial 0: the owner minted the key.
struct KeyGrant {
    KeyOwner owner;
    std::uint64_t serial { 0 };

    bool operator==(const KeyGrant&) const = default;
};

// Claim on an idempotency key; the value of its row in the platform's table.
struct KeyClaim {
    KeyGrant grant;
    std::uint64_t fingerprint { 0 };

    bool operator==(const KeyClaim&) const = default;
};

// Result of a ClaimKey. Unknown: the table was unavailable, the row could not be read back or decoded, or the
// claim was not committed in the allowed number of tries.
struct ClaimWon { };
struct ClaimHeld {
    KeyClaim claim;
};
struct ClaimUnknown { };
using ClaimResult = std::variant<ClaimWon, ClaimHeld, ClaimUnknown>;

// What the owner of a key knows about its run.
enum class KeyKnowledge : std::uint8_t {
    // The run ended; the reply carries the stored response.
    Kept,
    // The run has not ended yet.
    Running,
    // The key never ran, and the owner has just transferred the right to run it to the asking process.
    HandedOver,
    // The right to run the key was transferred to `movedTo` earlier.
    Moved,
    // The key ran; its response is no longer stored.
    RanAnswerLost,
    // The key was sent to a target; its outcome is unknown or forgotten.
    MayHaveRun,
    // The key belongs to a request with a different fingerprint.
    OtherRequest,
    // The owner's process has restarted and lost its memory of the key.
    Gone,
    // No reply from the owner.
    Unreachable,
};

struct OwnerReply {
    KeyKnowledge knowledge { KeyKnowledge::Unreachable };
    std::optional<KeyGrant> movedTo;
};

// Actions that the daemon carries out, in order.

// Sends the request to the target. The daemon reports the end with onAttemptEnd exactly once, even after
// CancelAttempt.
struct StartAttempt {
    RequestId request { 0 };
    AttemptId attempt { 0 };
    VmId target;
    std::string address;
    // The daemon ends the attempt at this time if it is still running.
    TimePoint deadline;
    // Maximum number of connections to this address, idle ones included.
    std::uint32_t connectionLimit { 0 };
};

// Closes the attempt's connection. The end of the attempt is still reported.
struct CancelAttempt {
    AttemptId attempt { 0 };
};

// Forwards the complete response of the attempt to the caller, with Fulmar-Outcome: ran.
struct ForwardResponse {
    RequestId request { 0 };
    AttemptId attempt { 0 };
};

// Answers the caller with this failure, or closes its connection if part of a response was already forwarded.
// A retryAfter of zero means that a retry is useless.
struct Refuse {
    RequestId request { 0 };
    Failure failure;
    std::chrono::seconds retryAfter {};
};

// Writes the claim row of `key` on condition that it is absent. The daemon reports the result with onClaim.
// Concurrent claims share a transaction: see claim_batch.h.
struct ClaimKey {
    RequestId request { 0 };
    std::string key;
    KeyClaim claim;
};

// Asks the owner of a key, named by its grant `holder`, what it knows about the key, and whether the process
// of the grant `asker` may run it.
struct KeyQuestion {
    std::string key;
    std::uint64_t fingerprint { 0 };
    KeyGrant holder;
    KeyGrant asker;
};

// Sends the question to the owner's process (Dispatcher::onKeyQuestion). The daemon reports the reply with
// onOwnerReply.
struct AskKeyOwner {
    RequestId request { 0 };
    KeyQuestion question;
};

// Stores the attempt's response under the key until DropStoredResponse.
struct StoreResponse {
    AttemptId attempt { 0 };
    std::string key;
};

struct DropStoredResponse {
    std::string key;
};

// Forwards the response stored under the key, here or in the owner's reply, to the caller.
struct ForwardStoredResponse {
    RequestId request { 0 };
    std::string key;
};

using Action = std::variant<StartAttempt, CancelAttempt, ForwardResponse, Refuse, ClaimKey, AskKeyOwner,
    StoreResponse, DropStoredResponse, ForwardStoredResponse>;
using Actions = std::vector<Action>;

} // namespace fulmar::serve
