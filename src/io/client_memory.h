#pragma once

#include "core/clock.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace fulmar {

// The budget of bytes for what the clients of all listeners of a process send and do not read. Decides which
// connection is closed when it is exceeded; free of input and output.
//
// Load pattern: a crowd opens connections, sends bodies up to just before their end and keeps them open, or
// does not read its answers. What tells these from ordinary clients under pressure is bytes held times time:
// an ordinary request is complete milliseconds after it began.
class ClientMemory {
public:
    using ClientId = std::uint64_t;

    enum class State : std::uint8_t {
        // Nothing of a request has come since the last answer.
        Idle,
        // A request has begun and is not complete, or an answer is not read yet.
        Unfinished,
        // A complete request waits for its answer: never closed, since it may have run.
        Handled,
    };

    // What a connection costs by itself: the library's buffer of 4 KB and its own state.
    static constexpr std::size_t bytesPerConnection = 8 * 1024;

    explicit ClientMemory(std::size_t maxBytes)
        : m_maxBytes(maxBytes)
    {
    }

    struct Decision {
        bool isAdmitted { true };
        // Connections to close, never the asking one. They count as closed from now on.
        std::vector<ClientId> closed;
    };

    // A new connection. Returns nothing if it must be closed itself.
    [[nodiscard]] std::optional<ClientId> open(TimePoint now, std::vector<ClientId>& closed);
    void close(ClientId);

    // Asks before the client's bytes are taken in: it would then hold this many, itself not counted.
    [[nodiscard]] Decision hold(ClientId, std::size_t bytes, State, TimePoint now);
    // The client holds less, or its request is complete. Does nothing if it is closed.
    void update(ClientId, std::size_t bytes, State, TimePoint now);

    [[nodiscard]] std::size_t heldBytes() const { return m_held; }
    [[nodiscard]] std::size_t maxBytes() const { return m_maxBytes; }
    [[nodiscard]] std::size_t connections() const { return m_clients.size(); }

private:
    struct Client {
        std::size_t bytes { 0 };
        State state { State::Idle };
        // When this state began.
        TimePoint since;
    };

    // Closes connections, those with the most bytes times time first, until `wanted` bytes fit. `asker` is
    // judged like the others; if its turn comes, it is not admitted.
    Decision makeRoom(ClientId asker, std::size_t wanted, TimePoint now);
    void set(Client&, std::size_t bytes, State, TimePoint now);

    const std::size_t m_maxBytes;
    std::size_t m_held { 0 };
    ClientId m_last { 0 };
    std::map<ClientId, Client> m_clients;
};

} // namespace fulmar
