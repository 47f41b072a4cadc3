#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace fulmar::standin {

// Bytes that passed in both directions.
using ByteCount = std::shared_ptr<std::uint64_t>;

// Passes TCP connections on to another address, as long as a rule admits the caller. Belongs to the
// thread that runs the context.
class Relay {
public:
    struct Rules {
        // Whether this caller, connected to this end of ours, may pass at present.
        std::function<bool(const asio::ip::tcp::endpoint& caller, const asio::ip::tcp::endpoint& called)>
            admits;
        // Where the bytes of a new connection are counted.
        std::function<ByteCount(const asio::ip::tcp::endpoint& caller, const asio::ip::tcp::endpoint& called)>
            counter;
    };

    // Addresses are "host:port"; port 0 takes a free one. Throws if the address cannot be bound.
    Relay(asio::io_context&, const std::string& listen, const std::string& to, Rules);
    ~Relay();
    Relay(Relay&&) noexcept;

    // Closes the connections that are no longer admitted.
    void applyRules();

    [[nodiscard]] std::uint16_t port() const;

private:
    class Link;
    std::shared_ptr<Link> m_link;
};

} // namespace fulmar::standin
