#pragma once

#include "core/event.h"
#include "daemon/distribution.h"
#include "daemon/process_settings.h"
#include "operate/metrics.h"
#include "operate/operator_service.h"
#include "peer/peer_client.h"

#include <functional>
#include <memory>

namespace fulmar {

// What each daemon contributes to the operators' server. Called on the server's threads; may block for at
// most a second.
struct OperatorEndpointHooks {
    std::function<void(operate::OperatorView&)> addTargets;
    // Handles a request on a task; method LIST returns all workers and tasks.
    std::function<TaskAnswer(const TaskCall&)> callTask;
    std::function<void(operate::MetricsRegistry&)> updateMetrics;
    std::function<bool()> isHealthy;
};

// The operators' server of a daemon, connected to its configuration, peers, event log and platform client.
class OperatorEndpoint {
public:
    // Fails if the address cannot be bound.
    [[nodiscard]] static Result<std::unique_ptr<OperatorEndpoint>> start(
        const ProcessSettings&, Distribution&, EventLog&, PeerClient&, OperatorEndpointHooks);

    virtual ~OperatorEndpoint() = default;
};

} // namespace fulmar
