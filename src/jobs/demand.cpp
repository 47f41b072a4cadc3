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

// Arrivals of the newest window are held against those of an older one. Turns rise over two to three seconds.
constexpr Millis newWindow { 500 };
constexpr Millis oldWindow { 1'000 };
// Time until a VM that is ordered now takes work: its move and its first answer.
constexpr Millis lead { 2'000 };
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
    auto rate = std::max(double(arrivals) / double(window.count()), comingRate(now) / 1'000);
    return std::max(running, rate * m_meanWork);
}

std::size_t DemandMeter::countBetween(TimePoint from, TimePoint until) const
{
    auto at = [](const Asked& each, TimePoint moment) { return each.at < moment; };
    return std::size_t(std::lower_bound(m_asked.begin(), m_asked.end(), until, at)
        - std::lower_bound(m_asked.begin(), m_asked.end(), from, at));
}

double DemandMeter::comingRate(TimePoint now) const
{
    constexpr auto seconds = [](Millis time) { return std::chrono::duration<double>(time).count(); };
    auto newest = double(countBetween(now - newWindow, now + Duration(1)));
    auto older = double(countBetween(now - newWindow - oldWindow, now - newWindow));
    auto rate = newest / seconds(newWindow);
    auto growth = rate - older / seconds(oldWindow);
    auto deviation
        = std::hypot(std::sqrt(newest) / seconds(newWindow), std::sqrt(older) / seconds(oldWindow));
    if (newest < minArrivalsForGrowth || growth < deviation * deviationsForGrowth)
        return 0;
    auto slope = growth / seconds((newWindow + oldWindow) / 2);
    return std::min(rate + slope * seconds(lead), rate * maxGrowth);
}

void DemandMeter::forget(TimePoint now)
{
    while (!m_asked.empty() && m_asked.front().at <= now - memory) {
        m_known.erase(m_asked.front().job);
        m_asked.pop_front();
    }
}

} // namespace fulmar::jobs
