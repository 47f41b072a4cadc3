#include "fleet/wave_plan.h"

#include <algorithm>
#include <fmt/format.h>
#include <fmt/ranges.h>
#include <set>

namespace fulmar::fleet {

namespace {

void sortOldestFirst(std::vector<const VmRecord*>& vms)
{
    std::stable_sort(vms.begin(), vms.end(), [](const VmRecord* left, const VmRecord* right) {
        return left->lastMaintained < right->lastMaintained;
    });
}

} // namespace

WaveProgress waveProgress(const FleetView& view, const WaveRecord& wave)
{
    WaveProgress progress;
    std::set<std::string> pools(wave.pools.begin(), wave.pools.end());
    for (const auto& [id, stored] : view.vms()) {
        const auto& vm = stored.record;
        auto intent = view.intents().find(id);
        bool hasIntent = intent != view.intents().end();
        bool isOfWave = hasIntent && intent->second.record.wave == wave.wave;
        if (!isOfWave && !pools.empty() && !pools.contains(vm.pool.value()))
            continue;
        ++progress.total;
        if (isOfWave && vm.state == VmState::Failed)
            progress.failed.push_back(id);
        else if (isOfWave)
            ++progress.underWay;
        else if (vm.lastMaintained >= wave.started)
            ++progress.maintained;
        else if (vm.state == VmState::Serving && !hasIntent)
            progress.candidates.push_back(&vm);
    }
    sortOldestFirst(progress.candidates);
    return progress;
}

std::string waveStopReason(const WaveProgress& progress, std::uint32_t stopFailures)
{
    auto failures = progress.failed.size();
    if (failures == 0 || (failures < stopFailures && progress.underWay > 0))
        return {};
    std::vector<std::string> names;
    names.reserve(failures);
    for (const auto& vm : progress.failed)
        names.push_back(vm.value());
    return fmt::format("{} VMs did not return from their reboot: {}", failures, fmt::join(names, ", "));
}

std::vector<VmId> nextOfWave(const WaveProgress& progress, BudgetLedger& ledger)
{
    std::vector<VmId> next;
    for (const auto* vm : progress.candidates) {
        if (!ledger.allows(*vm))
            continue;
        ledger.markUnavailable(*vm);
        next.push_back(vm->vm);
    }
    return next;
}

} // namespace fulmar::fleet
