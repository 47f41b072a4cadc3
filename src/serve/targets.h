#pragma once

#include "serve/directory.h"

#include <optional>
#include <random>
#include <unordered_map>

namespace fulmar::serve {

// The targets of all services: which are in use, how many of our calls each has, and which gets the next.
class Targets {
public:
    Targets(ZoneId ownZone, std::uint64_t seed);

    void applyDirectory(const ServiceDirectory&);
    // How many entry VMs share the targets' slots.
    void setSharers(std::uint32_t sharers) { m_sharers = sharers; }
    // No new call until the VM's row has a higher epoch and says Serving.
    void setLeaving(const VmId&);
    [[nodiscard]] std::vector<VmId> leaving() const;

    // A target with a free slot; own zone first, not one of `avoid`. Null if there is none.
    [[nodiscard]] const Target* pick(const ServiceEntry&, const std::vector<VmId>& avoid);

    void onStart(const VmId& vm) { ++m_states[vm].inFlight; }
    void onEnd(const VmId&);
    [[nodiscard]] std::map<VmId, std::uint32_t> inFlight() const;

private:
    struct State {
        std::uint32_t inFlight { 0 };
        // Epoch of the row when the VM was said to leave.
        std::optional<Epoch> leavingSince;
        Epoch epoch { 0 };
    };

    [[nodiscard]] std::uint32_t limit(const ServiceConfig&) const;

    ZoneId m_ownZone;
    std::uint32_t m_sharers { 1 };
    std::mt19937_64 m_random;
    std::unordered_map<VmId, State> m_states;
};

} // namespace fulmar::serve
