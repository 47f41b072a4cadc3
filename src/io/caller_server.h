#pragma once

#include "core/clock.h"
#include "io/client_guard.h"
#include "peer/messages.h"

#include <asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace fulmar {

using CallId = std::uint64_t;

// A caller's request. The views are valid until answer() or beginAnswer() is called, and only while the call
// is handled if the server drops handled requests.
struct CallerRequest {
    std::string method;
    // Path and query, as sent.
    std::string_view path;
    // Value of the Fulmar-Caller header, or else the remote address.
    std::string caller;
    std::vector<HeaderField> headers;
    std::string_view body;
};

struct CallerServerSettings {
    // "host:port" to listen on.
    std::string address;
    // Further connections are closed at once.
    std::size_t maxConnections { 4'096 };
    std::size_t maxUrlBytes { 8 * 1024 };
    // Limit of each header's name and of each header's value.
    std::size_t maxHeaderFieldBytes { 16 * 1024 };
    std::size_t maxHeaders { 100 };
    std::size_t maxBodyBytes { 8 * 1024 * 1024 };
    // Also bounds how long a kept-alive connection may be idle before its next request.
    std::chrono::milliseconds readTimeout { 60'000 };
    std::chrono::milliseconds writeTimeout { 30'000 };
    std::chrono::milliseconds callTimeout { std::chrono::hours(1) };
    // The budget of the process that its connections count in; none if null.
    std::shared_ptr<ClientGuard> guard;
    // Requests over these are refused with 431 or 413; they need the guard.
    MessageLimits requestLimits;
    // The kernel's buffers of each connection, if not 0.
    std::size_t receiveBufferBytes { 0 };
    std::size_t sendBufferBytes { 0 };
    // Whether requests are dropped once `onCall` has returned. Their answers cannot be streamed then.
    bool dropsHandledRequests { false };
};

// HTTP/1.1 server for callers and for the load balancer's health checks. Listens anew if connections are no
// longer accepted, as after a shortage of descriptors. Used by the loop's thread only.
class CallerServer {
public:
    using OnCall = std::function<void(CallId, CallerRequest)>;

    // Fails (NotRun, Internal) if the address cannot be bound.
    [[nodiscard]] static Result<std::unique_ptr<CallerServer>> start(
        asio::io_context&, const CallerServerSettings&, OnCall onCall);

    virtual ~CallerServer() = default;

    // Sends the complete answer and ends the call; `closesConnection` closes the connection after it.
    virtual void answer(CallId, HttpAnswer, bool closesConnection) = 0;

    // Starts an answer whose body is streamed. The connection is closed after it.
    virtual void beginAnswer(CallId, HttpAnswer head, std::optional<std::uint64_t> length) = 0;
    // Sends a piece of the body; `written` receives whether it was written to the caller's socket. Does
    // nothing, and does not call `written`, if the piece is empty or the call has no open answer.
    virtual void append(CallId, std::string piece, std::function<void(bool)> written) = 0;
    // Ends the answer. An incomplete one is truncated so that the caller detects it.
    virtual void endAnswer(CallId, bool isComplete) = 0;

    // For the requests that are read from now on.
    virtual void setRequestLimits(const MessageLimits&) = 0;

    [[nodiscard]] virtual std::size_t openConnections() const = 0;

    virtual void stopAccepting() = 0;
};

} // namespace fulmar
