#pragma once

#include "peer/messages.h"

#include <functional>
#include <memory>
#include <string>

namespace fulmar {

// A process's handlers for its peers' calls. Called concurrently on the server's threads; each must return
// within the sender's timeout. A call without a handler fails with UNIMPLEMENTED.
struct PeerHandlers {
    std::function<Exchange(const Exchange&)> exchange;
    std::function<Confirmation(const ConfirmQuestion&)> confirmLeaving;
    std::function<KeyAnswer(const KeyQuestion&)> askKey;
    std::function<TaskAnswer(const TaskCall&)> callTask;
    std::function<TimelineAnswer(const TimelineQuestion&)> timeline;
};

// The gRPC server through which the other processes of the system reach this one.
class PeerServer {
public:
    // Listens on "host:port"; port 0 picks a free one. Fails with Reason::Internal if the address cannot be
    // bound.
    [[nodiscard]] static Result<std::unique_ptr<PeerServer>> start(const std::string& address, PeerHandlers);

    virtual ~PeerServer() = default;

    // "host:port" with the port that was bound.
    [[nodiscard]] virtual std::string address() const = 0;
};

} // namespace fulmar
