#pragma once

#include "peer/messages.h"

#include <functional>
#include <memory>
#include <string>

namespace fulmar {

// Calls peers by "host:port" over gRPC, with one cached channel per address. Thread-safe. Every call ends
// within its timeout. A failure is NotRun if no connection to the peer could be made, and MayHaveRun
// otherwise.
class PeerClient {
public:
    PeerClient();
    ~PeerClient();
    PeerClient(const PeerClient&) = delete;
    PeerClient& operator=(const PeerClient&) = delete;

    // Asynchronous. `done` runs on a thread of the gRPC client and must not block.
    void exchange(const std::string& address, const Exchange&, std::chrono::milliseconds timeout,
        std::function<void(Result<Exchange>)> done);
    void askKey(const std::string& address, const KeyQuestion&, std::chrono::milliseconds timeout,
        std::function<void(Result<KeyAnswer>)> done);
    void callTask(const std::string& address, const TaskCall&, std::chrono::milliseconds timeout,
        std::function<void(Result<TaskAnswer>)> done);

    // Synchronous.
    [[nodiscard]] Result<Confirmation> confirmLeaving(
        const std::string& address, const ConfirmQuestion&, std::chrono::milliseconds timeout);
    [[nodiscard]] Result<TimelineAnswer> timeline(
        const std::string& address, const TimelineQuestion&, std::chrono::milliseconds timeout);

private:
    class Channels;
    std::unique_ptr<Channels> m_channels;
};

} // namespace fulmar
