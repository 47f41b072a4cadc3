#pragma once

#include "io/client_guard.h"

#include <asio/buffer.hpp>
#include <asio/ip/tcp.hpp>
#include <sys/socket.h>

namespace fulmar {

// The socket of a connection of the HTTP server, whose library takes it as its type of socket. Bytes that
// come are counted before the library takes them in. A connection that must end is closed by an error of its
// pending operation, since the library ignores operations that are cancelled.
class GuardedSocket : public asio::ip::tcp::socket {
public:
    using asio::ip::tcp::socket::socket;
    GuardedSocket(GuardedSocket&&) = default;
    GuardedSocket& operator=(GuardedSocket&&) = default;
    GuardedSocket(const GuardedSocket&) = delete;
    GuardedSocket& operator=(const GuardedSocket&) = delete;
    ~GuardedSocket()
    {
        if (m_client)
            m_client->close();
    }

    template <typename Buffers, typename Handler>
    void async_read_some(const Buffers& buffers, Handler&& handler)
    {
        if (!m_hasLooked)
            findGuard();
        if (!m_client) {
            asio::ip::tcp::socket::async_read_some(buffers, std::forward<Handler>(handler));
            return;
        }
        m_client->beginRead();
        if (m_client->isEvicted()) {
            // Without room for the connection itself.
            cancelPending();
        }
        readInto(asio::mutable_buffer(*asio::buffer_sequence_begin(buffers)), std::forward<Handler>(handler));
    }

    template <typename Buffers, typename Handler>
    void async_write_some(const Buffers& buffers, Handler&& handler)
    {
        if (!m_client) {
            asio::ip::tcp::socket::async_write_some(buffers, std::forward<Handler>(handler));
            return;
        }
        auto size = asio::buffer_size(buffers);
        m_client->setUnsent(size);
        asio::ip::tcp::socket::async_write_some(buffers,
            [client = m_client, size, handler = std::forward<Handler>(handler)](
                asio::error_code error, std::size_t sent) mutable {
                client->setUnsent(error ? 0 : size - sent);
                if (client->takeEviction())
                    error = asio::error::connection_reset;
                GuardedClient::Scope scope(*client);
                handler(error, sent);
            });
    }

    void close()
    {
        if (m_client)
            m_client->close();
        asio::ip::tcp::socket::close();
    }

private:
    void findGuard()
    {
        m_hasLooked = true;
        asio::error_code error;
        auto port = local_endpoint(error).port();
        auto& context = get_executor().context();
        auto& guards
            = asio::use_service<ListenerGuards>(static_cast<asio::execution_context&>(context)).byPort;
        if (auto found = guards.find(port); !error && found != guards.end())
            m_client
                = std::make_shared<GuardedClient>(found->second, [this] { refuse(ClientFault::Memory); });
    }

    void cancelPending()
    {
        asio::error_code ignored;
        asio::ip::tcp::socket::shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
    }

    // Answers without waiting, unless an answer is on its way, and ends the connection.
    void refuse(ClientFault fault)
    {
        if (!m_client->isSending()) {
            auto answer = refusalOf(fault);
            std::ignore = ::send(native_handle(), answer.data(), answer.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
        }
        // Ends the pending operations of an evicted client; there are none if it is refused by itself.
        asio::error_code ignored;
        asio::ip::tcp::socket::cancel(ignored);
    }

    template <typename Handler> void readInto(asio::mutable_buffer buffer, Handler&& handler)
    {
        // The library's connection owns this socket, and its handler owns the connection.
        asio::ip::tcp::socket::async_read_some(buffer,
            [this, client = m_client, buffer, handler = std::forward<Handler>(handler)](
                asio::error_code error, std::size_t size) mutable {
                if (client->isEvicted()) {
                    end(client, handler);
                    return;
                }
                if (!error) {
                    auto fault = client->receive({ static_cast<const char*>(buffer.data()), size });
                    if (fault && *fault == ClientFault::Memory) {
                        refuse(*fault);
                        handler(asio::error_code(asio::error::connection_reset), 0);
                        return;
                    }
                    if (fault) {
                        refuse(*fault);
                        asio::error_code ignored;
                        asio::ip::tcp::socket::shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
                        drain(buffer, maxDrainedBytes, std::move(handler));
                        return;
                    }
                }
                GuardedClient::Scope scope(*client);
                handler(error, size);
            });
    }

    // A connection that is closed before all that came is read is reset, and the client might not read its
    // refusal.
    template <typename Handler>
    void drain(asio::mutable_buffer buffer, std::size_t bytesLeft, Handler&& handler)
    {
        asio::ip::tcp::socket::async_read_some(buffer,
            [this, client = m_client, buffer, bytesLeft, handler = std::forward<Handler>(handler)](
                asio::error_code error, std::size_t size) mutable {
                if (client->isEvicted())
                    end(client, handler);
                else if (error == asio::error::operation_aborted)
                    handler(error, 0);
                else if (error || size >= bytesLeft)
                    handler(asio::error_code(asio::error::connection_reset), 0);
                else
                    drain(buffer, bytesLeft - size, std::move(handler));
            });
    }

    // Ends an operation of an evicted client.
    template <typename Handler>
    static void end(const std::shared_ptr<GuardedClient>& client, Handler& handler)
    {
        asio::error_code reset = asio::error::connection_reset;
        asio::error_code aborted = asio::error::operation_aborted;
        handler(client->takeEviction() ? reset : aborted, 0);
    }

    // Bytes that are read and dropped after a refusal.
    static constexpr std::size_t maxDrainedBytes = 256 * 1024;

    std::shared_ptr<GuardedClient> m_client;
    bool m_hasLooked { false };
};

} // namespace fulmar
