#include "jobs/demand.h"

#include <algorithm>
#include <cmath>

namespace fulmar::jobs {

namespace {

// A rejected job that is asked for again within this time is not new; longer than any job's chain.
constexpr Millis memory { 8'000 };
// Arrivals that make a rate: fewer would take single jobs for a turn, more would see a turn late.
constexpr std::size_t arrivalsForRate = 4;
// Longest time over which arrivals are counted although more than enough came.
constexpr Millis maxRateWindow { 2'000 };
// Weight of the newest job in the mean work.
constexpr double newestWeight = 0.05;

// A pool's last peak counts half after this time; turns seen so far came back within it.
constexpr std::chrono::seconds peakHalfLife { 40 };
// A VM's way into a pool, which an objective has to cover in place of VMs that are kept.
constexpr double arrivalMs = 1'500;
constexpr double minFloorShare = 0.2;
constexpr double maxFloorShare = 0.6;

} // namespace

std::uint32_t PoolFloor::update(
    std::uint32_t needed, std::uint32_t initial, Millis meanObjective, TimePoint now)
{
    if (m_at == TimePoint {})
        m_peak = initial;
    else
        m_peak *= std::exp2(
            -std::chrono::duration<double>(now - m_at) / std::chrono::duration<double>(peakHalfLife));
    m_at = now;
    m_peak = std::max(m_peak, double(std::min(needed, initial * 2)));
    auto objective = double(std::max<std::int64_t>(1, meanObjective.count()));
    auto share = meanObjective.count() == 0 ? minFloorShare
                                            : std::clamp(arrivalMs / objective, minFloorShare, maxFloorShare);
    return std::uint32_t(std::ceil(m_peak * share));
}

void DemandMeter::note(const JobId& job, double work, Millis chain, Millis objective, TimePoint now)
{
    forget(now);
    if (!m_known.insert(job).second)
        return;
    m_asked.push_back({ job, work, std::max(chain, Millis(1)), now });
    auto mix = [](double& mean, double newest) {
        mean = mean == 0 ? newest : mean + (newest - mean) * newestWeight;
    };
    mix(m_meanWork, work);
    mix(m_meanChain, double(chain.count()));
    mix(m_meanObjective, double(objective.count()));
}

double DemandMeter::cores(TimePoint now)
{
    forget(now);
    double running = 0;
    for (const auto& each : m_asked)
        if (each.at + each.chain > now)
            running += each.work / double(each.chain.count());
    if (m_asked.size() < arrivalsForRate)
        return running;
    auto since = std::chrono::duration_cast<Millis>(now - m_asked[m_asked.size() - arrivalsForRate].at);
    // Long jobs come seldom and take their room for longer: single ones must not look like a turn.
    auto shortest = Millis(std::int64_t(std::min(m_meanChain / 2, double(maxRateWindow.count()))));
    auto window = std::max({ since, shortest, Millis(1) });
    auto arrivals = std::count_if(
        m_asked.begin(), m_asked.end(), [&](const Asked& each) { return each.at >= now - window; });
    return std::max(running, double(arrivals) / double(window.count()) * m_meanWork);
}

void DemandMeter::forget(TimePoint now)
{
    while (!m_asked.empty() && m_asked.front().at <= now - memory) {
        m_known.erase(m_asked.front().job);
        m_asked.pop_front();
    }
}

} // namespace fulmar::jobs
