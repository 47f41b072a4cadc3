#include "bench/fleet_bench.h"

#include "bench/fleet_moves.h"
#include "bench/fleet_waves.h"

#include <array>
#include <fmt/format.h>
#include <string_view>
#include <sys/resource.h>
#include <utility>
#include <xxhash.h>

namespace fulmar::bench {

namespace {

using Seconds = std::chrono::duration<double>;
using Microseconds = std::chrono::duration<double, std::micro>;

constexpr std::array waveStyles {
    std::pair { WaveStyle::FixedBatches, std::string_view("fixed-batches") },
    std::pair { WaveStyle::OneZoneAtATime, std::string_view("one-zone-at-a-time") },
    std::pair { WaveStyle::Continuous, std::string_view("continuous") },
};

constexpr std::array moveStyles {
    std::pair { MoveStyle::FixedReserve, std::string_view("fixed-reserve") },
    std::pair { MoveStyle::Proportional, std::string_view("proportional") },
    std::pair { MoveStyle::HeldPeaks, std::string_view("held-peaks") },
    std::pair { MoveStyle::Planned, std::string_view("planned") },
};

constexpr std::array presets {
    std::pair { fleet::UserWeights::rollOutFirst(), std::string_view("roll-out-first") },
    std::pair { fleet::UserWeights::bufferFirst(), std::string_view("buffer-first") },
};

std::uint64_t mix(std::uint64_t signature, std::uint64_t value)
{
    return XXH64(&value, sizeof(value), signature);
}

std::uint64_t benchWaves(std::ostream& out, const FleetSize& size)
{
    std::uint64_t signature = 0;
    for (auto [style, name] : waveStyles) {
        auto outcome = runWave(size, style);
        out << fmt::format("wave size={} style={} roll_out_s={:.0f} bound_s={:.0f} ratio={:.3f} "
                           "over_budget_vms={} rounds={}\n",
            size.name, name, Seconds(outcome.rollOut).count(), Seconds(outcome.bound).count(),
            double(outcome.rollOut.count()) / double(outcome.bound.count()), outcome.overBudget,
            outcome.rounds);
        out << fmt::format("time wave size={} style={} planning_us_per_round={:.1f}\n", size.name, name,
            Microseconds(outcome.planning).count() / double(outcome.rounds));
        signature = mix(signature, outcome.signature);
    }
    return signature;
}

// The cost of the buffer is compared with fixed pools that are late no more often.
std::uint64_t benchMoves(
    std::ostream& out, const FleetSize& size, const fleet::UserWeights& weights, std::string_view preset)
{
    std::uint64_t signature = 0;
    auto settings = fleet::moveSettingsFor(weights);
    for (auto [style, name] : moveStyles) {
        auto outcome = runMoves(size, style, size.vms / size.pools, settings);
        auto fixed = fixedReserveFor(size, outcome.lateShare);
        auto fixedCost = runMoves(size, MoveStyle::FixedReserve, fixed, settings).bufferCost;
        out << fmt::format("moves size={} weights={} style={} late_share={:.4f} buffer_cost={:.2f} "
                           "fixed_vms_per_pool={} fixed_buffer_cost={:.2f} ratio={:.2f} moves={}\n",
            size.name, preset, name, outcome.lateShare, outcome.bufferCost, fixed, fixedCost,
            outcome.bufferCost / fixedCost, outcome.moves);
        if (outcome.rounds > 0)
            out << fmt::format("time moves size={} weights={} style={} planning_us_per_round={:.1f}\n",
                size.name, preset, name, Microseconds(outcome.planning).count() / double(outcome.rounds));
        signature = mix(signature, outcome.signature);
    }
    return signature;
}

} // namespace

void runFleetBench(std::ostream& out)
{
    std::uint64_t signature = 0;
    for (const auto& size : fleetSizes) {
        signature = mix(signature, benchWaves(out, size));
        for (const auto& [weights, preset] : presets)
            signature = mix(signature, benchMoves(out, size, weights, preset));
    }
    rusage usage {};
    getrusage(RUSAGE_SELF, &usage);
    out << fmt::format("memory fleet peak_resident_kb={}\n", usage.ru_maxrss);
    out << fmt::format("signature fleet {:016x}\n", signature);
}

} // namespace fulmar::bench
