#pragma once

#include "serve/call.h"

namespace fulmar::serve {

// Why a transfer to a target stopped.
enum class TransferStop : std::uint8_t {
    // The HTTP library read an answer to what it takes for its end.
    Finished,
    ConnectFailed,
    WriteFailed,
    Reset,
    TimedOut,
    Cancelled,
    // The answer broke HTTP's rules or our limits.
    Malformed,
};

// How an answer's body shows its end.
enum class BodyFraming : std::uint8_t {
    // No body by the rules of HTTP: an answer to HEAD, or status 204 or 304.
    None,
    ContentLength,
    Chunked,
    // The body ends with the connection, so that a cut cannot be told from the end.
    UntilClose,
};

// What the socket saw of one attempt.
struct TransferFacts {
    TransferStop stop { TransferStop::Finished };
    // Bytes of the request handed to the connection, headers included.
    std::uint64_t requestBytesSent { 0 };
    // Present once the final status line and all headers have arrived.
    std::optional<int> status;
    BodyFraming framing { BodyFraming::None };
    std::uint64_t contentLength { 0 };
    std::uint64_t bodyBytes { 0 };
    bool lastChunkSeen { false };
    // The answer carries the header by which targets say that they are leaving.
    bool targetLeaving { false };
    bool responseStarted { false };
    std::optional<std::size_t> bufferedBytes;
};

// What is proven of the attempt. Ran needs an answer that is certainly whole; NotRun needs that not one byte
// of the request was sent.
[[nodiscard]] AttemptEnd classifyTransfer(const TransferFacts&);

} // namespace fulmar::serve
