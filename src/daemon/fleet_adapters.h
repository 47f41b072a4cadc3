#pragma once

#include "fleet/entry_row.h"
#include "peer/peer_client.h"

namespace fulmar {

// Asks entries for their confirmation over the peers' channels.
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

// Finds out by a TCP connection whether a VM's service listens.
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
