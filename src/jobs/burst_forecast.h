#pragma once

#include "jobs/burst_detector.h"
#include "jobs/job.h"

#include <deque>
#include <map>
#include <optional>

namespace fulmar::jobs {

// When a pool's next burst is expected.
struct BurstRhythm {
    Duration period { 0 };
    TimePoint expected;
    // The period is that of a rotation of several pools, not learned from this pool's bursts alone.
    bool isShared { false };
    // Consecutive expected bursts that did not come.
    std::uint32_t misses { 0 };
    // Expected bursts that came.
    std::uint32_t hits { 0 };
    // False after a change of holder, until a burst has shown at what time the next ones are due.
    bool isAnchored { true };
};

// What the next holder of the shard needs of a forecast. Times are relative to a common origin, which has no
// meaning of its own, so the holders' clocks do not matter.
struct BurstRecord {
    struct Pool {
        PoolId pool;
        Millis period { 0 };
        Millis expected { 0 };
        double cores { 0 };
        double rate { 0 };
        bool isShared { false };
        std::uint32_t misses { 0 };
    };
    // For the row's age only.
    WallTime writtenAt;
    std::vector<Pool> pools;
};

// Learns when the pools' bursts return, so that VMs can be ordered before. Load pattern: the queues take
// turns; in its turn a queue asks for several times its mean, in between for almost nothing. A moved VM takes
// two seconds until it works, longer than short jobs can wait.
//
// A burst is predicted only on one of these kinds of evidence; bursts at random times show one before fewer
// than a tenth of their bursts:
// - the pool's last four bursts began at equal intervals;
// - the last three bursts came each an equal interval after the earlier burst of their pool;
// - the last four bursts began at equal intervals, and the last pool's own interval is a multiple of that;
// - all pools with bursts, four or more, had one burst each, at equal intervals.
// The last three give one period for all pools. Two expected bursts in a row that do not come discard it.
class BurstForecast {
public:
    // `vmLeadTime`: from the order of a VM until it works.
    explicit BurstForecast(Duration vmLeadTime)
        : m_vmLeadTime(vmLeadTime)
    {
    }

    // A job that was submitted for the first time; `work` is in core-milliseconds.
    void recordArrival(const PoolId&, double work, TimePoint now);
    // Called several times a second.
    void update(TimePoint now);

    // Cores that the pool should have now because of its next burst, or of one that has just begun; 0 if
    // none is due.
    [[nodiscard]] double expectedCores(const PoolId&, TimePoint now) const;
    // The forecast has proved right and VMs are ordered in time, so none need be kept between bursts.
    [[nodiscard]] bool isProven(const PoolId&) const;
    [[nodiscard]] const BurstRhythm* rhythm(const PoolId&) const;

    // The record to store, if the forecast has changed and the last record is old enough.
    [[nodiscard]] std::optional<BurstRecord> takeRecord(TimePoint now, WallTime wallNow);
    // False if the record is too old, or was written after `wallNow`.
    [[nodiscard]] bool restore(const BurstRecord&, WallTime wallNow);

    struct Counts {
        std::uint64_t hits { 0 };
        std::uint64_t misses { 0 };
    };
    [[nodiscard]] const Counts& counts() const { return m_counts; }

private:
    struct PoolState {
        BurstDetector detector;
        // Of its bursts, the newest weighing most: cores that one keeps busy, and arrivals per second.
        double cores { 0 };
        double rate { 0 };
        // Begins of its last bursts, the latest last.
        std::deque<TimePoint> begins;
        std::optional<BurstRhythm> rhythm;
        // VMs that were ordered for a burst are not given back before its demand is measured.
        TimePoint holdUntil;
    };
    struct Begin {
        PoolId pool;
        TimePoint at;
        // Since the pool's burst before.
        std::optional<Duration> interval;
    };
    void onBegin(const PoolId&, PoolState&, TimePoint begin, TimePoint now);
    // Whether the burst came when it was expected.
    void judge(const PoolId&, PoolState&, TimePoint begin, TimePoint now);
    // The burst shows when the next ones are due: of the pool or, with a shared period, of all such pools.
    void anchor(PoolState&, TimePoint begin, TimePoint now);
    void loseAnchors();
    void checkForMiss(const PoolId&, PoolState&, TimePoint now);
    void countMiss(const PoolId&, PoolState&, std::string_view why);
    void learn(const PoolId&, PoolState&, TimePoint now);
    [[nodiscard]] std::optional<Duration> findSharedPeriod(TimePoint now) const;
    [[nodiscard]] std::vector<TimePoint> lastBegins(std::size_t count) const;
    [[nodiscard]] std::optional<Duration> periodOfReturns() const;
    [[nodiscard]] std::optional<Duration> periodOfRotation() const;
    [[nodiscard]] std::optional<Duration> periodOfFirstRound(TimePoint now) const;
    void dropShared();
    [[nodiscard]] bool isOnTime(const BurstRhythm&, TimePoint begin) const;
    // How long after its expected begin a burst counts as on time.
    [[nodiscard]] Duration lateMargin() const;
    // When a burst that has not been noticed did not come on time.
    [[nodiscard]] TimePoint missedFrom(const PoolState&) const;

    const Duration m_vmLeadTime;
    std::map<PoolId, PoolState> m_pools;
    // The last bursts of all pools, the latest last.
    std::deque<Begin> m_begins;
    std::optional<Duration> m_sharedPeriod;
    // Of all pools with the shared period, as the counts of BurstRhythm.
    std::uint32_t m_sharedMisses { 0 };
    std::uint32_t m_sharedHits { 0 };
    // Mean absolute error of the expected times; see initialMeanError.
    std::optional<Duration> m_meanError;
    TimePoint m_updatedAt;
    // Updates came without a longer pause since then.
    TimePoint m_observedSince;
    bool m_hasChanged { false };
    bool m_hasRecord { false };
    TimePoint m_recordedAt;
    Counts m_counts;
};

} // namespace fulmar::jobs
