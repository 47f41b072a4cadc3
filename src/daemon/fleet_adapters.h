#pragma once

#include "fleet/entry_row.h"
#include "peer/peer_client.h"

namespace fulmar {

// Asks entries, over the peer protocol, whether they still route calls to a leaving VM.
class PeerConfirmer {
public:
    PeerConfirmer(PeerClient& client, std::chrono::milliseconds timeout)
        : m_client(client)
        , m_timeout(timeout)
    {
    }

    [[nodiscard]] Result<EntryConfirmation> confirm(const std::string& address, const VmId&, Version);

private:
    PeerClient& m_client;
    const std::chrono::milliseconds m_timeout;
};

// Probes a VM's service by opening a TCP connection.
class ConnectProbe {
public:
    explicit ConnectProbe(std::chrono::milliseconds timeout)
        : m_timeout(timeout)
    {
    }

    [[nodiscard]] bool answers(const VmRecord&);

private:
    const std::chrono::milliseconds m_timeout;
};

static_assert(EntryConfirmer<PeerConfirmer> && VmProbe<ConnectProbe>);

} // namespace fulmar
