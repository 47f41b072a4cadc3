#include "daemon/fleet_adapters.h"

#include <asio/connect.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <charconv>

namespace fulmar {

Result<EntryConfirmation> PeerConfirmer::confirm(const std::string& address, const VmId& vm, Version version)
{
    auto answer = m_client.confirmLeaving(address, { {}, vm, version }, m_timeout);
    if (!answer)
        return tl::unexpected(answer.error());
    EntryConfirmation confirmation { answer->appliedVersion, answer->row, answer->inFlight,
        std::to_string(answer->incarnation), {} };
    for (const auto& peer : answer->dependents)
        confirmation.dependents.push_back({ peer.process, peer.vm, peer.address });
    return confirmation;
}

bool ConnectProbe::answers(const VmRecord& vm)
{
    auto colon = vm.address.rfind(':');
    if (colon == std::string::npos)
        return false;
    std::uint16_t port = 0;
    std::from_chars(vm.address.data() + colon + 1, vm.address.data() + vm.address.size(), port);
    asio::error_code error;
    auto host = asio::ip::make_address_v4(vm.address.substr(0, colon), error);
    if (error || port == 0)
        return false;
    asio::io_context loop(1);
    asio::ip::tcp::socket socket(loop);
    bool isConnected = false;
    socket.async_connect({ host, port }, [&](const asio::error_code& result) { isConnected = !result; });
    loop.run_for(m_timeout);
    return isConnected;
}

} // namespace fulmar
