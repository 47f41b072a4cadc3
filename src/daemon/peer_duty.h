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

// What the duty asks of, and tells, the rest of its process. Called on the duty's and the peer server's
// threads.
struct PeerDutyHooks {
    // The load to tell a peer; empty if there is nothing to tell.
    std::function<std::optional<serve::PeerLoad>(const PeerInfo&)> loadFor;
    std::function<void(const PeerInfo&, const serve::PeerLoad&)> onLoad;
    // What the platform's list says, for entries.
    std::function<std::vector<ListedTarget>()> listed;
    std::function<void(const std::vector<ListedTarget>&)> onListed;
    std::function<Confirmation(const ConfirmQuestion&)> confirmLeaving;
    std::function<KeyAnswer(const KeyQuestion&)> askKey;
    std::function<TaskAnswer(const TaskCall&)> callTask;
};

// Keeps this process in touch with its peers: answers them, and starts the exchanges that are due on a thread
// of its own.
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
