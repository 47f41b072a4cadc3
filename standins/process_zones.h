#pragma once

#include <asio/ip/tcp.hpp>
#include <cstdint>
#include <map>
#include <string>

namespace fulmar::standin {

struct ZoneProcess {
    int pid { 0 };
    std::string zone;
};

// Tells which process a loopback connection comes from, by the owner of its socket. Knows only the processes
// that were added.
class ProcessZones {
public:
    void add(int pid, std::string zone);

    // The process that opened the connection between these ends; pid 0 and no zone if it is none of those
    // known.
    [[nodiscard]] ZoneProcess callerOf(
        const asio::ip::tcp::endpoint& caller, const asio::ip::tcp::endpoint& called);

private:
    void scanProcesses();

    std::map<int, std::string> m_zones;
    // Sockets that the known processes had at the last scan, by inode.
    std::map<std::uint32_t, ZoneProcess> m_sockets;
};

} // namespace fulmar::standin
