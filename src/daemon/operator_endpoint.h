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

// What one kind of process adds to the operators' server. Called on its threads; may block for at most a
// second.
struct OperatorEdgeHooks {
    std::function<void(operate::OperatorView&)> addTargets;
    // A request on a task, or the list of all with method LIST.
    std::function<TaskAnswer(const TaskCall&)> callTask;
    std::function<void(operate::MetricsRegistry&)> updateMetrics;
    std::function<bool()> isHealthy;
};

// The operators' server of a daemon: joins it to the configuration, the peers, the events and the platform.
class OperatorEdge {
public:
    // Fails if the address cannot be bound.
    [[nodiscard]] static Result<std::unique_ptr<OperatorEdge>> start(
        const ProcessSettings&, Distribution&, EventLog&, PeerClient&, OperatorEdgeHooks);

    virtual ~OperatorEdge() = default;
};

} // namespace fulmar
