#include "process_zones.h"

#include <filesystem>
#include <fmt/format.h>
#include <fstream>
#include <sstream>

namespace fulmar::standin {

namespace {

// The kernel lists an address as the hexadecimal number that its bytes make in memory.
std::string kernelName(const asio::ip::tcp::endpoint& end)
{
    const auto bytes = end.address().to_v4().to_bytes();
    return fmt::format("{:02X}{:02X}{:02X}{:02X}:{:04X}", bytes[3], bytes[2], bytes[1], bytes[0], end.port());
}

// The inode of the socket with this local end, or an empty string.
std::string inodeOf(const std::string& localEnd)
{
    std::ifstream table("/proc/net/tcp");
    std::string line;
    while (std::getline(table, line)) {
        std::istringstream fields(line);
        std::string number;
        std::string local;
        fields >> number >> local;
        if (local != localEnd)
            continue;
        std::string field;
        // Remote end, state, queues, timer, retransmits, user, timeout, inode.
        for (int column = 0; column < 8; ++column)
            fields >> field;
        return field;
    }
    return {};
}

bool ownsSocket(int pid, const std::string& socketName)
{
    std::error_code error;
    for (const auto& entry : std::filesystem::directory_iterator(fmt::format("/proc/{}/fd", pid), error)) {
        std::error_code ignored;
        if (std::filesystem::read_symlink(entry.path(), ignored) == socketName)
            return true;
    }
    return false;
}

} // namespace

void ProcessZones::add(int pid, std::string zone) { m_zones[pid] = std::move(zone); }

std::string ProcessZones::zoneOf(const asio::ip::tcp::endpoint& end) const
{
    const auto socketName = fmt::format("socket:[{}]", inodeOf(kernelName(end)));
    for (const auto& [pid, zone] : m_zones)
        if (ownsSocket(pid, socketName))
            return zone;
    return {};
}

} // namespace fulmar::standin
