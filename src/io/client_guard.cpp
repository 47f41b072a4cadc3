#include "io/client_guard.h"

#include "core/log.h"

#include <algorithm>

namespace fulmar {

namespace {

// What decoding makes of a body, and the copies of the decoded call until it is answered: at most so many
// times the body, and at most so many bytes, as a job has 4,000 bytes of spec and 64 steps.
constexpr std::size_t decodedFactor = 4;
constexpr std::size_t maxDecodedBytes = 64 * 1024;

std::size_t decodedBytes(std::size_t body) { return std::min(body * decodedFactor, maxDecodedBytes); }

constexpr std::string_view memoryRefusal
    = "HTTP/1.1 503 Service Unavailable\r\nContent-Type: application/json\r\nRetry-After: 1\r\n"
      "Content-Length: 26\r\nConnection: close\r\n\r\n{\"reason\":\"client-memory\"}";
constexpr std::string_view headRefusal
    = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Type: application/json\r\n"
      "Content-Length: 27\r\nConnection: close\r\n\r\n{\"reason\":\"head-too-large\"}";
constexpr std::string_view bodyRefusal
    = "HTTP/1.1 413 Content Too Large\r\nContent-Type: application/json\r\n"
      "Content-Length: 27\r\nConnection: close\r\n\r\n{\"reason\":\"body-too-large\"}";

} // namespace

asio::execution_context::id ListenerGuards::id;

std::string_view toString(ClientFault fault)
{
    switch (fault) {
    case ClientFault::Memory:
        return "client-memory";
    case ClientFault::HeadTooLarge:
        return "head-too-large";
    case ClientFault::BodyTooLarge:
        break;
    }
    return "body-too-large";
}

std::string_view refusalOf(ClientFault fault)
{
    switch (fault) {
    case ClientFault::Memory:
        return memoryRefusal;
    case ClientFault::HeadTooLarge:
        return headRefusal;
    case ClientFault::BodyTooLarge:
        break;
    }
    return bodyRefusal;
}

void ClientGuard::countClosed(ClientFault fault)
{
    logInfo("client-closed",
        { { "reason", std::string(toString(fault)) }, { "held", std::to_string(m_memory.heldBytes()) },
            { "budget", std::to_string(m_memory.maxBytes()) },
            { "connections", std::to_string(m_memory.connections()) } });
    if (m_onClosed)
        m_onClosed(fault);
}

void ClientGuard::evict(const std::vector<ClientMemory::ClientId>& ids)
{
    for (auto id : ids) {
        auto node = m_clients.extract(id);
        if (!node)
            continue;
        auto& client = *node.mapped();
        client.m_id.reset();
        client.m_isEvicted = true;
        countClosed(ClientFault::Memory);
        client.m_closeSocket();
    }
}

GuardedClient::GuardedClient(std::shared_ptr<ListenerGuard> listener, std::function<void()> closeSocket)
    : m_listener(std::move(listener))
    , m_closeSocket(std::move(closeSocket))
{
    auto& guard = *m_listener->guard;
    std::vector<ClientMemory::ClientId> closed;
    m_id = guard.m_memory.open(guard.m_clock.now(), closed);
    guard.evict(closed);
    if (m_id)
        guard.m_clients.emplace(*m_id, this);
    else
        guard.countClosed(ClientFault::Memory);
    m_isEvicted = !m_id;
}

GuardedClient::~GuardedClient() { close(); }

void GuardedClient::close()
{
    if (!m_id)
        return;
    m_listener->guard->m_memory.close(*m_id);
    m_listener->guard->m_clients.erase(*m_id);
    m_id.reset();
}

bool GuardedClient::takeEviction() { return m_isEvicted && !std::exchange(m_isEvictionTold, true); }

void GuardedClient::update()
{
    if (!m_id)
        return;
    auto& guard = *m_listener->guard;
    auto isHandled = m_handledCost && m_unsent == 0;
    auto isUnfinished = m_unsent > 0 || m_meter.isMidRequest();
    guard.m_memory.update(*m_id, m_meter.heldBytes() + m_handledCost.value_or(0) + m_unsent,
        isHandled          ? ClientMemory::State::Handled
            : isUnfinished ? ClientMemory::State::Unfinished
                           : ClientMemory::State::Idle,
        guard.m_clock.now());
}

void GuardedClient::beginRead()
{
    m_meter.dropCompleted();
    m_handledCost.reset();
    update();
}

std::optional<ClientFault> GuardedClient::receive(std::string_view bytes)
{
    if (!m_id)
        return ClientFault::Memory;
    auto& guard = *m_listener->guard;
    auto verdict = m_meter.add(bytes, m_listener->limits);
    auto isComplete = m_meter.completed() > 0;
    // Requests that came whole before one that is too large are handled first; the server's own limits, or
    // the next read, end the other.
    if (verdict != MessageMeter::Verdict::Good && m_meter.completedBeforeFault() == 0) {
        auto fault = verdict == MessageMeter::Verdict::HeadTooLarge ? ClientFault::HeadTooLarge
                                                                    : ClientFault::BodyTooLarge;
        guard.countClosed(fault);
        return fault;
    }
    if (isComplete)
        m_handledCost = decodedBytes(m_meter.completedBody());
    auto decision = guard.m_memory.hold(*m_id, m_meter.heldBytes() + m_handledCost.value_or(0) + m_unsent,
        isComplete ? ClientMemory::State::Handled : ClientMemory::State::Unfinished, guard.m_clock.now());
    guard.evict(decision.closed);
    if (decision.isAdmitted)
        return std::nullopt;
    guard.countClosed(ClientFault::Memory);
    return ClientFault::Memory;
}

void GuardedClient::releaseRequest()
{
    m_handledCost = decodedBytes(m_meter.completedBody());
    m_meter.dropCompleted();
    update();
}

void GuardedClient::setUnsent(std::size_t bytes)
{
    m_unsent = bytes;
    // An answer is being sent: the request is not held any more.
    if (bytes > 0)
        m_handledCost.reset();
    update();
}

GuardedClient::Scope::Scope(GuardedClient& client)
    : m_guard(*client.m_listener->guard)
{
    m_guard.m_current = &client;
}

GuardedClient::Scope::~Scope() { m_guard.m_current = nullptr; }

} // namespace fulmar
