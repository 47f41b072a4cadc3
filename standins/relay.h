#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <cstdint>
#include <memory>
#include <string>

namespace fulmar::standin {

// Passes TCP connections on to another address until it is cut; then it closes those it has and accepts no
// more. Belongs to the thread that runs the context.
class Relay {
public:
    // Addresses are "host:port"; port 0 takes a free one. Throws if the address cannot be bound.
    Relay(asio::io_context&, const std::string& listen, const std::string& to);
    ~Relay();
    Relay(Relay&&) noexcept;
    Relay& operator=(Relay&&) noexcept;

    void cut();
    void restore();

    [[nodiscard]] std::uint16_t port() const;

private:
    class Link;
    std::shared_ptr<Link> m_link;
};

} // namespace fulmar::standin
