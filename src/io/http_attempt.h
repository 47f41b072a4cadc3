#pragma once

#include "io/target_client.h"

#include <asio/steady_timer.hpp>
#include <curl/curl.h>

namespace fulmar {

// A request of TargetClient in flight, from start() until it is done or cancelled.
struct HttpAttempt {
    serve::AttemptId id { 0 };
    // "host:port" of the target.
    std::string address;
    CURL* easy { nullptr };
    curl_slist* headers { nullptr };
    TargetClient::Done done;
    AnswerSink sink;
    std::function<void()> onProgress;
    Duration timeout {};
    bool restartsTimeout { false };
    // When the last piece of the body arrived.
    std::optional<asio::steady_timer::time_point> progressAt;
    HttpAnswer answer;
    std::size_t maxBufferedBytes { 0 };
    int sends { 0 };
    bool isHeadRequest { false };
    bool isStreaming { false };
    bool isPaused { false };
};

// Sets the headers of the request and the callbacks that collect its answer. `easy` must be set.
void prepare(HttpAttempt&, const TargetRequest&);

// What the end of the transfer with this code tells of the request. Removes hop-by-hop headers from the
// answer.
[[nodiscard]] serve::AttemptEnd describeEnd(HttpAttempt&, CURLcode);
// The same for a transfer that is cancelled now.
[[nodiscard]] serve::AttemptEnd describeCancellation(HttpAttempt&);

} // namespace fulmar
