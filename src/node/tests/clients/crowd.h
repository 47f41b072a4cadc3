#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace fulmar::node::test {

// What one client sends: `head`, then `unit` so many times, then `tail`. The client sends at most
// `pieceBytes` in a round, and `trickledBytes` of the tail one by one, a byte in each round.
struct Script {
    std::string head;
    std::string unit;
    std::size_t units { 0 };
    std::string tail;
    std::size_t pieceBytes { SIZE_MAX };
    std::size_t trickledBytes { 0 };

    [[nodiscard]] std::size_t size() const { return head.size() + unit.size() * units + tail.size(); }
};

// Connections that send a script and never read. They stay open until the crowd is destroyed.
class Crowd {
public:
    Crowd() = default;
    ~Crowd();
    Crowd(const Crowd&) = delete;
    Crowd& operator=(const Crowd&) = delete;

    // Connects to "host:port"; a connection that is refused is left out.
    void add(const std::string& address, std::size_t connections, const Script&);
    // Sends a piece on each connection. Returns whether any connection sent something.
    bool sendRound();
    // Sends until every connection has sent all, is closed by the other side, or is not read any more.
    void sendAll();
    // Number of connections that the other side has not closed.
    [[nodiscard]] std::size_t openCount() const;

private:
    struct Client {
        int socket { -1 };
        std::shared_ptr<const Script> script;
        std::size_t sent { 0 };
        bool isClosed { false };
    };
    static bool send(Client&);

    std::vector<Client> m_clients;
};

} // namespace fulmar::node::test
