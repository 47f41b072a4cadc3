#pragma once

#include "daemon/control_settings.h"
#include "daemon/fleet_adapters.h"
#include "daemon/operator_endpoint.h"
#include "daemon/peer_duty.h"
#include "daemon/work_service.h"
#include "daemon/zone_reader.h"
#include "fleet/fleet_duty.h"
#include "platform/http_platform.h"

#include <memory>

namespace fulmar {

// The control daemon. Reads the configuration for its zone, and runs the fleet and work duties for the shards
// whose leases it holds. Each duty has its own thread and its own connection to the platform.
class Control {
public:
    Control(ControlSettings, std::uint64_t incarnation);
    Control(const Control&) = delete;
    Control& operator=(const Control&) = delete;
    ~Control();

    // Runs until SIGTERM or SIGINT. Fails if an address cannot be bound.
    [[nodiscard]] Result<void> run();

private:
    using Reader = ZoneReader<HttpPlatform, SystemClock>;
    using Fleet = FleetDuty<HttpPlatform, PeerConfirmer, ConnectProbe, SystemClock>;

    PeerDutyHooks makePeerHooks();
    OperatorEndpointHooks makeOperatorEndpointHooks();

    const ControlSettings m_settings;
    const SystemClock m_clock {};
    EventLog m_events;
    Distribution m_distribution;
    HttpPlatform m_readerPlatform;
    Reader m_reader;
    WorkService m_work;
    std::unique_ptr<PeerDuty> m_peers;
};

} // namespace fulmar
