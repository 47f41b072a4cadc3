#pragma once

#include "core/event.h"
#include "daemon/distribution.h"
#include "peer/peer_client.h"
#include "peer/peer_server.h"

#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <thread>

namespace fulmar {

// Callbacks into the rest of the process. Called on the duty's thread and on the threads of the peer client
// and server.
struct PeerDutyHooks {
    // The load to report to a peer; empty if none is reported.
    std::function<std::optional<serve::PeerLoad>(const PeerInfo&)> loadFor;
    std::function<void(const PeerInfo&, const serve::PeerLoad&)> onLoad;
    // The VMs' state in the platform's list, to be sent to entries.
    std::function<std::vector<ListedTarget>()> listed;
    std::function<void(const std::vector<ListedTarget>&)> onListed;
    std::function<Confirmation(const ConfirmQuestion&)> confirmLeaving;
    std::function<KeyAnswer(const KeyQuestion&)> askKey;
    std::function<TaskAnswer(const TaskCall&)> callTask;
};

// Exchanges configuration, loads and membership with the peers: serves their requests, and starts due
// exchanges on its own thread.
class PeerDuty {
public:
    // Fails if the address cannot be bound.
    [[nodiscard]] static Result<std::unique_ptr<PeerDuty>> start(
        const std::string& listenAddress, Distribution&, EventLog&, PeerDutyHooks);

    ~PeerDuty();
    PeerDuty(const PeerDuty&) = delete;
    PeerDuty& operator=(const PeerDuty&) = delete;

    [[nodiscard]] PeerClient& client() { return m_client; }

private:
    PeerDuty(Distribution&, EventLog&, PeerDutyHooks);

    PeerHandlers handlers();
    Exchange answerExchange(const Exchange&);
    void run();
    void startExchange(const std::string& address);
    void addLoadAndListing(Exchange&, const PeerInfo& peer) const;
    void handleLoadAndListing(const Exchange&) const;

    Distribution& m_distribution;
    EventLog& m_events;
    const PeerDutyHooks m_hooks;
    const SystemClock m_clock {};
    std::atomic<bool> m_isStopping { false };
    PeerClient m_client;
    std::unique_ptr<PeerServer> m_server;
    std::thread m_thread;
};

} // namespace fulmar
