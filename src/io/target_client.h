#pragma once

#include "core/clock.h"
#include "peer/messages.h"
#include "serve/call.h"

#include <asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <limits>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace fulmar {

struct TargetRequest {
    // "host:port"
    std::string address;
    std::string method;
    // Path and query.
    std::string path;
    std::vector<HeaderField> headers;
    std::string_view body;
    // Measured from the start; with `restartsTimeout` from the last piece of the answer's body.
    Duration timeout {};
    // If more connections than this, idle ones included, are open to the target, the request's connection is
    // closed after it instead of being reused.
    std::uint32_t maxReusableConnections { 0 };
    // Opens a connection instead of reusing an idle one.
    bool opensConnection { false };
    bool restartsTimeout { false };
    // Called when a piece of the answer's body has arrived; may be empty. Must not call the client.
    std::function<void()> onProgress;
};

struct TargetClientLimits {
    std::chrono::milliseconds connectTimeout { 1'000 };
    // A larger answer is streamed to the sink.
    std::size_t maxBufferedBytes { 256 * 1024 };
    // A request that needs a further connection fails at once, as NotRun.
    std::size_t maxConnections { std::numeric_limits<std::size_t>::max() };
};

// Receives an answer that is too large to be buffered.
struct AnswerSink {
    // Receives status and headers, and the body's length if known. Called once, before the first piece.
    std::function<void(HttpAnswer head, std::optional<std::uint64_t> length)> begin;
    // Receives a piece of the body. Returning false pauses the transfer until resume() is called.
    std::function<bool(std::string piece)> append;
};

// Asynchronous HTTP client for targets; reports for each request whether it was executed. Used only by the
// thread of the Asio loop.
//
// A request is NotRun only if no byte of it was handed to a connection, or if the target's 503 says so.
// libcurl resends a request when a reused connection breaks before the first byte of the answer; the client
// aborts that resend and reports MayHaveRun. After a request that timed out without an answer, idle
// connections to its target are not used again.
class TargetClient {
public:
    using Done = std::function<void(serve::AttemptEnd, HttpAnswer)>;

    TargetClient(asio::io_context&, TargetClientLimits);
    ~TargetClient();
    TargetClient(const TargetClient&) = delete;
    TargetClient& operator=(const TargetClient&) = delete;

    // The request's body must stay alive until `done` is called. After streaming, `done` gets an empty body.
    void start(serve::AttemptId, const TargetRequest&, AnswerSink, Done done);

    // Continues a transfer that the sink paused.
    void resume(serve::AttemptId);

    // Closes the attempt's connection; `done` is called from the loop, with the outcome as far as known.
    void cancel(serve::AttemptId);

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace fulmar
