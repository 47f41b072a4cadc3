#include "jobs/demand.h"

#include <algorithm>
#include <cmath>

namespace fulmar::jobs {

namespace {

// A rejected job that is asked for again within this time is not new; longer than any job's chain.
constexpr Millis resubmitWindow { 8'000 };
// Arrivals that make a rate: fewer would take single jobs for a turn, more would see a turn late.
constexpr std::size_t arrivalsForRate = 4;
// Longest time over which arrivals are counted although more than enough came.
constexpr Millis maxRateWindow { 2'000 };
// Weight of the newest job in the mean work.
constexpr double newestWeight = 0.05;

// Arrivals of the newest window are held against those of an older one. Turns rise over two to three seconds.
constexpr Millis newWindow { 500 };
constexpr Millis oldWindow { 1'000 };
// Time until a VM that is ordered now takes work: its move and its first answer.
constexpr Millis vmLeadTime { 2'000 };
// Fewer arrivals in the newest window tell of no growth, nor does a difference that chance often brings:
// random arrivals exceed one and a half standard deviations in one of fifteen windows.
constexpr double minArrivalsForGrowth = 8;
constexpr double deviationsForGrowth = 1.5;
// Arrivals that grew are not taken to grow beyond this factor: they rise from next to nothing.
constexpr double maxGrowth = 3;

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
    if (m_updatedAt == TimePoint {})
        m_peak = initial;
    else
        m_peak *= std::exp2(
            -std::chrono::duration<double>(now - m_updatedAt) / std::chrono::duration<double>(peakHalfLife));
    m_updatedAt = now;
    m_peak = std::max(m_peak, double(std::min(needed, initial * 2)));
    auto objective = double(std::max<std::int64_t>(1, meanObjective.count()));
    auto share = meanObjective.count() == 0 ? minFloorShare
                                            : std::clamp(arrivalMs / objective, minFloorShare, maxFloorShare);
    return std::uint32_t(std::ceil(m_peak * share));
}

void DemandMeter::recordArrival(
    const JobId& job, double work, Millis criticalPath, Millis objective, TimePoint now)
{
    expireArrivals(now);
    if (!m_recentJobs.insert(job).second)
        return;
    m_arrivals.push_back({ job, work, std::max(criticalPath, Millis(1)), now });
    auto updateMean = [](double& mean, double newest) {
        mean = mean == 0 ? newest : mean + (newest - mean) * newestWeight;
    };
    updateMean(m_meanWork, work);
    updateMean(m_meanCriticalPath, double(criticalPath.count()));
    updateMean(m_meanObjective, double(objective.count()));
}

double DemandMeter::cores(TimePoint now)
{
    expireArrivals(now);
    double running = 0;
    for (const auto& each : m_arrivals)
        if (each.at + each.criticalPath > now)
            running += each.work / double(each.criticalPath.count());
    if (m_arrivals.size() < arrivalsForRate)
        return running;
    auto since = std::chrono::duration_cast<Millis>(now - m_arrivals[m_arrivals.size() - arrivalsForRate].at);
    // Long jobs come seldom and take their room for longer: single ones must not look like a turn.
    auto minWindow = Millis(std::int64_t(std::min(m_meanCriticalPath / 2, double(maxRateWindow.count()))));
    auto window = std::max({ since, minWindow, Millis(1) });
    auto arrivals = std::count_if(
        m_arrivals.begin(), m_arrivals.end(), [&](const Arrival& each) { return each.at >= now - window; });
    auto rate = std::max(double(arrivals) / double(window.count()), forecastRate(now) / 1'000);
    return std::max(running, rate * m_meanWork);
}

std::size_t DemandMeter::countArrivals(TimePoint from, TimePoint until) const
{
    auto at = [](const Arrival& each, TimePoint moment) { return each.at < moment; };
    return std::size_t(std::lower_bound(m_arrivals.begin(), m_arrivals.end(), until, at)
        - std::lower_bound(m_arrivals.begin(), m_arrivals.end(), from, at));
}

double DemandMeter::forecastRate(TimePoint now) const
{
    constexpr auto seconds = [](Millis time) { return std::chrono::duration<double>(time).count(); };
    auto newest = double(countArrivals(now - newWindow, now + Duration(1)));
    auto older = double(countArrivals(now - newWindow - oldWindow, now - newWindow));
    auto rate = newest / seconds(newWindow);
    auto growth = rate - older / seconds(oldWindow);
    auto deviation
        = std::hypot(std::sqrt(newest) / seconds(newWindow), std::sqrt(older) / seconds(oldWindow));
    if (newest < minArrivalsForGrowth || growth < deviation * deviationsForGrowth)
        return 0;
    auto slope = growth / seconds((newWindow + oldWindow) / 2);
    return std::min(rate + slope * seconds(vmLeadTime), rate * maxGrowth);
}

void DemandMeter::expireArrivals(TimePoint now)
{
    while (!m_arrivals.empty() && m_arrivals.front().at <= now - resubmitWindow) {
        m_recentJobs.erase(m_arrivals.front().job);
        m_arrivals.pop_front();
    }
}

} // namespace fulmar::jobs
