#pragma once

#include "serve/call.h"

namespace fulmar::serve {

// Why a transfer to a target ended.
enum class TransferStop : std::uint8_t {
    // The HTTP library considers the response complete.
    Finished,
    ConnectFailed,
    WriteFailed,
    Reset,
    TimedOut,
    Cancelled,
    // The response violates HTTP or exceeds a size limit.
    Malformed,
};

// How the end of a response body is marked.
enum class BodyFraming : std::uint8_t {
    // HTTP defines no body: response to HEAD, or status 204 or 304.
    None,
    ContentLength,
    Chunked,
    // Closing the connection ends the body, so that truncation cannot be detected.
    UntilClose,
};

// What was observed on the connection during one attempt.
struct TransferFacts {
    TransferStop stop { TransferStop::Finished };
    // Request bytes written to the connection, headers included.
    std::uint64_t requestBytesSent { 0 };
    // Set once the final status line and all headers have been received.
    std::optional<int> status;
    BodyFraming framing { BodyFraming::None };
    std::uint64_t contentLength { 0 };
    std::uint64_t bodyBytes { 0 };
    bool lastChunkSeen { false };
    // The response has the header by which a target announces that it is leaving.
    bool targetLeaving { false };
    // Part of the response was already forwarded to the caller.
    bool responseStarted { false };
    std::optional<std::size_t> bufferedBytes;
};

// Derives the outcome that the observations prove. Ran requires a response that is certainly complete; NotRun
// requires that no byte of the request was sent.
[[nodiscard]] AttemptEnd classifyTransfer(const TransferFacts&);

} // namespace fulmar::serve
