#pragma once

#include "core/clock.h"
#include "peer/messages.h"
#include "serve/call.h"

#include <asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace fulmar {

// One request as it goes to a target.
struct TargetRequest {
    // "host:port"
    std::string address;
    std::string method;
    // Path and query.
    std::string path;
    std::vector<HeaderField> headers;
    std::string_view body;
    Duration timeout {};
    // Connections to the target, idle ones included, that may stay open after the request.
    std::uint32_t connectionLimit { 0 };
};

struct TargetClientLimits {
    std::chrono::milliseconds connectTimeout { 1'000 };
    // A larger answer is passed on piece by piece while it arrives.
    std::size_t maxBufferedBytes { 256 * 1024 };
};

// Takes an answer that is too large to be held whole.
struct AnswerSink {
    // Status and headers, and the body's length if the target said it. Called once, before the first piece.
    std::function<void(HttpAnswer head, std::optional<std::uint64_t> length)> begin;
    // Takes a piece. With false, no more come until resume() is called.
    std::function<bool(std::string piece)> append;
};

// Sends requests to targets on an Asio loop and says truthfully what became of each. Used by the loop's
// thread only.
//
// A request is NotRun only if no byte of it was handed to a connection. libcurl would send a request again
// when a kept connection dies before the first byte of the answer; that second send is refused here, and the
// request is reported as MayHaveRun.
class TargetClient {
public:
    using Done = std::function<void(serve::AttemptEnd, HttpAnswer)>;

    TargetClient(asio::io_context&, TargetClientLimits);
    ~TargetClient();
    TargetClient(const TargetClient&) = delete;
    TargetClient& operator=(const TargetClient&) = delete;

    // The body must stay alive until `done` is called. An answer that went to the sink has no body in `done`.
    void start(serve::AttemptId, const TargetRequest&, AnswerSink, Done done);

    // The sink can take more.
    void resume(serve::AttemptId);

    // Closes the attempt's connection; `done` is called soon after with what is known of it.
    void cancel(serve::AttemptId);

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace fulmar
