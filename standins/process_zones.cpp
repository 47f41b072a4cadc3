#include "process_zones.h"

#include <array>
#include <charconv>
#include <cstring>
#include <filesystem>
#include <fmt/format.h>
#include <linux/inet_diag.h>
#include <linux/netlink.h>
#include <linux/sock_diag.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace fulmar::standin {

namespace {

using asio::ip::tcp;

constexpr std::string_view socketPrefix = "socket:[";

struct DiagnosisRequest {
    nlmsghdr header {};
    inet_diag_req_v2 query {};
};

DiagnosisRequest requestFor(const tcp::endpoint& caller, const tcp::endpoint& called)
{
    DiagnosisRequest request;
    request.header.nlmsg_len = sizeof(request);
    request.header.nlmsg_type = SOCK_DIAG_BY_FAMILY;
    request.header.nlmsg_flags = NLM_F_REQUEST;
    request.query.sdiag_family = AF_INET;
    request.query.sdiag_protocol = IPPROTO_TCP;
    request.query.idiag_states = ~0U;
    request.query.id.idiag_sport = htons(caller.port());
    request.query.id.idiag_dport = htons(called.port());
    request.query.id.idiag_src[0] = htonl(caller.address().to_v4().to_uint());
    request.query.id.idiag_dst[0] = htonl(called.address().to_v4().to_uint());
    request.query.id.idiag_cookie[0] = INET_DIAG_NOCOOKIE;
    request.query.id.idiag_cookie[1] = INET_DIAG_NOCOOKIE;
    return request;
}

// Asks the kernel for the inode of the caller's socket; 0 if there is none.
std::uint32_t inodeOf(const tcp::endpoint& caller, const tcp::endpoint& called)
{
    const int channel = socket(AF_NETLINK, SOCK_RAW, NETLINK_SOCK_DIAG);
    if (channel < 0)
        return 0;
    const auto request = requestFor(caller, called);
    std::array<char, 4096> reply {};
    ssize_t bytes = send(channel, &request, sizeof(request), 0);
    if (bytes > 0)
        bytes = recv(channel, reply.data(), reply.size(), 0);
    close(channel);
    nlmsghdr header {};
    inet_diag_msg answer {};
    if (bytes < static_cast<ssize_t>(NLMSG_HDRLEN + sizeof(answer)))
        return 0;
    std::memcpy(&header, reply.data(), sizeof(header));
    if (header.nlmsg_type != SOCK_DIAG_BY_FAMILY)
        return 0;
    std::memcpy(&answer, reply.data() + NLMSG_HDRLEN, sizeof(answer));
    return answer.idiag_inode;
}

// The inode in a link such as "socket:[1234]"; 0 for other links.
std::uint32_t inodeInLink(const std::string& link)
{
    std::uint32_t inode = 0;
    if (link.starts_with(socketPrefix))
        std::from_chars(link.data() + socketPrefix.size(), link.data() + link.size(), inode);
    return inode;
}

} // namespace

void ProcessZones::add(int pid, std::string zone) { m_zones[pid] = std::move(zone); }

ZoneProcess ProcessZones::callerOf(const tcp::endpoint& caller, const tcp::endpoint& called)
{
    const auto inode = inodeOf(caller, called);
    if (inode == 0)
        return {};
    if (!m_sockets.contains(inode))
        scanProcesses();
    auto position = m_sockets.find(inode);
    return position == m_sockets.end() ? ZoneProcess() : position->second;
}

void ProcessZones::scanProcesses()
{
    m_sockets.clear();
    for (const auto& [pid, zone] : m_zones) {
        std::error_code error;
        for (const auto& entry :
            std::filesystem::directory_iterator(fmt::format("/proc/{}/fd", pid), error)) {
            std::error_code ignored;
            const auto link = std::filesystem::read_symlink(entry.path(), ignored);
            if (auto inode = inodeInLink(link.string()))
                m_sockets[inode] = { pid, zone };
        }
    }
}

} // namespace fulmar::standin
