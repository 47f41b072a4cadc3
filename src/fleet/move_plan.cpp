#include "fleet/move_plan.h"

#include "fleet/budget.h"

#include <algorithm>
#include <cmath>

namespace fulmar::fleet {

namespace {

struct Donor {
    const PoolLoad* load;
    std::uint32_t surplus;
};

struct Receiver {
    const PoolLoad* load;
    std::uint32_t deficit;
};

// Spare pools give VMs first, then the pools with the largest surplus.
void sortDonors(std::vector<Donor>& donors)
{
    std::stable_sort(donors.begin(), donors.end(), [](const Donor& left, const Donor& right) {
        if (left.load->isSpare != right.load->isSpare)
            return left.load->isSpare;
        return left.surplus > right.surplus;
    });
}

// Pools that lack the largest share of the VMs they need receive first.
void sortReceivers(std::vector<Receiver>& receivers)
{
    auto shortfallShare = [](const Receiver& each) {
        return double(each.deficit) / (each.deficit + each.load->serving + each.load->arriving);
    };
    std::stable_sort(receivers.begin(), receivers.end(), [&](const Receiver& left, const Receiver& right) {
        return shortfallShare(left) > shortfallShare(right);
    });
}

} // namespace

MoveSettings moveSettingsFor(const UserWeights& weights)
{
    constexpr double minHeadroom = 1.0;
    constexpr double headroomRange = 0.5;
    constexpr double maxPeakHoldSeconds = 2.5;
    constexpr double maxLeavingShare = 0.5;
    auto totalWeight = weights.rollOut + weights.buffer + weights.moves;
    MoveSettings settings;
    settings.headroomFactor = minHeadroom + headroomRange * (1 - weights.buffer / totalWeight);
    auto hold = std::chrono::duration<double>(maxPeakHoldSeconds * weights.moves / totalWeight);
    settings.peakHold = std::chrono::duration_cast<Duration>(hold);
    settings.leavingShare = maxLeavingShare * (1 - weights.rollOut / totalWeight);
    return settings;
}

std::vector<PoolMove> MovePlanner::plan(TimePoint now, const std::vector<PoolLoad>& loads)
{
    std::vector<Donor> donors;
    std::vector<Receiver> receivers;
    for (const auto& load : loads) {
        auto need = requiredVms(now, load);
        auto expected = load.serving + load.arriving;
        auto mayLeave = allowedVms(m_settings.leavingShare, load.serving + load.leaving);
        if (expected < need)
            receivers.push_back({ &load, need - expected });
        else if (load.serving > need && mayLeave > load.leaving)
            donors.push_back({ &load, std::min(load.serving - need, mayLeave - load.leaving) });
    }
    sortDonors(donors);
    sortReceivers(receivers);

    std::vector<PoolMove> moves;
    auto donor = donors.begin();
    auto allowance = m_settings.movesPerRound;
    for (auto& receiver : receivers)
        while (receiver.deficit > 0 && allowance > 0 && donor != donors.end()) {
            auto vms = std::min({ receiver.deficit, donor->surplus, allowance });
            allowance -= vms;
            moves.push_back({ donor->load->pool, receiver.load->pool, vms });
            receiver.deficit -= vms;
            donor->surplus -= vms;
            if (donor->surplus == 0)
                ++donor;
        }
    return moves;
}

std::uint32_t MovePlanner::requiredVms(TimePoint now, const PoolLoad& load)
{
    auto& peaks = m_peaks[load.pool];
    while (!peaks.empty() && peaks.back().demandVms <= load.demandVms)
        peaks.pop_back();
    peaks.push_back({ now, load.demandVms });
    while (peaks.front().at + m_settings.peakHold < now)
        peaks.pop_front();
    auto need = std::ceil(peaks.front().demandVms * m_settings.headroomFactor);
    return std::max(m_settings.minimumVms, std::uint32_t(need));
}

} // namespace fulmar::fleet
