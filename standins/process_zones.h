#pragma once

#include <asio/ip/tcp.hpp>
#include <cstdint>
#include <map>
#include <string>

namespace fulmar::standin {

// Tells which zone a loopback connection comes from, by the process that owns its socket. Knows only the
// processes that were added.
class ProcessZones {
public:
    void add(int pid, std::string zone);

    // The zone of the process that opened the connection between these ends; empty if it is none of those
    // known.
    [[nodiscard]] std::string zoneOf(
        const asio::ip::tcp::endpoint& caller, const asio::ip::tcp::endpoint& called);

private:
    void scanProcesses();

    std::map<int, std::string> m_zones;
    // Zones of the sockets that the known processes had at the last scan, by inode.
    std::map<std::uint32_t, std::string> m_sockets;
};

} // namespace fulmar::standin
