#include "jobs/maintenance_plan.h"

#include <algorithm>
#include <cmath>

namespace fulmar::jobs {

namespace {

// Share of a wave's time after which all its VMs should be done; the rest is a reserve for faults.
constexpr double plannedShare = 0.7;
// Share of a wave's time after which a VM is taken down although something still runs there.
constexpr double forcedShare = 0.85;

// Evacuating a VM takes about two cycles, as its long-running tasks leave a few at a time, only as fast as
// their steps permit.
constexpr double cyclesToEvacuate = 2;

bool needsEvacuation(const MaintenanceCandidate& candidate)
{
    return !candidate.isUnused && !candidate.isEmpty && !candidate.mayEndRuns;
}

} // namespace

void recordVmsInMaintenance(
    WaveProgress& wave, const std::map<VmId, VmRecord>& list, TimePoint listRequestedAt)
{
    for (const auto& id : wave.order.vms)
        if (auto vm = list.find(id); vm != list.end() && vm->second.state == VmState::Maintenance)
            wave.down.try_emplace(id, listRequestedAt);
}

void removeReturnedVms(
    WaveProgress& wave, const std::map<VmId, VmRecord>& list, TimePoint listRequestedAt, Millis duration)
{
    std::erase_if(wave.down, [&](const auto& each) {
        const auto& [id, since] = each;
        auto vm = list.find(id);
        auto isInMaintenance = vm != list.end() && vm->second.state == VmState::Maintenance;
        return since && listRequestedAt > *since + duration && !isInMaintenance;
    });
}

bool areAllVmsBack(const WaveProgress& wave, const std::map<VmId, VmRecord>& list)
{
    return wave.down.empty()
        && std::all_of(wave.order.vms.begin(), wave.order.vms.end(),
            [&](const VmId& vm) { return wave.done.contains(vm) || !list.contains(vm); });
}

std::uint32_t allowanceOf(std::uint32_t maxAtOnce, std::uint32_t shard, std::uint32_t shards)
{
    return maxAtOnce / shards + (shard < maxAtOnce % shards ? 1 : 0);
}

MaintenanceActions planMaintenance(const WaveProgress& wave, std::vector<MaintenanceCandidate> candidates,
    MaintenanceTimes times, TimePoint now)
{
    MaintenanceActions actions;
    auto cycle = times.drain + times.down;
    auto duration = double(wave.order.duration.count());
    auto elapsed = double(std::chrono::duration_cast<Millis>(now - wave.firstSeen).count());
    auto isForced = elapsed > duration * forcedShare;
    auto timeLeft = std::max(duration * plannedShare - elapsed, double(cycle.count()));
    auto neededInProgress
        = std::ceil(double(candidates.size() + wave.down.size()) * double(cycle.count()) / timeLeft);
    auto neededToFillAllowance
        = std::ceil(double(wave.allowance) * double(cycle.count()) / double(times.down.count()));
    auto maxInProgress = std::uint32_t(std::min(std::max(1.0, neededInProgress), neededToFillAllowance));
    auto downCount = std::uint32_t(wave.down.size());
    auto evacuations = std::count_if(candidates.begin(), candidates.end(), needsEvacuation);
    auto neededEvacuations
        = std::ceil(double(evacuations) * cyclesToEvacuate * double(cycle.count()) / timeLeft);
    auto maxEvacuations = std::min(std::uint32_t(neededEvacuations), wave.allowance);
    auto countCordoned = [&](bool isEvacuation) {
        return std::uint32_t(
            std::count_if(candidates.begin(), candidates.end(), [&](const MaintenanceCandidate& each) {
                return needsEvacuation(each) == isEvacuation && wave.cordoned.contains(each.vm);
            }));
    };
    auto evacuationsInProgress = countCordoned(true);
    std::sort(candidates.begin(), candidates.end(), [](const auto& a, const auto& b) {
        return std::tuple(!a.isUnused, !a.isEmpty, a.busyCpu, a.vm)
            < std::tuple(!b.isUnused, !b.isEmpty, b.busyCpu, b.vm);
    });
    // VMs that were cordoned and are no longer candidates may be gone.
    auto inProgress = downCount + countCordoned(false);
    for (const auto& candidate : candidates) {
        if (!candidate.isUp)
            continue;
        auto isCordoned = wave.cordoned.contains(candidate.vm);
        auto isEvacuation = needsEvacuation(candidate);
        auto isSelected = isCordoned || candidate.isUnused || inProgress < maxInProgress
            || (isEvacuation && evacuationsInProgress < maxEvacuations);
        if (!isSelected)
            continue;
        auto isReady = candidate.isEmpty || (isCordoned && isForced && candidate.mayEndRuns);
        if (isReady && downCount < wave.allowance) {
            actions.takeDown.push_back(candidate.vm);
            ++downCount;
            inProgress += isCordoned ? 0 : 1;
        } else if (!isReady && !isCordoned) {
            actions.empty.push_back(candidate.vm);
            ++(isEvacuation ? evacuationsInProgress : inProgress);
        }
    }
    return actions;
}

} // namespace fulmar::jobs
