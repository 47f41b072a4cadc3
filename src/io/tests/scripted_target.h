#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read_until.hpp>
#include <asio/steady_timer.hpp>
#include <asio/streambuf.hpp>
#include <asio/write.hpp>
#include <deque>
#include <fmt/format.h>
#include <memory>
#include <string>

namespace fulmar::testing {

// The target's reaction once a request's headers have arrived.
struct Step {
    std::string reply;
    bool closes { false };
    // Never replies and keeps the connection open.
    bool isSilent { false };
    // If set, the reply's body is sent one byte at a time, this far apart.
    std::chrono::milliseconds byteInterval { 0 };
};

// A target on a free port that runs one step of a script per request and counts requests and connections.
// After the last step it closes connections without replying.
class ScriptedTarget {
public:
    ScriptedTarget(asio::io_context& loop, std::deque<Step> script)
        : m_acceptor(loop, { asio::ip::address_v4::loopback(), 0 })
        , m_script(std::move(script))
    {
        accept();
    }

    [[nodiscard]] std::string address() const
    {
        return fmt::format("127.0.0.1:{}", m_acceptor.local_endpoint().port());
    }

    [[nodiscard]] int requests() const { return m_requests; }
    [[nodiscard]] int connections() const { return m_connections; }

private:
    struct Connection {
        explicit Connection(asio::ip::tcp::socket accepted)
            : socket(std::move(accepted))
        {
        }
        asio::ip::tcp::socket socket;
        asio::streambuf buffer;
    };

    void accept()
    {
        m_acceptor.async_accept([this](const asio::error_code& error, asio::ip::tcp::socket socket) {
            if (error)
                return;
            ++m_connections;
            readRequest(std::make_shared<Connection>(std::move(socket)));
            accept();
        });
    }

    void readRequest(const std::shared_ptr<Connection>& connection)
    {
        asio::async_read_until(connection->socket, connection->buffer, "\r\n\r\n",
            [this, connection](const asio::error_code& error, std::size_t size) {
                if (error)
                    return;
                connection->buffer.consume(size);
                ++m_requests;
                runNextStep(connection);
            });
    }

    void runNextStep(const std::shared_ptr<Connection>& connection)
    {
        auto step = m_script.empty() ? Step { {}, true } : m_script.front();
        if (!m_script.empty())
            m_script.pop_front();
        if (step.isSilent) {
            m_silent.push_back(connection);
            return;
        }
        if (step.byteInterval.count() > 0) {
            auto headBytes = step.reply.find("\r\n\r\n") + 4;
            asio::error_code ignored;
            asio::write(connection->socket, asio::buffer(step.reply.data(), headBytes), ignored);
            sendBytes(connection, step, headBytes);
            return;
        }
        asio::error_code ignored;
        asio::write(connection->socket, asio::buffer(step.reply), ignored);
        if (step.closes)
            connection->socket.close(ignored);
        else
            readRequest(connection);
    }

    void sendBytes(const std::shared_ptr<Connection>& connection, const Step& step, std::size_t sent)
    {
        if (sent == step.reply.size()) {
            readRequest(connection);
            return;
        }
        asio::error_code ignored;
        asio::write(connection->socket, asio::buffer(step.reply.data() + sent, 1), ignored);
        auto timer
            = std::make_shared<asio::steady_timer>(connection->socket.get_executor(), step.byteInterval);
        timer->async_wait([this, timer, connection, step, sent](const asio::error_code& error) {
            if (!error)
                sendBytes(connection, step, sent + 1);
        });
    }

    asio::ip::tcp::acceptor m_acceptor;
    std::deque<Step> m_script;
    std::deque<std::shared_ptr<Connection>> m_silent;
    int m_requests { 0 };
    int m_connections { 0 };
};

} // namespace fulmar::testing
