#include "io/caller_server.h"

#include <fmt/format.h>
#include <restinio/all.hpp>
#include <unordered_map>

namespace fulmar {

namespace {

constexpr std::string_view callerHeader = "Fulmar-Caller";

class ConnectionCounter {
public:
    void state_changed(const restinio::connection_state::notice_t& notice) noexcept
    {
        if (std::holds_alternative<restinio::connection_state::accepted_t>(notice.cause()))
            ++m_open;
        else if (std::holds_alternative<restinio::connection_state::closed_t>(notice.cause()))
            --m_open;
    }

    [[nodiscard]] std::size_t open() const { return m_open; }

private:
    std::size_t m_open { 0 };
};

struct ServerTraits : restinio::default_single_thread_traits_t {
    using connection_state_listener_t = ConnectionCounter;
    static constexpr bool use_connection_count_limiter = true;
};

using Server = restinio::http_server_t<ServerTraits>;

std::pair<std::string, std::uint16_t> splitAddress(const std::string& address)
{
    auto colon = address.rfind(':');
    return { address.substr(0, colon), static_cast<std::uint16_t>(std::stoul(address.substr(colon + 1))) };
}

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
        , m_connections(std::make_shared<ConnectionCounter>())
        , m_server(restinio::external_io_context(loop), settings(limits))
    {
        m_server.open_sync();
    }

    RestinioCallerServer(const RestinioCallerServer&) = delete;
    RestinioCallerServer& operator=(const RestinioCallerServer&) = delete;
    ~RestinioCallerServer() override { stopAccepting(); }

    void answer(CallId id, HttpAnswer answer, bool closesConnection) override
    {
        auto position = m_calls.find(id);
        if (position == m_calls.end())
            return;
        auto request = std::move(position->second);
        m_calls.erase(position);
        auto response = request->create_response(
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
        auto response = position->second->create_response<restinio::user_controlled_output_t>(
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

    [[nodiscard]] std::size_t openConnections() const override { return m_connections->open(); }

    void stopAccepting() override
    {
        if (!std::exchange(m_isClosed, true))
            m_server.close_sync();
    }

private:
    restinio::server_settings_t<ServerTraits> settings(const CallerServerSettings& limits)
    {
        auto [host, port] = splitAddress(limits.address);
        restinio::server_settings_t<ServerTraits> settings;
        settings.address(host)
            .port(port)
            .max_parallel_connections(limits.maxConnections)
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
        m_calls.emplace(id, std::move(request));
        m_onCall(id, std::move(call));
        return restinio::request_accepted();
    }

    struct Stream {
        restinio::response_builder_t<restinio::user_controlled_output_t> response;
        bool isChunked { false };
    };

    const OnCall m_onCall;
    std::shared_ptr<ConnectionCounter> m_connections;
    std::unordered_map<CallId, restinio::request_handle_t> m_calls;
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
