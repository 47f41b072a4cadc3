#include "bench/work_bench.h"
#include "bench/work_load.h"
#include "bench/work_naive.h"
#include "work/scheduler.h"

#include <algorithm>
#include <fmt/format.h>
#include <fmt/ostream.h>
#include <malloc.h>
#include <memory>
#include <random>
#include <xxhash.h>

namespace fulmar::bench {

namespace {

using namespace longwork;
using namespace fulmar::work;
using namespace std::chrono_literals;

constexpr std::uint64_t seed = 20'260;
constexpr auto tick = 100ms;
constexpr auto workTick = 500ms;
constexpr auto reportInterval = 2'000ms;
constexpr auto reportLag = 3'000ms;
constexpr std::size_t rowsPerTransaction = 256;
// A share of all tasks not yet ended is cancelled at once, at these times.
constexpr double cancelledShare = 0.1;
constexpr std::array cancellationWaves { Duration(120s), Duration(240s) };
// Figures are taken once the fleet has filled up.
constexpr auto settledAt = 60s;

struct Figures {
    double useful { 0 };
    double thrownAway { 0 };
    std::vector<double> urgentStarts;
    std::size_t urgentUnstarted { 0 };
    std::size_t starts { 0 };
    std::size_t doubled { 0 };
    std::size_t startedAfterCancel { 0 };
    std::size_t renewals { 0 };
    std::size_t rows { 0 };
    std::size_t transactions { 0 };
    double slowestWave { 0 };
    std::size_t memoryKills { 0 };
    std::size_t quarantined { 0 };
    std::size_t brokenJobs { 0 };
    std::size_t refused { 0 };
    double processorSeconds { 0 };
    double memoryMb { 0 };
    std::uint64_t signature { 0 };
};

double percentile(std::vector<double> values, double share)
{
    if (values.empty())
        return 0;
    std::sort(values.begin(), values.end());
    return values[std::min(values.size() - 1, std::size_t(double(values.size()) * share))];
}

double heapMb()
{
    const auto info = mallinfo2();
    return double(info.uordblks + info.hblkhd) / 1e6;
}

// Counts the processor time spent in the scheduler alone.
class Stopwatch {
public:
    explicit Stopwatch(double& total)
        : m_total(total)
        , m_begin(std::chrono::steady_clock::now())
    {
    }
    ~Stopwatch()
    {
        m_total += std::chrono::duration<double>(std::chrono::steady_clock::now() - m_begin).count();
    }
    Stopwatch(const Stopwatch&) = delete;
    Stopwatch& operator=(const Stopwatch&) = delete;

private:
    double& m_total;
    std::chrono::steady_clock::time_point m_begin;
};

// One run of one scheduler: feeds it the load, stores its rows one transaction per tick, and carries out its
// calls on the virtual fleet.
template <typename S> class WorkRun {
public:
    WorkRun(const WorkLoad& load, std::unique_ptr<S> scheduler)
        : m_load(load)
        , m_scheduler(std::move(scheduler))
        , m_fleet(reportLag)
        , m_random(seed)
    {
        for (std::size_t i = 0; i < load.workers.size(); ++i)
            m_fleet.addWorker(load.workers[i], load.failsEverything[i]);
    }

    Figures run(Duration time)
    {
        m_fleet.snapshot(m_now);
        m_now += reportLag;
        m_begin = m_now;
        std::size_t wave = 0;
        for (; m_now < m_begin + time; m_now += tick) {
            if (isDue(reportInterval))
                m_fleet.snapshot(m_now);
            if (isDue(workTick))
                m_fleet.advance(m_now, workTick);
            if (wave < cancellationWaves.size() && m_now >= m_begin + cancellationWaves[wave]) {
                ++wave;
                cancelSome();
            }
            round();
            if (m_now == m_begin + settledAt)
                m_before = m_fleet.workDone();
        }
        return finish(time);
    }

private:
    [[nodiscard]] bool isDue(Duration interval) const
    {
        return (m_now - m_begin) % interval == Duration::zero();
    }
    [[nodiscard]] Moment moment() const
    {
        return { m_now,
            WallTime(std::chrono::duration_cast<std::chrono::milliseconds>(m_now.time_since_epoch())) };
    }

    void round()
    {
        auto reports = m_fleet.reports(m_now);
        std::vector<RowChange> rows;
        std::vector<OrderAction> orders;
        std::vector<StartAction> starts;
        {
            Stopwatch watch(m_figures.processorSeconds);
            admit();
            // Rows taken in the last round are stored by now.
            m_scheduler->onStored(m_rows);
            m_scheduler->onReports(reports, moment());
            m_scheduler->plan(moment());
            rows = m_scheduler->takeRows(rowsPerTransaction);
            while (auto action = m_scheduler->takeOrder())
                orders.push_back(std::move(*action));
            while (auto action = m_scheduler->takeStart(m_now))
                starts.push_back(std::move(*action));
            renew();
        }
        settleWave(rows);
        m_figures.rows += rows.size();
        m_figures.transactions += rows.empty() ? 0 : 1;
        m_rows = std::move(rows);
        for (const auto& action : orders) {
            m_fleet.order(action.worker, action.task, action.order, m_now);
            m_scheduler->onOrderResult(action, {}, m_now);
        }
        for (const auto& action : starts)
            start(action);
        if constexpr (requires { m_scheduler->takeEvents(); })
            for (const auto& event : m_scheduler->takeEvents())
                m_figures.brokenJobs += event.kind == "job-broken";
    }

    void renew()
    {
        if constexpr (requires { m_scheduler->takeRenewal(m_now); })
            while (auto action = m_scheduler->takeRenewal(m_now)) {
                ++m_figures.renewals;
                m_scheduler->onRenewResult(*action, {}, m_now);
            }
    }

    // Accepted tasks reach the scheduler with their row stored; their acceptance takes a part of each batch.
    void admit()
    {
        std::size_t count = 0;
        for (; m_next < m_load.arrivals.size() && count < rowsPerTransaction; ++m_next, ++count) {
            const auto& arrival = m_load.arrivals[m_next];
            if (m_begin + arrival.at > m_now)
                break;
            m_fleet.addTask(arrival.spec.task, arrival.truth);
            TaskRecord record;
            record.spec = arrival.spec;
            record.accepted = moment().wallNow;
            if constexpr (requires { m_scheduler->admit(record.spec, m_now); })
                if (!m_scheduler->admit(record.spec, m_now)) {
                    ++m_figures.refused;
                    continue;
                }
            m_scheduler->add(std::move(record), moment());
            if (arrival.spec.urgent)
                m_urgent.emplace(arrival.spec.task, m_now);
        }
        m_figures.rows += count;
    }

    void start(const StartAction& action)
    {
        const auto& id = action.start.task;
        const auto* record = m_scheduler->find(id);
        m_figures.startedAfterCancel += m_confirmedCancels.contains(id);
        m_fleet.start(action.worker, action.start, m_now);
        m_scheduler->onStartResult(action, {}, moment());
        ++m_figures.starts;
        m_figures.doubled += !record->spec.idempotent && m_fleet.startsOf(id) > 1;
        auto fact
            = fmt::format("{}>{}@{}", id.value(), action.worker.value(), m_now.time_since_epoch().count());
        m_figures.signature = XXH64(fact.data(), fact.size(), m_figures.signature);
        if (auto urgent = m_urgent.find(id); urgent != m_urgent.end()) {
            m_figures.urgentStarts.push_back(std::chrono::duration<double>(m_now - urgent->second).count());
            m_urgent.erase(urgent);
        }
    }

    void cancelSome()
    {
        std::uniform_real_distribution<> share(0, 1);
        m_waveAt = m_now;
        for (std::size_t i = 0; i < m_next; ++i) {
            const auto& id = m_load.arrivals[i].spec.task;
            const auto* record = m_scheduler->find(id);
            if (share(m_random) >= cancelledShare || !record || isFinal(record->state))
                continue;
            m_fleet.onCancelled(id);
            m_urgent.erase(id);
            m_waveTasks.insert(id);
            Stopwatch watch(m_figures.processorSeconds);
            (void)m_scheduler->cancel(id, moment());
        }
    }

    // A cancellation is confirmed once its row is stored.
    void settleWave(const std::vector<RowChange>& rows)
    {
        for (const auto& row : rows) {
            if (m_waveTasks.erase(row.record.spec.task) == 0)
                continue;
            m_confirmedCancels.insert(row.record.spec.task);
            m_figures.slowestWave
                = std::max(m_figures.slowestWave, std::chrono::duration<double>(m_now - m_waveAt).count());
        }
    }

    Figures finish(Duration time)
    {
        auto done = m_fleet.workDone();
        auto possible = m_load.capacity.processors * std::chrono::duration<double>(time - settledAt).count();
        m_figures.useful = (done.useful - m_before.useful) / possible;
        m_figures.thrownAway = (done.thrownAway - m_before.thrownAway)
            / (done.thrownAway - m_before.thrownAway + done.useful - m_before.useful);
        for (const auto& [id, since] : m_urgent) {
            // An urgent task that still waits has waited at least until now.
            ++m_figures.urgentUnstarted;
            m_figures.urgentStarts.push_back(std::chrono::duration<double>(m_now - since).count());
        }
        m_figures.memoryKills = m_fleet.memoryKills();
        m_figures.quarantined = m_scheduler->quarantinedCount();
        auto before = heapMb();
        m_scheduler.reset();
        m_figures.memoryMb = before - heapMb();
        return std::move(m_figures);
    }

    const WorkLoad& m_load;
    std::unique_ptr<S> m_scheduler;
    VirtualFleet m_fleet;
    std::mt19937_64 m_random;
    TimePoint m_now { 1'000s };
    TimePoint m_begin {};
    TimePoint m_waveAt {};
    std::size_t m_next { 0 };
    std::vector<RowChange> m_rows;
    std::map<TaskId, TimePoint> m_urgent;
    std::set<TaskId> m_waveTasks;
    std::set<TaskId> m_confirmedCancels;
    WorkDone m_before;
    Figures m_figures;
};

void print(std::ostream& out, const char* name, std::size_t workers, const Figures& figures)
{
    fmt::print(out,
        "work {:>5} workers {:<8} useful {:5.3f} thrown-away {:5.3f} urgent-starts {} p50 {:6.1f} s p99 "
        "{:6.1f} "
        "s "
        "max {:6.1f} s unstarted {} starts {} doubled {} started-after-cancel {} wave-settled {:4.1f} s "
        "memory-kills {} quarantined {} broken-jobs {} refused {} signature {:016x}\n",
        workers, name, figures.useful, figures.thrownAway, figures.urgentStarts.size(),
        percentile(figures.urgentStarts, 0.5), percentile(figures.urgentStarts, 0.99),
        percentile(figures.urgentStarts, 1), figures.urgentUnstarted, figures.starts, figures.doubled,
        figures.startedAfterCancel, figures.slowestWave, figures.memoryKills, figures.quarantined,
        figures.brokenJobs, figures.refused, figures.signature);
}

void printCost(
    std::ostream& out, const char* name, std::size_t workers, const Figures& figures, Duration time)
{
    auto seconds = std::chrono::duration<double>(time).count();
    fmt::print(out,
        "work-cost {:>5} workers {:<8} placements/s {:.0f} processor {:.2f}% memory {:.1f} MB "
        "transactions/s {:.1f} rows/s {:.0f} "
        "renewal-calls/s {:.0f}\n",
        workers, name, double(figures.starts) / std::max(figures.processorSeconds, 1e-9),
        100 * figures.processorSeconds / seconds, figures.memoryMb, double(figures.transactions) / seconds,
        double(figures.rows) / seconds, double(figures.renewals) / seconds);
}

std::unique_ptr<Scheduler> makeScheduler(const WorkLoad& load, const SchedulerSettings& settings)
{
    auto scheduler = std::make_unique<Scheduler>(settings, "bench");
    for (const auto& team : load.teams)
        scheduler->setQuota(team);
    return scheduler;
}

// The present scheduler without one of its parts at a time, and with a reserve in place of preemption.
std::uint64_t compareWays(std::ostream& out, std::uint64_t signature)
{
    constexpr WorkLoadSize size { 520, 20, 59, 200s };
    const auto load = makeWorkLoad(size, seed);
    SchedulerSettings orderOnly;
    orderOnly.preempts = false;
    auto reserve = orderOnly;
    reserve.urgentReserve = 0.1;
    SchedulerSettings declared;
    declared.learnsSizes = false;
    SchedulerSettings unjudged;
    unjudged.detectsFaults = false;
    const std::array ways { std::pair("order", orderOnly), std::pair("reserve", reserve),
        std::pair("declared", declared), std::pair("unjudged", unjudged) };
    for (const auto& [name, settings] : ways) {
        auto figures = WorkRun(load, makeScheduler(load, settings)).run(size.time);
        print(out, name, size.workers, figures);
        signature = XXH64(&figures.signature, sizeof figures.signature, signature);
    }
    return signature;
}

// How long a new owner takes over a shard of the design size, from rows in memory.
void printRebuild(std::ostream& out)
{
    constexpr std::size_t taskCount = 80'000;
    std::vector<std::string> rows;
    rows.reserve(taskCount);
    for (std::size_t i = 0; i < taskCount; ++i) {
        TaskRecord record;
        record.spec.task = TaskId(fmt::format("t{}", i));
        record.spec.pool = PoolId(fmt::format("pool{}", i % 202));
        record.spec.team = TeamId(fmt::format("team{}", i % 590));
        record.spec.job = JobId(fmt::format("job{}", i % 8'080));
        record.state = i % 2 == 0 ? TaskState::Queued : TaskState::Starting;
        record.start = OperationId(i % 2 == 0 ? "" : fmt::format("control-1-1234/s{}", i));
        record.worker = VmId(i % 2 == 0 ? "" : fmt::format("w{}", i % 5'200));
        rows.push_back(encode(record));
    }
    double seconds = 0;
    {
        Stopwatch watch(seconds);
        Scheduler scheduler(SchedulerSettings {}, "bench");
        for (const auto& row : rows)
            scheduler.add(*decodeTask(row), { TimePoint { 1'000s }, {} });
    }
    fmt::print(out, "work-cost rebuild of {} tasks from rows {:.2f} s, row {} bytes\n", taskCount, seconds,
        rows.back().size());
}

} // namespace

void runWorkBench(std::ostream& out)
{
    constexpr std::array sizes { WorkLoadSize { 50, 2, 6, 400s }, WorkLoadSize { 520, 20, 59, 400s },
        WorkLoadSize { 5'200, 202, 590, 140s } };
    std::uint64_t signature = 0;
    for (const auto& size : sizes) {
        const auto load = makeWorkLoad(size, seed);
        auto naive = WorkRun(load, std::make_unique<NaiveScheduler>()).run(size.time);
        auto present = WorkRun(load, makeScheduler(load, {})).run(size.time);
        print(out, "naive", size.workers, naive);
        print(out, "present", size.workers, present);
        printCost(out, "naive", size.workers, naive, size.time);
        printCost(out, "present", size.workers, present, size.time);
        signature = XXH64(&naive.signature, sizeof naive.signature, signature);
        signature = XXH64(&present.signature, sizeof present.signature, signature);
    }
    signature = compareWays(out, signature);
    printRebuild(out);
    fmt::print(out, "work signature {:016x}\n", signature);
}

} // namespace fulmar::bench
