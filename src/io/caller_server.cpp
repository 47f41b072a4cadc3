#include "io/caller_server.h"

#include "core/address.h"
#include "core/log.h"
#include "io/guarded_socket.h"

#include <asio/steady_timer.hpp>
#include <fmt/format.h>
#include <poll.h>
#include <restinio/all.hpp>
#include <stdexcept>
#include <unordered_map>

namespace fulmar {

namespace {

constexpr std::string_view callerHeader = "Fulmar-Caller";

// How often a server checks whether it still accepts connections, and how soon it checks a suspicion again.
constexpr std::chrono::milliseconds acceptCheckInterval { 500 };
constexpr std::chrono::milliseconds acceptRecheckInterval { 50 };

// Counts connections, and refuses those over the limit by closing them. RESTinio's own limit would leave them
// unanswered, and counts a connection that is reset before it is accepted for ever.
class ConnectionLimit {
public:
    explicit ConnectionLimit(std::size_t max)
        : m_max(max)
    {
    }

    // RESTinio closes an accepted connection if this throws, and reports no end of it.
    void state_changed(const restinio::connection_state::notice_t& notice)
    {
        if (std::holds_alternative<restinio::connection_state::accepted_t>(notice.cause())) {
            ++m_accepted;
            if (m_open >= m_max) {
                logInfo("connection-refused", { { "open", std::to_string(m_open) } });
                throw std::runtime_error("too many connections");
            }
            ++m_open;
        } else if (std::holds_alternative<restinio::connection_state::closed_t>(notice.cause())) {
            --m_open;
        }
    }

    [[nodiscard]] std::size_t open() const { return m_open; }
    // Connections accepted since the start.
    [[nodiscard]] std::uint64_t accepted() const { return m_accepted; }

private:
    const std::size_t m_max;
    std::size_t m_open { 0 };
    std::uint64_t m_accepted { 0 };
};

struct ServerTraits : restinio::default_single_thread_traits_t {
    using connection_state_listener_t = ConnectionLimit;
    using stream_socket_t = GuardedSocket;
};

using Server = restinio::http_server_t<ServerTraits>;

restinio::string_view_t view(std::string_view text) { return { text.data(), text.size() }; }

CallerRequest toCallerRequest(const restinio::request_t& request)
{
    const auto& header = request.header();
    CallerRequest call;
    call.method = header.method().c_str();
    call.path = { header.request_target().data(), header.request_target().size() };
    call.body = request.body();
    header.for_each_field([&](const auto& field) { call.headers.emplace_back(field.name(), field.value()); });
    call.caller = header.get_field_or(view(callerHeader), request.remote_endpoint().address().to_string());
    return call;
}

class RestinioCallerServer final : public CallerServer {
public:
    RestinioCallerServer(asio::io_context& loop, const CallerServerSettings& limits, OnCall onCall)
        : m_onCall(std::move(onCall))
        , m_address(limits.address)
        , m_connections(std::make_shared<ConnectionLimit>(limits.maxConnections))
        , m_guards(asio::use_service<ListenerGuards>(static_cast<asio::execution_context&>(loop)).byPort)
        , m_guard(limits.guard
                  ? std::make_shared<ListenerGuard>(ListenerGuard { limits.guard, limits.requestLimits })
                  : nullptr)
        , m_dropsHandledRequests(limits.dropsHandledRequests)
        , m_acceptCheckTimer(loop)
        , m_server(restinio::external_io_context(loop), settings(limits))
    {
        m_server.open_sync();
        checkAccepting(acceptCheckInterval);
    }

    RestinioCallerServer(const RestinioCallerServer&) = delete;
    RestinioCallerServer& operator=(const RestinioCallerServer&) = delete;
    ~RestinioCallerServer() override
    {
        *m_isAlive = false;
        stopAccepting();
    }

