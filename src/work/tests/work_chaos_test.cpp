#include "work_fakes.h"

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>
#include <rapidcheck/boost_test.h>
#include <set>

using namespace fulmar;
using namespace fulmar::work;
using namespace fulmar::test;
using namespace std::chrono_literals;

namespace {

WorkSettings declaredSizesOnly()
{
    WorkSettings settings;
    settings.scheduler.learnsSizes = false;
    return settings;
}

// Injects lease lapses, changes of owner, lost replies, outages, dead workers, submissions and cancellations
// at random, then repairs everything and collects violations of invariants.
class ChaosRun {
public:
    ChaosRun(std::uint64_t seed, Defect defect)
        : m_random(seed)
        , m_cluster(4, declaredSizesOnly())
    {
        m_cluster.platform.defect = defect;
        m_cluster.workers.defect = defect;
        m_cluster.platform.random = &m_random;
        m_cluster.workers.random = &m_random;
        m_cluster.workers.onStart
            = [this](const VmId& worker, const TaskStart& start) { checkStart(worker, start); };
    }

    std::vector<std::string> run()
    {
        for (int round = 0; round < 60; ++round) {
            act();
            m_cluster.run(Duration(std::uniform_int_distribution<>(0, 3'000'000)(m_random)));
            if (m_cluster.pausedDuty)
                m_cluster.pausedDuty->step();
        }
        repairAll();
        for (const auto& [id, reply] : m_submitted)
            checkEnd(id, reply);
        return m_violations;
    }

private:
    int pick(int count) { return std::uniform_int_distribution<>(0, count - 1)(m_random); }

    void act()
    {
        switch (pick(10)) {
        case 0:
        case 1:
        case 2:
            return submitSome();
        case 3:
            if (auto id = fmt::format("t{}", pick(m_next + 1)); m_submitted.contains(id))
                m_cancelled[id] = m_cluster.cancel(id);
            return;
        case 4:
            return m_cluster.changeOwner();
        case 5:
            m_cluster.platform.available = !m_cluster.platform.available;
            return;
        case 6:
            m_cluster.platform.faultProbability = m_cluster.workers.faultProbability = pick(3) * 0.15;
            return;
        case 8:
            m_cluster.lease->isHeld = !m_cluster.lease->isHeld;
            return;
        case 7:
            return m_cluster.workers.endAll(pick(2) == 0 ? TaskPhase::Finished : TaskPhase::Failed);
        default:
            auto worker = std::next(m_cluster.workers.machines.begin(), pick(4));
            worker->second.live = !worker->second.live;
        }
    }

    void submitSome()
    {
        for (int i = pick(8); i >= 0; --i) {
            auto spec = taskSpec(fmt::format("t{}", m_next++), 1 + pick(6), pick(2) == 0);
            spec.urgent = pick(4) == 0;
            spec.job = JobId(fmt::format("job{}", pick(5)));
            m_submitted[spec.task.value()] = m_cluster.submit(spec);
        }
    }

    // Restores the table, the lease and the workers, then lets all running tasks finish.
    void repairAll()
    {
        m_cluster.platform.available = true;
        m_cluster.lease->isHeld = true;
        m_cluster.platform.faultProbability = m_cluster.workers.faultProbability = 0;
        for (auto& [id, worker] : m_cluster.workers.machines)
            worker.live = true;
        for (int i = 0; i < 40; ++i) {
            m_cluster.run(5s);
            m_cluster.workers.finishAll();
        }
        m_cluster.run(60s);
        if (m_cluster.pausedDuty)
            m_cluster.pausedDuty->shutDown();
    }

    void checkStart(const VmId& worker, const TaskStart& start)
    {
        const auto& id = start.task.value();
        Resources used { start.processors, double(start.memoryMb), 0 };
        for (const auto& [operation, run] : m_cluster.workers.runs) {
            auto isActive = FakeWorkers::isActive(run) && run.leaseUntil >= m_cluster.clock.now();
            if (run.worker == worker && isActive)
                used += run.size;
        }
        if (used.processors > 16 + resourceTolerance)
            m_violations.push_back("overcommitted " + worker.value());
        if (m_cluster.workers.startsOf(id) > 1 && !isIdempotent(id))
            m_violations.push_back("started twice: " + id);
        if (auto cancel = m_cancelled.find(id);
            cancel != m_cancelled.end() && cancel->second->has_value() && (*cancel->second)->has_value())
            m_violations.push_back("started after its cancellation was confirmed: " + id);
    }

    bool isIdempotent(const std::string& id)
    {
        for (const auto& row : m_cluster.platform.table.read("task/0/" + id, 0).rows)
            if (auto record = decodeTask(row.value); record && record->spec.task.value() == id)
                return record->spec.idempotent;
        return false;
    }

    void checkEnd(const std::string& id, const TestCluster::Reply& reply)
    {
        if (!reply->has_value()) {
            m_violations.push_back("never answered: " + id);
            return;
        }
        auto status = m_cluster.duty->status(TaskId(id));
        if ((*reply)->has_value() && (!status || !isFinal(status->state)))
            m_violations.push_back("accepted and lost: " + id);
        auto isRefused = !(*reply)->has_value() && (*reply)->error().outcome == Outcome::NotRun;
        if (isRefused && m_cluster.workers.startsOf(id) > 0)
            m_violations.push_back("refused and run: " + id);
    }

    std::mt19937_64 m_random;
    TestCluster m_cluster;
    int m_next { 0 };
    std::map<std::string, TestCluster::Reply> m_submitted;
    std::map<std::string, TestCluster::Reply> m_cancelled;
    std::vector<std::string> m_violations;
};

bool isDetected(Defect defect, const std::string& violation)
{
    for (std::uint64_t seed = 1; seed <= 40; ++seed)
        for (const auto& each : ChaosRun(seed, defect).run())
            if (each.starts_with(violation))
                return true;
    return false;
}

} // namespace

BOOST_AUTO_TEST_SUITE(WorkChaos)

// Every submission is answered, no accepted task is lost, no refused task runs, no task starts after its
// cancellation was confirmed, no task that is not idempotent starts twice, and no worker is overcommitted.
RC_BOOST_PROP(InvariantsHoldUnderRandomFaults, (std::uint64_t seed))
{
    auto violations = ChaosRun(seed, Defect::None).run();
    for (const auto& violation : violations)
        RC_LOG() << violation << '\n';
    RC_ASSERT(violations.empty());
}

BOOST_AUTO_TEST_CASE(InjectedDefectsAreDetected)
{
    BOOST_TEST(isDetected(Defect::ForgetsStarts, "started twice"));
    BOOST_TEST(isDetected(Defect::DropsWrites, "accepted and lost"));
    BOOST_TEST(isDetected(Defect::ForgetsCancels, "started after"));
    BOOST_TEST(isDetected(Defect::InflatesWorkers, "overcommitted"));
}

BOOST_AUTO_TEST_SUITE_END()
