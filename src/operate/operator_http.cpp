#include "operate/operator_http.h"

#include <algorithm>
#include <fmt/format.h>
#include <future>
#include <restinio/all.hpp>
#include <set>
#include <stdexcept>
#include <thread>

namespace fulmar::operate {

namespace {

constexpr std::size_t maxUrlBytes = 8192;
constexpr std::size_t maxHeaderNameBytes = 256;
constexpr std::size_t maxHeaderBytes = 4096;
constexpr std::size_t maxHeaders = 64;

// Refuses connections from addresses that the settings do not name, before a byte of them is read.
class AddressFilter {
public:
    explicit AddressFilter(const std::vector<std::string>& allowed)
        : m_allowed(allowed.begin(), allowed.end())
    {
    }

    [[nodiscard]] restinio::ip_blocker::inspection_result_t inspect(
        const restinio::ip_blocker::incoming_info_t& info) const noexcept
    try {
        auto address = info.remote_endpoint().address();
        bool isAllowed = m_allowed.empty() ? address.is_loopback() : m_allowed.contains(address.to_string());
        return isAllowed ? restinio::ip_blocker::allow() : restinio::ip_blocker::deny();
    } catch (const std::exception&) {
        return restinio::ip_blocker::deny();
    }

private:
    std::set<std::string> m_allowed;
};

struct Traits : restinio::default_traits_t {
    using ip_blocker_t = AddressFilter; // NOLINT(readability-identifier-naming)
    static constexpr bool use_connection_count_limiter = true; // NOLINT(readability-identifier-naming)
};

using Request = restinio::request_handle_t;

restinio::http_status_line_t statusLine(std::uint16_t status)
{
    switch (status) {
    case 200:
        return restinio::status_ok();
    case 400:
        return restinio::status_bad_request();
    case 404:
        return restinio::status_not_found();
    case 405:
        return restinio::status_method_not_allowed();
    case 409:
        return restinio::status_conflict();
    case 503:
        return restinio::status_service_unavailable();
    default:
        return { restinio::http_status_code_t { status }, "Status" };
    }
}

void respond(const Request& request, HttpReply reply)
{
    request->create_response(statusLine(reply.status))
        .append_header(restinio::http_field::content_type, std::move(reply.contentType))
        .append_header(restinio::http_field::cache_control, "no-store")
        .append_header("X-Content-Type-Options", "nosniff")
        .set_body(std::move(reply.body))
        .done();
}

HttpRespond responder(Request request)
{
    return [request = std::move(request)](HttpReply reply) { respond(request, std::move(reply)); };
}

HttpReply plain(std::uint16_t status, std::string text) { return { status, "text/plain", std::move(text) }; }

HttpReply probe(const std::function<bool()>& holds, const char* name)
{
    return holds() ? plain(200, "ok\n") : plain(503, fmt::format("not {}\n", name));
}

// Fails with std::exception if the query is malformed or names an unknown format.
TimelineRequest timelineRequest(std::string_view query)
{
    TimelineRequest request;
    auto parameters = restinio::parse_query(restinio::string_view_t(query.data(), query.size()));
    if (parameters.has("statement"))
        request.statement = std::string(parameters["statement"]);
    std::string format = parameters.has("format") ? std::string(parameters["format"]) : "text";
    if (format == "json")
        request.format = TimelineFormat::Json;
    else if (format == "html")
        request.format = TimelineFormat::Html;
    else if (format != "text")
        throw std::invalid_argument("format must be text, json or html");
    return request;
}

void handle(const OperatorHandlers& handlers, const Request& request)
{
    auto path = request->header().path();
    auto method = request->header().method();
    if (path == "/v1/operate") {
        if (method != restinio::http_method_post())
            return respond(request, plain(405, "POST a statement\n"));
        return handlers.operate(request->body(), responder(request));
    }
    if (method != restinio::http_method_get())
        return respond(request, plain(405, "use GET\n"));
    if (path == "/v1/timeline")
        return handlers.timeline(
            timelineRequest({ request->header().query().data(), request->header().query().size() }),
            responder(request));
    if (path == "/metrics")
        return respond(request, { 200, "text/plain; version=0.0.4", handlers.metrics() });
    if (path == "/healthz")
        return respond(request, probe(handlers.isHealthy, "healthy"));
    if (path == "/readyz")
        return respond(request, probe(handlers.isReady, "ready"));
    respond(request, plain(404, "not found\n"));
}

restinio::request_handling_status_t handleSafely(const OperatorHandlers& handlers, const Request& request)
{
    try {
        handle(handlers, request);
    } catch (const std::exception& error) {
        respond(request, plain(400, fmt::format("{}\n", error.what())));
    }
    return restinio::request_accepted();
}

std::pair<std::string, std::uint16_t> splitAddress(const std::string& address)
{
    auto colon = address.rfind(':');
    if (colon == std::string::npos)
        throw std::runtime_error(address + ": expected host:port");
    return { address.substr(0, colon), std::uint16_t(std::stoul(address.substr(colon + 1))) };
}

} // namespace

class OperatorHttp::Server {
public:
    Server(const OperatorHttpSettings& settings, OperatorHandlers handlers)
        : m_handlers(std::move(handlers))
        , m_server(
              restinio::external_io_context(m_context), [&](auto& options) { configure(options, settings); })
    {
        m_server.open_sync();
        m_thread = std::thread([this] { m_context.run(); });
    }

    ~Server()
    {
        restinio::asio_ns::post(m_context, [this] {
            m_server.close_sync();
            m_context.stop();
        });
        m_thread.join();
    }

    Server(const Server&) = delete;
    Server& operator=(const Server&) = delete;

    [[nodiscard]] std::uint16_t port() const { return m_port; }

private:
    template <typename Options> void configure(Options& options, const OperatorHttpSettings& settings)
    {
        auto [host, port] = splitAddress(settings.address);
        options.address(host)
            .port(port)
            .ip_blocker(std::make_shared<AddressFilter>(settings.allowed))
            .max_parallel_connections(settings.maxConnections)
            .incoming_http_msg_limits(restinio::incoming_http_msg_limits_t {}
                                          .max_url_size(maxUrlBytes)
                                          .max_field_name_size(maxHeaderNameBytes)
                                          .max_field_value_size(maxHeaderBytes)
                                          .max_field_count(maxHeaders)
                                          .max_body_size(settings.maxBodyBytes))
            .read_next_http_message_timelimit(settings.timeout)
            .handle_request_timeout(settings.timeout)
            .write_http_response_timelimit(settings.timeout)
            .acceptor_post_bind_hook([this](auto& acceptor) { m_port = acceptor.local_endpoint().port(); })
            .request_handler([this](const Request& request) { return handleSafely(m_handlers, request); });
    }

    OperatorHandlers m_handlers;
    std::uint16_t m_port { 0 };
    restinio::asio_ns::io_context m_context { 1 };
    restinio::http_server_t<Traits> m_server;
    std::thread m_thread;
};

OperatorHttp::OperatorHttp(const OperatorHttpSettings& settings, OperatorHandlers handlers)
    : m_server(std::make_unique<Server>(settings, std::move(handlers)))
{
}

OperatorHttp::~OperatorHttp() = default;

std::uint16_t OperatorHttp::port() const { return m_server->port(); }

} // namespace fulmar::operate