    void answer(CallId id, HttpAnswer answer, bool closesConnection) override
    {
        auto position = m_calls.find(id);
        if (position == m_calls.end())
            return;
        auto call = std::move(position->second);
        m_calls.erase(position);
        auto response = call.response ? std::move(*call.response) : Response(call.request->create_response());
        response.header().status_line(
            restinio::http_status_line_t(restinio::http_status_code_t(std::uint16_t(answer.status)), ""));
        for (auto& [name, value] : answer.headers)
            response.append_header(std::move(name), std::move(value));
        if (closesConnection)
            response.connection_close();
        response.set_body(std::move(answer.body));
        response.done();
    }

    void beginAnswer(CallId id, HttpAnswer head, std::optional<std::uint64_t> length) override
    {
        auto position = m_calls.find(id);
        if (position == m_calls.end())
            return;
        auto response = position->second.request->create_response<restinio::user_controlled_output_t>(
            restinio::http_status_line_t(restinio::http_status_code_t(std::uint16_t(head.status)), ""));
        m_calls.erase(position);
        for (auto& [name, value] : head.headers)
            response.append_header(std::move(name), std::move(value));
        if (length)
            response.set_content_length(*length);
        else
            response.append_header("Transfer-Encoding", "chunked");
        response.connection_close();
        m_streams.emplace(id, Stream { std::move(response), !length });
    }

    void append(CallId id, std::string piece, std::function<void(bool)> written) override
    {
        auto position = m_streams.find(id);
        if (position == m_streams.end() || piece.empty())
            return;
        auto& [response, isChunked] = position->second;
        if (isChunked)
            response.append_body(fmt::format("{:x}\r\n", piece.size()));
        response.append_body(std::move(piece));
        if (isChunked)
            response.append_body(std::string("\r\n"));
        response.flush([written = std::move(written)](const asio::error_code& error) { written(!error); });
    }

    // An HTTP client rejects an answer without its last chunk or shorter than its Content-Length.
    void endAnswer(CallId id, bool isComplete) override
    {
        auto position = m_streams.find(id);
        if (position == m_streams.end())
            return;
        auto [response, isChunked] = std::move(position->second);
        m_streams.erase(position);
        if (isChunked && isComplete)
            response.append_body(std::string("0\r\n\r\n"));
        response.done();
    }

    void setRequestLimits(const MessageLimits& limits) override
    {
        if (m_guard)
            m_guard->limits = limits;
    }

    [[nodiscard]] std::size_t openConnections() const override { return m_connections->open(); }

    void stopAccepting() override
    {
        if (std::exchange(m_isClosed, true))
            return;
        m_acceptCheckTimer.cancel();
        m_server.close_sync();
    }

private:
    restinio::server_settings_t<ServerTraits> settings(const CallerServerSettings& limits)
    {
        auto [host, port] = splitAddress(limits.address);
        restinio::server_settings_t<ServerTraits> settings;
        settings.address(std::string(host))
            .port(parsePort(port).value())
            .acceptor_post_bind_hook([this, limits](asio::ip::tcp::acceptor& acceptor) {
                m_acceptor = &acceptor;
                if (m_guard)
                    m_guards[acceptor.local_endpoint().port()] = m_guard;
                // Accepted connections have the buffers of the listening socket.
                if (limits.receiveBufferBytes > 0)
                    acceptor.set_option(
                        asio::socket_base::receive_buffer_size(int(limits.receiveBufferBytes)));
                if (limits.sendBufferBytes > 0)
                    acceptor.set_option(asio::socket_base::send_buffer_size(int(limits.sendBufferBytes)));
            })
            .read_next_http_message_timelimit(limits.readTimeout)
            .write_http_response_timelimit(limits.writeTimeout)
            .handle_request_timeout(limits.callTimeout)
            .max_pipelined_requests(1)
            .connection_state_listener(m_connections)
            .incoming_http_msg_limits(restinio::incoming_http_msg_limits_t {}
                                          .max_url_size(limits.maxUrlBytes)
                                          .max_field_name_size(limits.maxHeaderFieldBytes)
                                          .max_field_value_size(limits.maxHeaderFieldBytes)
                                          .max_field_count(limits.maxHeaders)
                                          .max_body_size(limits.maxBodyBytes))
            .request_handler(
                [this](restinio::request_handle_t request) { return onRequest(std::move(request)); });
        return settings;
    }

