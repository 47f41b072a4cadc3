#pragma once

#include <asio/ip/tcp.hpp>
#include <map>
#include <string>

namespace fulmar::standin {

// Tells which zone a loopback connection comes from, by the process that owns its socket. Knows only the
// processes that were added.
class ProcessZones {
public:
    void add(int pid, std::string zone);

    // The zone of the process whose socket has this local end; empty if it is none of those known.
    [[nodiscard]] std::string zoneOf(const asio::ip::tcp::endpoint& end) const;

private:
    std::map<int, std::string> m_zones;
};

} // namespace fulmar::standin
