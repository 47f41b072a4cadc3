#include "node/tests/clients/crowd.h"

#include "core/address.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <chrono>
#include <netinet/in.h>
#include <string_view>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace fulmar::node::test {

namespace {

using namespace std::chrono_literals;

// Rounds without any byte sent after which a crowd is done: the process reads nothing more.
constexpr int idleRounds = 60;
constexpr std::chrono::milliseconds idlePause { 10 };
// Ends a crowd whose bytes are read and dropped for ever.
constexpr std::size_t maxRounds = 20'000;

// The bytes from this offset that lie in one part of the script.
std::string_view partAt(const Script& script, std::size_t offset)
{
    if (offset < script.head.size())
        return std::string_view(script.head).substr(offset);
    offset -= script.head.size();
    auto inUnits = script.unit.size() * script.units;
    if (offset < inUnits)
        return std::string_view(script.unit).substr(offset % script.unit.size());
    return std::string_view(script.tail).substr(offset - inUnits);
}

} // namespace

Crowd::~Crowd()
{
    for (const auto& client : m_clients)
        ::close(client.socket);
}

void Crowd::add(const std::string& address, std::size_t connections, const Script& script)
{
    auto shared = std::make_shared<const Script>(script);
    auto [host, port] = splitAddress(address);
    sockaddr_in target {};
    target.sin_family = AF_INET;
    target.sin_port = htons(parsePort(port).value());
    target.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    for (std::size_t i = 0; i < connections; ++i) {
        auto socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        if (::connect(socket, reinterpret_cast<const sockaddr*>(&target), sizeof(target)) == 0)
            m_clients.push_back({ socket, shared });
        else
            ::close(socket);
    }
}

bool Crowd::send(Client& client)
{
    const auto& script = *client.script;
    auto whole = script.size() - script.trickledBytes;
    auto end = client.sent >= whole ? client.sent + 1 : whole;
    auto budget = std::min({ script.pieceBytes, end - client.sent, script.size() - client.sent });
    auto before = client.sent;
    while (budget > 0) {
        auto part = partAt(script, client.sent).substr(0, budget);
        auto sent = ::send(client.socket, part.data(), part.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
        if (sent <= 0) {
            client.isClosed = sent < 0 && errno != EAGAIN && errno != EINTR;
            break;
        }
        client.sent += std::size_t(sent);
        budget -= std::size_t(sent);
    }
    return client.sent > before;
}

bool Crowd::sendRound()
{
    auto hasSent = false;
    for (auto& client : m_clients)
        if (!client.isClosed && client.sent < client.script->size())
            hasSent |= send(client);
    return hasSent;
}

void Crowd::sendAll()
{
    auto idle = 0;
    for (std::size_t round = 0; round < maxRounds && idle < idleRounds; ++round) {
        idle = sendRound() ? 0 : idle + 1;
        auto isDone = std::all_of(m_clients.begin(), m_clients.end(),
            [](const auto& client) { return client.isClosed || client.sent == client.script->size(); });
        if (isDone)
            break;
        std::this_thread::sleep_for(idle > 0 ? idlePause : 0ms);
    }
}

std::size_t Crowd::openCount() const
{
    return std::size_t(std::count_if(m_clients.begin(), m_clients.end(), [](const auto& client) {
        char byte = 0;
        auto got = ::recv(client.socket, &byte, 1, MSG_DONTWAIT | MSG_PEEK);
        return got > 0 || (got < 0 && errno == EAGAIN);
    }));
}

} // namespace fulmar::node::test
