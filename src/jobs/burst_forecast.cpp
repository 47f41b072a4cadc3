#include "jobs/burst_forecast.h"

#include "core/log.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <set>

namespace fulmar::jobs {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Intervals agree if they differ by no more than an eighth within these bounds. VMs that come a second early
// or late still pay; a wider tolerance would find rhythms in bursts at random times.
constexpr int toleranceDivisor = 8;
constexpr milliseconds minTolerance { 600 };
constexpr milliseconds maxTolerance { 1'000 };
// The same for the distance of single times from a fitted line.
constexpr double shareOfTolerance = 0.6;
// Shorter periods leave no time to take VMs away and bring them back; longer ones do not return soon enough
// to be of use, and would keep old bursts as evidence.
constexpr seconds minPeriod { 6 };
constexpr seconds maxPeriod { 120 };
constexpr std::size_t beginsForOwnPeriod = 4;
constexpr std::size_t returnsForSharedPeriod = 3;
constexpr std::size_t beginsForRotation = 4;
// More than pools in a rotation; bounds the memory.
constexpr std::size_t maxBegins = 256;

constexpr std::uint32_t missesToDrop = 2;
// Share of the VMs that is ordered after a miss.
constexpr double shareAfterMiss = 0.5;
// Share of the error by which the phase and the period follow the bursts.
constexpr double phaseGain = 0.5;
constexpr double periodGain = 0.1;
// Weight of the newest value in the means.
constexpr double newestWeight = 0.5;

// Error of the expected times before the first is known: the resolution of a begin.
constexpr milliseconds initialMeanError { 300 };
// VMs are there this long before the expected begin: the mean error within these bounds.
constexpr milliseconds minEarlyMargin { 100 };
constexpr milliseconds maxEarlyMargin { 800 };
// A burst that is later than three mean errors, within these bounds, is missed.
constexpr int lateErrors = 3;
constexpr milliseconds minLateMargin { 800 };
constexpr milliseconds maxLateMargin { 2'000 };
// Time until a begin is noticed: until the rate of the last seconds has risen, and that of some six arrivals.
constexpr double minSecondsToNotice = 0.5;
constexpr double arrivalsToNotice = 6;
constexpr double maxSecondsToNotice = 2.5;
// A burst of a rotation that is off by more shows that all of it has shifted.
constexpr milliseconds minShift { 2'000 };
// After this time the demand itself shows what a burst needs.
constexpr milliseconds measuredAfter { 2'000 };
// Longer pauses between updates hide begins.
constexpr milliseconds maxUpdatePause { 1'000 };

// Each row of a shard is at most some 8 KB in so many seconds.
constexpr seconds recordPause { 5 };
constexpr std::size_t maxRecordedPools = 64;
// Pools' rhythms hardly last longer, and relative phases drift.
constexpr seconds maxRecordAge { 300 };
// Wall clocks of holders differ by seconds.
constexpr seconds maxClockDifference { 30 };

Duration toleranceOf(Duration interval)
{
    return std::clamp<Duration>(interval / toleranceDivisor, minTolerance, maxTolerance);
}

Duration scaled(Duration time, double factor)
{
    return Duration(std::int64_t(double(time.count()) * factor));
}

bool isPlausible(Duration period) { return period >= minPeriod && period <= maxPeriod; }

// Their mean if they agree.
std::optional<Duration> commonInterval(const std::vector<Duration>& intervals)
{
    auto [low, high] = std::minmax_element(intervals.begin(), intervals.end());
    auto sum = std::accumulate(intervals.begin(), intervals.end(), Duration(0));
    auto mean = sum / std::int64_t(intervals.size());
    return *high - *low <= toleranceOf(mean) ? std::optional(mean) : std::nullopt;
}

// The interval of these times if they are regular: the slope of the line fitted through them, none of which
// is further from it than the tolerance.
std::optional<Duration> regularInterval(const std::vector<TimePoint>& times)
{
    auto count = double(times.size());
    auto since = [&](TimePoint at) { return double((at - times.front()).count()); };
    auto meanIndex = (count - 1) / 2;
    auto meanTime = std::accumulate(times.begin(), times.end(), 0.0, [&](double sum, TimePoint at) {
        return sum + since(at);
    }) / count;
    double covariance = 0;
    double variance = 0;
    for (std::size_t i = 0; i < times.size(); ++i) {
        covariance += (double(i) - meanIndex) * (since(times[i]) - meanTime);
        variance += (double(i) - meanIndex) * (double(i) - meanIndex);
    }
    auto slope = covariance / variance;
    auto tolerance = double(toleranceOf(Duration(std::int64_t(slope))).count()) * shareOfTolerance;
    for (std::size_t i = 0; i < times.size(); ++i)
        if (std::abs(since(times[i]) - meanTime - slope * (double(i) - meanIndex)) > tolerance)
            return std::nullopt;
    return Duration(std::int64_t(slope));
}

std::string millisText(Duration time)
{
    return std::to_string(std::chrono::duration_cast<milliseconds>(time).count());
}

} // namespace

void BurstForecast::recordArrival(const PoolId& pool, double work, TimePoint now)
{
    auto [found, isNew] = m_pools.try_emplace(pool);
    if (isNew)
        found->second.detector = BurstDetector(m_observedSince, m_updatedAt);
    found->second.detector.recordArrival(work, now);
}

void BurstForecast::update(TimePoint now)
{
    if (now - std::exchange(m_updatedAt, now) > maxUpdatePause) {
        m_observedSince = now;
        loseAnchors();
    }
    for (auto& [pool, state] : m_pools) {
        state.detector.update(now);
        if (auto ended = state.detector.takeEnded()) {
            auto add = [](double& mean, double newest) {
                mean = mean == 0 ? newest : mean + (newest - mean) * newestWeight;
            };
            add(state.cores, ended->cores);
            add(state.rate, ended->rate);
            m_hasChanged = m_hasChanged || state.rhythm;
        }
    }
    for (auto& [pool, state] : m_pools) {
        if (auto begin = state.detector.takeConfirmed())
            onBegin(pool, state, *begin, now);
        checkForMiss(pool, state, now);
    }
}

void BurstForecast::onBegin(const PoolId& pool, PoolState& state, TimePoint begin, TimePoint now)
{
    if (state.rhythm && state.rhythm->isAnchored)
        judge(pool, state, begin, now);
    else if (state.rhythm)
        anchor(state, begin, now);
    std::optional<Duration> interval;
    if (!state.begins.empty())
        interval = begin - state.begins.back();
    state.begins.push_back(begin);
    if (state.begins.size() > beginsForOwnPeriod)
        state.begins.pop_front();
    m_begins.push_back({ pool, begin, interval });
    if (m_begins.size() > maxBegins)
        m_begins.pop_front();
    learn(pool, state, now);
    m_hasChanged = m_hasChanged || state.rhythm;
}

Duration BurstForecast::lateMargin() const
{
    return std::clamp<Duration>(
        m_meanError.value_or(initialMeanError) * lateErrors, minLateMargin, maxLateMargin);
}

bool BurstForecast::isOnTime(const BurstRhythm& rhythm, TimePoint begin) const
{
    return begin >= rhythm.expected - lateMargin() && begin <= rhythm.expected + lateMargin();
}

TimePoint BurstForecast::missedFrom(const PoolState& state) const
{
    auto toNotice
        = std::min(maxSecondsToNotice, minSecondsToNotice + arrivalsToNotice / std::max(state.rate, 1.0));
    return state.rhythm->expected + lateMargin()
        + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(toNotice));
}

void BurstForecast::judge(const PoolId& pool, PoolState& state, TimePoint begin, TimePoint now)
{
    auto& rhythm = *state.rhythm;
    auto error = begin - rhythm.expected;
    if (isOnTime(rhythm, begin)) {
        rhythm.misses = 0;
        ++rhythm.hits;
        ++m_counts.hits;
        if (rhythm.isShared) {
            m_sharedMisses = 0;
            ++m_sharedHits;
        }
        auto mean = m_meanError.value_or(initialMeanError);
        m_meanError = mean + scaled(std::chrono::abs(error) - mean, newestWeight);
        rhythm.period += scaled(error, periodGain);
        rhythm.expected += rhythm.period + scaled(error, phaseGain);
        state.holdUntil = begin + measuredAfter;
        logInfo("burst-predicted",
            { { "pool", pool.value() }, { "error-ms", millisText(error) },
                { "period-ms", millisText(rhythm.period) } });
        return;
    }
    // One that comes after it was given up has been counted.
    auto isLate = rhythm.misses > 0 && error < -rhythm.period / 2;
    if (!isLate)
        countMiss(pool, state, "early");
    if (!state.rhythm)
        return;
    if (rhythm.isShared && std::chrono::abs(isLate ? error + rhythm.period : error) > minShift)
        for (auto& [id, each] : m_pools)
            if (each.rhythm && each.rhythm->isShared)
                each.rhythm->isAnchored = false;
    rhythm.isAnchored = false;
    anchor(state, begin, now);
}

void BurstForecast::loseAnchors()
{
    for (auto& [pool, state] : m_pools)
        if (state.rhythm)
            state.rhythm->isAnchored = false;
}

void BurstForecast::anchor(PoolState& state, TimePoint begin, TimePoint now)
{
    auto shift = begin - state.rhythm->expected;
    auto isShared = state.rhythm->isShared;
    for (auto& [pool, other] : m_pools) {
        if (!other.rhythm || other.rhythm->isAnchored
            || !(isShared ? other.rhythm->isShared : &other == &state))
            continue;
        auto& rhythm = *other.rhythm;
        rhythm.isAnchored = true;
        // The next one that is not yet missed.
        auto next = now - lateMargin();
        auto periods = (next - rhythm.expected - shift) / rhythm.period;
        rhythm.expected += shift + periods * rhythm.period;
        while (rhythm.expected <= next)
            rhythm.expected += rhythm.period;
    }
    state.rhythm->expected = begin + state.rhythm->period;
}

void BurstForecast::checkForMiss(const PoolId& pool, PoolState& state, TimePoint now)
{
    if (!state.rhythm || !state.rhythm->isAnchored || now <= missedFrom(state))
        return;
    auto begin = state.detector.begin();
    if (begin && isOnTime(*state.rhythm, *begin))
        return;
    state.rhythm->expected += state.rhythm->period;
    countMiss(pool, state, "missed");
}

void BurstForecast::countMiss(const PoolId& pool, PoolState& state, std::string_view why)
{
    auto& rhythm = *state.rhythm;
    ++rhythm.misses;
    ++m_counts.misses;
    m_sharedMisses += rhythm.isShared ? 1 : 0;
    m_hasChanged = true;
    auto isDropped = (rhythm.isShared ? m_sharedMisses : rhythm.misses) >= missesToDrop;
    logInfo("burst-mispredicted",
        { { "pool", pool.value() }, { "why", std::string(why) }, { "period-ms", millisText(rhythm.period) },
            { "hits", std::to_string(rhythm.hits) }, { "dropped", isDropped ? "true" : "false" } });
    if (!isDropped)
        return;
    if (rhythm.isShared) {
        dropShared();
        return;
    }
    state.rhythm.reset();
    state.begins.clear();
}

void BurstForecast::dropShared()
{
    for (auto& [pool, state] : m_pools) {
        if (state.rhythm && !state.rhythm->isShared)
            continue;
        state.rhythm.reset();
        state.begins.clear();
    }
    m_begins.clear();
    m_sharedPeriod.reset();
    m_sharedMisses = m_sharedHits = 0;
}

void BurstForecast::learn(const PoolId& pool, PoolState& state, TimePoint now)
{
    if (!m_sharedPeriod) {
        m_sharedPeriod = findSharedPeriod(now);
        if (m_sharedPeriod) {
            logInfo("burst-forecast", { { "pool", "all" }, { "period-ms", millisText(*m_sharedPeriod) } });
            for (auto& [id, each] : m_pools)
                if (!each.rhythm && !each.begins.empty() && each.begins.back() + *m_sharedPeriod > now)
                    each.rhythm = BurstRhythm { *m_sharedPeriod, each.begins.back() + *m_sharedPeriod, true };
        }
    }
    if (state.rhythm)
        return;
    if (m_sharedPeriod) {
        state.rhythm = BurstRhythm { *m_sharedPeriod, state.begins.back() + *m_sharedPeriod, true };
        return;
    }
    if (state.begins.size() < beginsForOwnPeriod)
        return;
    auto period = regularInterval({ state.begins.begin(), state.begins.end() });
    if (!period || !isPlausible(*period))
        return;
    state.rhythm = BurstRhythm { *period, state.begins.back() + *period };
    logInfo("burst-forecast", { { "pool", pool.value() }, { "period-ms", millisText(*period) } });
}

std::optional<Duration> BurstForecast::findSharedPeriod(TimePoint now) const
{
    for (auto period : { periodOfReturns(), periodOfRotation(), periodOfFirstRound(now) })
        if (period && isPlausible(*period))
            return period;
    return std::nullopt;
}

std::vector<TimePoint> BurstForecast::lastBegins(std::size_t count) const
{
    std::vector<TimePoint> times;
    for (auto each = m_begins.end() - std::ptrdiff_t(count); each != m_begins.end(); ++each)
        times.push_back(each->at);
    return times;
}

// The last bursts came each an equal interval after the one before of their pool.
std::optional<Duration> BurstForecast::periodOfReturns() const
{
    if (m_begins.size() < returnsForSharedPeriod)
        return std::nullopt;
    std::vector<Duration> intervals;
    std::set<PoolId> pools;
    for (auto each = m_begins.end() - returnsForSharedPeriod; each != m_begins.end(); ++each) {
        if (!each->interval)
            return std::nullopt;
        intervals.push_back(*each->interval);
        pools.insert(each->pool);
    }
    return pools.size() == returnsForSharedPeriod ? commonInterval(intervals) : std::nullopt;
}

// The last bursts began at equal intervals, and the last one's pool had its earlier burst a whole number of
// these before.
std::optional<Duration> BurstForecast::periodOfRotation() const
{
    if (m_begins.size() < beginsForRotation || !m_begins.back().interval)
        return std::nullopt;
    auto spacing = regularInterval(lastBegins(beginsForRotation));
    if (!spacing || spacing->count() <= 0)
        return std::nullopt;
    auto period = *m_begins.back().interval;
    auto turns = (period + *spacing / 2) / *spacing;
    auto isMultiple = std::chrono::abs(period - turns * *spacing) <= toleranceOf(period);
    return turns >= 2 && isMultiple ? std::optional(period) : std::nullopt;
}

// Each pool with bursts had its first one, at equal intervals, so the first pool is expected next.
std::optional<Duration> BurstForecast::periodOfFirstRound(TimePoint now) const
{
    auto isRound = std::all_of(m_pools.begin(), m_pools.end(), [now](const auto& each) {
        const auto& [pool, state] = each;
        return state.begins.empty() ? !state.detector.mayHaveUnseenBursts(now) : state.begins.size() == 1;
    });
    if (!isRound || m_begins.size() < beginsForRotation)
        return std::nullopt;
    auto spacing = regularInterval(lastBegins(m_begins.size()));
    return spacing ? std::optional(*spacing * std::int64_t(m_begins.size())) : std::nullopt;
}

double BurstForecast::expectedCores(const PoolId& pool, TimePoint now) const
{
    auto found = m_pools.find(pool);
    if (found == m_pools.end())
        return 0;
    const auto& state = found->second;
    if (now < state.holdUntil)
        return state.cores;
    if (!state.rhythm || !state.rhythm->isAnchored)
        return 0;
    const auto& rhythm = *state.rhythm;
    auto earlyMargin
        = std::clamp<Duration>(m_meanError.value_or(initialMeanError), minEarlyMargin, maxEarlyMargin);
    if (now < rhythm.expected - m_vmLeadTime - earlyMargin || now > missedFrom(state))
        return 0;
    auto hasMissed = rhythm.misses > 0 || (rhythm.isShared && m_sharedMisses > 0);
    return state.cores * (hasMissed ? shareAfterMiss : 1);
}

bool BurstForecast::isProven(const PoolId& pool) const
{
    const auto* known = rhythm(pool);
    if (!known || !known->isAnchored || known->misses > 0)
        return false;
    return known->isShared ? m_sharedHits > 0 && m_sharedMisses == 0 : known->hits > 0;
}

const BurstRhythm* BurstForecast::rhythm(const PoolId& pool) const
{
    auto found = m_pools.find(pool);
    return found != m_pools.end() && found->second.rhythm ? &*found->second.rhythm : nullptr;
}

std::optional<BurstRecord> BurstForecast::takeRecord(TimePoint now, WallTime wallNow)
{
    if (!m_hasChanged || now < m_recordedAt + recordPause)
        return std::nullopt;
    m_hasChanged = false;
    m_recordedAt = now;
    BurstRecord record { wallNow, {} };
    for (const auto& [pool, state] : m_pools) {
        if (!state.rhythm || state.cores <= 0)
            continue;
        const auto& rhythm = *state.rhythm;
        record.pools.push_back({ pool, std::chrono::duration_cast<Millis>(rhythm.period),
            std::chrono::duration_cast<Millis>(rhythm.expected - now), state.cores, state.rate,
            rhythm.isShared, rhythm.misses });
    }
    std::sort(record.pools.begin(), record.pools.end(),
        [](const auto& a, const auto& b) { return a.cores > b.cores; });
    if (record.pools.size() > maxRecordedPools)
        record.pools.resize(maxRecordedPools);
    // Without rhythms there is nothing to store, but an earlier record must not outlive them.
    if (!std::exchange(m_hasRecord, !record.pools.empty()) && record.pools.empty())
        return std::nullopt;
    return record;
}

bool BurstForecast::restore(const BurstRecord& record, WallTime wallNow)
{
    m_hasRecord = !record.pools.empty();
    auto age = wallNow - record.writtenAt;
    auto isUsable = age <= maxRecordAge && age >= -maxClockDifference
        && std::all_of(record.pools.begin(), record.pools.end(), [](const BurstRecord::Pool& each) {
               return isPlausible(each.period) && std::chrono::abs(each.expected) <= maxPeriod * 2;
           });
    if (!isUsable)
        return false;
    for (const auto& each : record.pools) {
        auto& state = m_pools[each.pool];
        state.cores = each.cores;
        state.rate = each.rate;
        state.rhythm
            = BurstRhythm { each.period, TimePoint(each.expected), each.isShared, each.misses, 0, false };
        if (each.isShared)
            m_sharedPeriod = each.period;
    }
    return true;
}

} // namespace fulmar::jobs