    restinio::request_handling_status_t onRequest(restinio::request_handle_t request)
    {
        auto id = ++m_lastCall;
        auto call = toCallerRequest(*request);
        m_calls.emplace(id, Call { std::move(request), std::nullopt });
        m_onCall(id, std::move(call));
        if (m_dropsHandledRequests)
            dropRequest(id);
        return restinio::request_accepted();
    }

    // Frees the request's head and body, which may be 1 MB, while its answer is awaited.
    void dropRequest(CallId id)
    {
        auto position = m_calls.find(id);
        if (position == m_calls.end())
            return;
        position->second.response.emplace(position->second.request->create_response());
        position->second.request.reset();
        if (m_guard && m_guard->guard->current())
            m_guard->guard->current()->releaseRequest();
    }

    // RESTinio accepts nothing any more once accepting a connection has failed, as it does without a free
    // descriptor. Then connections wait while none is accepted, and the server has to listen anew.
    void checkAccepting(std::chrono::milliseconds interval)
    {
        m_acceptCheckTimer.expires_after(interval);
        m_acceptCheckTimer.async_wait([this, isAlive = m_isAlive](const asio::error_code& error) {
            if (error || !*isAlive || m_isClosed)
                return;
            auto acceptedBefore = std::exchange(m_acceptedAtCheck, m_connections->accepted());
            auto isStuck = acceptedBefore == m_acceptedAtCheck && isConnectionWaiting();
            auto mayBeStuck = std::exchange(m_mayBeStuck, isStuck);
            if (isStuck && mayBeStuck)
                listenAnew();
            checkAccepting(isStuck ? acceptRecheckInterval : acceptCheckInterval);
        });
    }

    [[nodiscard]] bool isConnectionWaiting() const
    {
        if (!m_acceptor->is_open())
            return true;
        pollfd listening { m_acceptor->native_handle(), POLLIN, 0 };
        return ::poll(&listening, 1, 0) > 0;
    }

    // Connections that wait are reset, so that their callers need not wait for a time-out.
    void listenAnew()
    {
        try {
            m_server.close_sync();
            m_server.open_sync();
            logWarning("listening-anew", { { "address", m_address } });
        } catch (const std::exception& error) {
            logWarning("cannot-listen", { { "address", m_address }, { "reason", error.what() } });
        }
    }

    using Response = restinio::response_builder_t<restinio::restinio_controlled_output_t>;
    struct Call {
        restinio::request_handle_t request;
        // Instead of the request, once that is dropped.
        std::optional<Response> response;
    };

    struct Stream {
        restinio::response_builder_t<restinio::user_controlled_output_t> response;
        bool isChunked { false };
    };

    const OnCall m_onCall;
    const std::string m_address;
    std::shared_ptr<ConnectionLimit> m_connections;
    // Guards of the loop's listeners by port, and this one's.
    std::map<std::uint16_t, std::shared_ptr<ListenerGuard>>& m_guards;
    const std::shared_ptr<ListenerGuard> m_guard;
    const bool m_dropsHandledRequests;
    asio::steady_timer m_acceptCheckTimer;
    // Connections accepted before the last check.
    std::uint64_t m_acceptedAtCheck { 0 };
    bool m_mayBeStuck { false };
    // False once this is destroyed; a check may still be in the loop then.
    std::shared_ptr<bool> m_isAlive { std::make_shared<bool>(true) };
    // Belongs to m_server.
    asio::ip::tcp::acceptor* m_acceptor { nullptr };
    std::unordered_map<CallId, Call> m_calls;
    std::unordered_map<CallId, Stream> m_streams;
    CallId m_lastCall { 0 };
    bool m_isClosed { false };
    Server m_server;
};

} // namespace

Result<std::unique_ptr<CallerServer>> CallerServer::start(
    asio::io_context& loop, const CallerServerSettings& limits, OnCall onCall)
{
    try {
        return std::make_unique<RestinioCallerServer>(loop, limits, std::move(onCall));
    } catch (const std::exception& error) {
        return notRun(Reason::Internal,
            fmt::format("cannot listen for callers on {}: {}", limits.address, error.what()));
    }
}

} // namespace fulmar
