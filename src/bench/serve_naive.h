#pragma once

#include "serve/call.h"
#include "serve/directory.h"
#include "serve/peer_load.h"

#include <unordered_map>

namespace fulmar::bench {

// The plain way to serve, to compare with: every call is sent at once to the next target in turn, however
// many wait there, and whenever an attempt fails or times out it is sent again, up to twice.
class NaiveEntry {
public:
    NaiveEntry(const serve::EntryVm& self, const std::vector<serve::EntryVm>& entries,
        const serve::ServiceEntry& service, TimePoint now);

    [[nodiscard]] serve::Actions onCall(serve::RequestId, const serve::CallInfo&, TimePoint now);
    [[nodiscard]] serve::Actions onAttemptEnd(serve::AttemptId, const serve::AttemptEnd&, TimePoint now);
    [[nodiscard]] serve::Actions onCallerGone(serve::RequestId, TimePoint) { return {}; }
    [[nodiscard]] serve::Actions onTick(TimePoint) { return {}; }
    [[nodiscard]] std::optional<TimePoint> nextWake() const { return std::nullopt; }
    [[nodiscard]] serve::PeerLoad loadFor(const ProcessId&, TimePoint) { return {}; }
    [[nodiscard]] serve::Actions onPeerLoad(const ProcessId&, const serve::PeerLoad&, TimePoint)
    {
        return {};
    }

private:
    [[nodiscard]] serve::Action send(serve::RequestId, std::uint32_t attempts, TimePoint now);

    struct Attempt {
        serve::RequestId request { 0 };
        std::uint32_t attempts { 0 };
    };

    serve::ServiceEntry m_service;
    std::size_t m_turn { 0 };
    serve::AttemptId m_lastAttempt { 0 };
    std::unordered_map<serve::AttemptId, Attempt> m_attempts;
};

} // namespace fulmar::bench
