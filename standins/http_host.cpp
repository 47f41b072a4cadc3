#include "http_host.h"

#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>
#include <restinio/all.hpp>
#include <stdexcept>

namespace fulmar::standin {

namespace {

struct ServerTraits : restinio::traits_t<restinio::asio_timer_manager_t, restinio::null_logger_t> {
    using request_handler_t
        = std::function<restinio::request_handling_status_t(const restinio::request_handle_t&)>;
};
using Server = restinio::http_server_t<ServerTraits>;

constexpr std::uint64_t maxBodyBytes = 64U << 20U;
constexpr auto idleTimeout = std::chrono::seconds(60);
constexpr auto handlingTimeout = std::chrono::seconds(600);

HttpRequest readRequest(const restinio::request_handle_t& request)
{
    HttpRequest result;
    const auto& header = request->header();
    result.method = header.method().c_str();
    result.path = std::string(header.path());
    auto query = restinio::try_parse_query<restinio::parse_query_traits::relaxed>(header.query());
    if (query)
        for (const auto& [name, value] : *query)
            result.query.emplace(std::string(name), std::string(value));
    result.body = request->body();
    result.header = [&header](const std::string& name) { return header.get_field_or(name, std::string()); };
    return result;
}

void sendWhole(const restinio::request_handle_t& request, HttpReply& reply)
{
    auto response = request->create_response(restinio::http_status_line_t(
        restinio::http_status_code_t(static_cast<std::uint16_t>(reply.status)), "-"));
    for (const auto& [name, value] : reply.headers)
        response.append_header(name, value);
    response.set_body(std::move(reply.body));
    response.done();
}

// Announces the whole length, then closes the connection half-way.
void sendTruncated(const restinio::request_handle_t& request, const HttpReply& reply)
{
    auto response = request->create_response<restinio::user_controlled_output_t>(restinio::http_status_line_t(
        restinio::http_status_code_t(static_cast<std::uint16_t>(reply.status)), "-"));
    response.connection_close();
    response.set_content_length(reply.body.size() + 1);
    response.append_body(reply.body.substr(0, reply.body.size() / 2));
    response.done();
}

void send(const restinio::request_handle_t& request, HttpReply& reply)
{
    if (reply.beforeSend)
        reply.beforeSend();
    if (reply.end == ReplyEnd::Truncated)
        sendTruncated(request, reply);
    else
        sendWhole(request, reply);
}

HttpReply handleSafely(const HttpHandler& handler, const HttpRequest& request)
{
    try {
        return handler(request);
    } catch (const std::exception& error) {
        return { 400, error.what(), {}, {}, ReplyEnd::Whole, {} };
    }
}

} // namespace

struct HttpHost::Servers {
    restinio::request_handling_status_t handle(
        const HttpHandler& handler, const restinio::request_handle_t& request)
    {
        auto reply = handleSafely(handler, readRequest(request));
        if (reply.delay <= std::chrono::milliseconds::zero()) {
            send(request, reply);
            return restinio::request_accepted();
        }
        auto timer = std::make_shared<asio::steady_timer>(context, reply.delay);
        timer->async_wait([request, timer, reply = std::move(reply)](const asio::error_code& error) mutable {
            if (!error)
                send(request, reply);
        });
        return restinio::request_accepted();
    }

    asio::io_context context { 1 };
    std::vector<std::unique_ptr<Server>> servers;
    std::unique_ptr<asio::signal_set> signals;
};

HttpHost::HttpHost()
    : m_servers(std::make_unique<Servers>())
{
}

HttpHost::~HttpHost() = default;

std::uint16_t HttpHost::listen(const std::string& address, HttpHandler handler)
{
    const auto [host, port] = splitAddress(address);
    std::uint16_t bound = 0;
    auto handle
        = [servers = m_servers.get(), handler = std::move(handler)](
              const restinio::request_handle_t& request) { return servers->handle(handler, request); };
    auto server = std::make_unique<Server>(
        restinio::external_io_context(m_servers->context), [&, host = host, port = port](auto& settings) {
            settings.address(host)
                .port(port)
                .request_handler(std::move(handle))
                .read_next_http_message_timelimit(idleTimeout)
                .handle_request_timeout(handlingTimeout)
                .incoming_http_msg_limits(restinio::incoming_http_msg_limits_t {}.max_body_size(maxBodyBytes))
                .acceptor_post_bind_hook([&bound](asio::ip::tcp::acceptor& acceptor) {
                    bound = acceptor.local_endpoint().port();
                });
        });
    server->open_sync();
    m_servers->servers.push_back(std::move(server));
    return bound;
}

void HttpHost::run()
{
    auto work = asio::make_work_guard(m_servers->context);
    m_servers->context.run();
}

void HttpHost::stopOnSignals()
{
    m_servers->signals = std::make_unique<asio::signal_set>(m_servers->context, SIGTERM, SIGINT);
    m_servers->signals->async_wait([this](const asio::error_code& error, int) {
        if (!error)
            stop();
    });
}

void HttpHost::stop() { m_servers->context.stop(); }

asio::io_context& HttpHost::context() { return m_servers->context; }

std::pair<std::string, std::uint16_t> splitAddress(const std::string& address)
{
    const auto colon = address.rfind(':');
    if (colon == std::string::npos)
        throw std::invalid_argument("not host:port: " + address);
    const auto port = std::stoul(address.substr(colon + 1));
    if (port > std::numeric_limits<std::uint16_t>::max())
        throw std::invalid_argument("port out of range: " + address);
    return { address.substr(0, colon), static_cast<std::uint16_t>(port) };
}

} // namespace fulmar::standin
