#pragma once

#include "io/client_memory.h"
#include "io/message_meter.h"

#include <asio/execution_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string_view>
#include <utility>
#include <vector>

namespace fulmar {

// Why a connection was closed before its request was handled.
enum class ClientFault : std::uint8_t { Memory, HeadTooLarge, BodyTooLarge };

[[nodiscard]] std::string_view toString(ClientFault);
// The whole answer that says so. Such a request has not run.
[[nodiscard]] std::string_view refusalOf(ClientFault);

class GuardedClient;

// The connections of all listeners of a process and their budget. Used by the loop's thread only.
class ClientGuard {
public:
    using OnClosed = std::function<void(ClientFault)>;

    ClientGuard(std::size_t maxBytes, OnClosed onClosed)
        : m_memory(maxBytes)
        , m_onClosed(std::move(onClosed))
    {
    }

    [[nodiscard]] const ClientMemory& memory() const { return m_memory; }
    // The client whose bytes the server handles now; null outside of that.
    [[nodiscard]] GuardedClient* current() const { return m_current; }

private:
    friend class GuardedClient;

    void countClosed(ClientFault);
    void evict(const std::vector<ClientMemory::ClientId>&);

    ClientMemory m_memory;
    const OnClosed m_onClosed;
    BootClock m_clock;
    std::map<ClientMemory::ClientId, GuardedClient*> m_clients;
    GuardedClient* m_current { nullptr };
};

// What a listener's connections share; the limits may change.
struct ListenerGuard {
    std::shared_ptr<ClientGuard> guard;
    MessageLimits limits;
};

// The guards of a loop's listeners by port. Sockets that the HTTP library makes find theirs here.
class ListenerGuards : public asio::execution_context::service {
public:
    static asio::execution_context::id id;

    explicit ListenerGuards(asio::execution_context& context)
        : asio::execution_context::service(context)
    {
    }

    std::map<std::uint16_t, std::shared_ptr<ListenerGuard>> byPort;

private:
    void shutdown() noexcept override { byPort.clear(); }
};

// One connection's part of the budget.
class GuardedClient {
public:
    // `closeSocket` ends the connection's pending operations.
    GuardedClient(std::shared_ptr<ListenerGuard>, std::function<void()> closeSocket);
    ~GuardedClient();
    GuardedClient(const GuardedClient&) = delete;
    GuardedClient& operator=(const GuardedClient&) = delete;

    // The server asks for bytes: what it had received is answered, or part of an unfinished request.
    void beginRead();
    // Bytes came; returns why they must not be taken in.
    [[nodiscard]] std::optional<ClientFault> receive(std::string_view bytes);
    // The server handed the request to its handler and holds it no more.
    void releaseRequest();
    // This much of an answer is not sent yet.
    void setUnsent(std::size_t bytes);
    [[nodiscard]] bool isSending() const { return m_unsent > 0; }
    // The connection ends.
    void close();

    [[nodiscard]] bool isEvicted() const { return m_isEvicted; }
    // True once for an evicted client: the pending operation that ends first tells the server.
    [[nodiscard]] bool takeEviction();

    // While one exists, this client is the current one of its guard.
    class Scope {
    public:
        explicit Scope(GuardedClient&);
        ~Scope();
        Scope(const Scope&) = delete;
        Scope& operator=(const Scope&) = delete;

    private:
        ClientGuard& m_guard;
    };

private:
    friend class ClientGuard;

    void update();

    const std::shared_ptr<ListenerGuard> m_listener;
    const std::function<void()> m_closeSocket;
    std::optional<ClientMemory::ClientId> m_id;
    MessageMeter m_meter;
    // What the handled request costs, decoded or not, instead of its bytes.
    std::optional<std::size_t> m_handledCost;
    std::size_t m_unsent { 0 };
    bool m_isEvicted { false };
    bool m_isEvictionTold { false };
};

} // namespace fulmar
