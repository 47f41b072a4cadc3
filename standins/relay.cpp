#include "relay.h"

#include "http_host.h"

#include <array>
#include <asio/write.hpp>

namespace fulmar::standin {

namespace {

using asio::ip::tcp;

constexpr std::size_t bufferBytes = 16'384;

// Two sockets and the bytes on their way between them. Kept alive by its own pending operations.
class Pipe : public std::enable_shared_from_this<Pipe> {
public:
    Pipe(tcp::socket caller, asio::io_context& context, ByteCount bytes)
        : m_caller(std::move(caller))
        , m_server(context)
        , m_bytes(std::move(bytes))
    {
    }

    void start(const tcp::endpoint& to)
    {
        m_server.async_connect(to, [self = shared_from_this()](const asio::error_code& error) {
            if (error)
                return self->close();
            asio::error_code ignored;
            self->m_server.set_option(tcp::no_delay(true), ignored);
            self->pass(self->m_caller, self->m_server, self->m_upstream);
            self->pass(self->m_server, self->m_caller, self->m_downstream);
        });
    }

    void close()
    {
        asio::error_code ignored;
        m_caller.close(ignored);
        m_server.close(ignored);
    }

private:
    using Buffer = std::array<char, bufferBytes>;

    void pass(tcp::socket& from, tcp::socket& to, Buffer& buffer)
    {
        from.async_read_some(asio::buffer(buffer),
            [self = shared_from_this(), &from, &to, &buffer](
                const asio::error_code& error, std::size_t bytes) {
                if (error)
                    return self->endOfInput(error, to);
                self->write(from, to, buffer, bytes);
            });
    }

    void write(tcp::socket& from, tcp::socket& to, Buffer& buffer, std::size_t bytes)
    {
        *m_bytes += bytes;
        asio::async_write(to, asio::buffer(buffer, bytes),
            [self = shared_from_this(), &from, &to, &buffer](const asio::error_code& error, std::size_t) {
                if (error)
                    return self->close();
                self->pass(from, to, buffer);
            });
    }

    // One side has finished sending; the other direction may go on.
    void endOfInput(const asio::error_code& error, tcp::socket& to)
    {
        if (error != asio::error::eof)
            return close();
        asio::error_code ignored;
        to.shutdown(tcp::socket::shutdown_send, ignored);
    }

    tcp::socket m_caller;
    tcp::socket m_server;
    ByteCount m_bytes;
    Buffer m_upstream {};
    Buffer m_downstream {};
};

tcp::endpoint endpointOf(const std::string& address)
{
    const auto [host, port] = splitAddress(address);
    return { asio::ip::make_address(host), port };
}

} // namespace

class Relay::Link : public std::enable_shared_from_this<Link> {
public:
    Link(asio::io_context& context, const std::string& listen, const std::string& to, Rules rules)
        : m_context(context)
        , m_acceptor(context, endpointOf(listen))
        , m_to(endpointOf(to))
        , m_rules(std::move(rules))
    {
    }

    void accept()
    {
        m_acceptor.async_accept(
            [self = shared_from_this()](const asio::error_code& error, tcp::socket caller) {
                if (error == asio::error::operation_aborted)
                    return;
                if (!error)
                    self->take(std::move(caller));
                self->accept();
            });
    }

    void applyRules()
    {
        std::erase_if(m_passing, [this](const Passing& passing) {
            auto pipe = passing.pipe.lock();
            const bool passes = pipe && m_rules.admits(passing.caller, passing.called);
            if (pipe && !passes)
                pipe->close();
            return !passes;
        });
    }

    void close()
    {
        asio::error_code ignored;
        m_acceptor.close(ignored);
        for (const auto& passing : m_passing)
            if (auto pipe = passing.pipe.lock())
                pipe->close();
    }

    [[nodiscard]] std::uint16_t port() const { return m_acceptor.local_endpoint().port(); }

private:
    struct Passing {
        tcp::endpoint caller;
        tcp::endpoint called;
        std::weak_ptr<Pipe> pipe;
    };

    void take(tcp::socket caller)
    {
        asio::error_code error;
        const auto remote = caller.remote_endpoint(error);
        const auto local = error ? tcp::endpoint() : caller.local_endpoint(error);
        if (error || !m_rules.admits(remote, local))
            return;
        caller.set_option(tcp::no_delay(true), error);
        std::erase_if(m_passing, [](const Passing& passing) { return passing.pipe.expired(); });
        auto pipe = std::make_shared<Pipe>(std::move(caller), m_context, m_rules.counter(remote, local));
        m_passing.push_back({ remote, local, pipe });
        pipe->start(m_to);
    }

    asio::io_context& m_context;
    tcp::acceptor m_acceptor;
    tcp::endpoint m_to;
    Rules m_rules;
    std::vector<Passing> m_passing;
};

Relay::Relay(asio::io_context& context, const std::string& listen, const std::string& to, Rules rules)
    : m_link(std::make_shared<Link>(context, listen, to, std::move(rules)))
{
    m_link->accept();
}

Relay::~Relay()
{
    if (m_link)
        m_link->close();
}
Relay::Relay(Relay&&) noexcept = default;

void Relay::applyRules() { m_link->applyRules(); }
std::uint16_t Relay::port() const { return m_link->port(); }

} // namespace fulmar::standin
