#pragma once

#include "core/clock.h"
#include "peer/messages.h"
#include "serve/call.h"

#include <asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
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
};

struct TargetClientLimits {
    std::chrono::milliseconds connectTimeout { 1'000 };
    // Connections to one target from this process.
    long connectionsPerTarget { 8 };
    // Larger answers are refused as truncated.
    std::size_t maxAnswerBytes { 64 * 1024 * 1024 };
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

    // The body must stay alive until `done` is called.
    void start(serve::AttemptId, const TargetRequest&, Done done);

    // Closes the attempt's connection; `done` is called soon after with what is known of it.
    void cancel(serve::AttemptId);

private:
    class Machinery;
    std::unique_ptr<Machinery> m_machinery;
};

} // namespace fulmar
