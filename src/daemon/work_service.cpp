#include "daemon/work_service.h"

#include "io/http_answers.h"
#include "operate/config_change.h"
#include "operate/work_facts.h"

#include <fmt/format.h>
#include <future>

namespace fulmar {

namespace {

constexpr std::size_t maxRequests = 8'192;
constexpr std::chrono::milliseconds callDeadline { 3'000 };
constexpr std::chrono::milliseconds callWaitTimeout { 3'500 };
constexpr std::chrono::milliseconds listTimeout { 500 };
constexpr std::size_t maxListedTasks = 2'000;
constexpr std::chrono::milliseconds forwardTimeout { 4'000 };

TaskAnswer toAnswer(const TaskCall& call, const Result<work::TaskRecord>& result)
{
    if (result)
        return { {}, call.method == "POST" ? 201U : 200U, Outcome::Ran, describe(*result) };
    auto problem = problemAnswer(result.error(), {});
    return { {}, problem.status, result.error().outcome, std::move(problem.body) };
}

// The shard's workers and tasks as JSON for operators. Lists at most maxListedTasks tasks, unfinished ones
// first.
std::string describeWork(const work::Scheduler& scheduler)
{
    std::vector<operate::WorkerFact> workers;
    for (const auto& [id, worker] : scheduler.registry().fleet().workers())
        workers.push_back({ id, worker.pool, worker.zone, worker.rack,
            worker.leaving    ? "leaving"
                : worker.live ? "live"
                              : "gone",
            std::uint32_t(worker.tasks.size()), worker.capacity.processors,
            std::uint64_t(worker.capacity.memoryMb),
            worker.maintenanceAt ? "no new tasks: maintenance or quarantine" : "" });
    std::vector<operate::TaskFact> tasks;
    for (bool ended : { false, true })
        for (const auto& [id, task] : scheduler.registry().tasks()) {
            const auto& record = task.record;
            if (work::isFinal(record.state) == ended && tasks.size() < maxListedTasks)
                tasks.push_back({ id, record.spec.job, record.spec.team, record.spec.pool,
                    std::string(toString(record.state)), record.worker, record.starts, record.changed,
                    record.detail });
        }
    return operate::encodeWorkFacts(workers, tasks);
}

} // namespace

WorkService::WorkService(const work::WorkSettings& settings, const HttpPlatformOptions& platform,
    Distribution& distribution, EventLog& events)
    : m_distribution(distribution)
    , m_platform(platform)
    , m_keeper(m_platform, m_clock, "work", 1, distribution.self().process)
    , m_lease(m_keeper)
    , m_duty(settings, distribution.self().process, m_platform, m_platform, m_clock, m_lease, events)
    , m_requests(maxRequests)
{
}

void WorkService::step()
{
    m_keeper.step();
    {
        std::lock_guard lock(m_mutex);
        m_owner = m_keeper.holder(0);
    }
    while (auto request = m_requests.tryPop())
        (*request)();
    applyConfigChanges();
    m_duty.step();
}

// Passes the duty changed rows (quotas, VMs that are not serving) and workers that operators have
// quarantined.
void WorkService::applyConfigChanges()
{
    if (m_distribution.version() == m_configVersion)
        return;
    auto changes = m_distribution.changesSince(m_configVersion);
    m_configVersion = changes.tableVersion;
    for (const auto& row : changes.rows) {
        m_duty.onConfig(row);
        constexpr std::string_view quarantine = operate::quarantinePrefix;
        if (!row.key.starts_with(quarantine))
            continue;
        VmId worker(row.key.substr(quarantine.size()));
        m_duty.setMaintenance(worker, row.deleted ? std::nullopt : std::optional(m_clock.now()));
    }
}

void WorkService::shutDown() { m_duty.shutDown(); }

ProcessId WorkService::owner() const
{
    std::lock_guard lock(m_mutex);
    return m_owner;
}

void WorkService::dispatchCall(const TaskCall& call, work::TaskReply done)
{
    auto deadline = m_clock.now() + callDeadline;
    if (call.method == "POST") {
        auto spec = work::parseSubmission(call.task, call.body);
        if (!spec)
            return done(tl::unexpected(spec.error()));
        return m_duty.submit({ std::move(*spec), deadline, std::move(done) });
    }
    if (call.method == "GET")
        return done(m_duty.status(call.task));
    if (call.method == "DELETE")
        return m_duty.cancel({ call.task, deadline, std::move(done) });
    done(notRun(Reason::BadInput, "unsupported method: tasks accept POST, GET and DELETE"));
}

Result<work::TaskRecord> WorkService::callLocally(const TaskCall& call)
{
    auto promise = std::make_shared<std::promise<Result<work::TaskRecord>>>();
    auto answer = promise->get_future();
    auto reply = [promise](Result<work::TaskRecord> result) { promise->set_value(std::move(result)); };
    if (!m_requests.tryPush([this, call, reply] { dispatchCall(call, reply); }))
        return notRun(Reason::Overloaded, "the queue of task requests is full");
    if (answer.wait_for(callWaitTimeout) != std::future_status::ready)
        return mayHaveRun(
            Reason::DeadlineExceeded, "the work duty did not answer in time; query the task's status");
    return answer.get();
}

std::optional<TaskAnswer> WorkService::listLocally()
{
    auto promise = std::make_shared<std::promise<std::string>>();
    auto answer = promise->get_future();
    bool wasPushed = m_requests.tryPush([this, promise] {
        promise->set_value(m_duty.owns() ? describeWork(*m_duty.scheduler()) : std::string());
    });
    if (!wasPushed || answer.wait_for(listTimeout) != std::future_status::ready)
        return TaskAnswer { {}, 503, Outcome::NotRun, "{}" };
    auto text = answer.get();
    if (text.empty())
        return std::nullopt;
    return TaskAnswer { {}, 200, Outcome::Ran, std::move(text) };
}

TaskAnswer WorkService::call(const TaskCall& call, PeerClient& client)
{
    if (call.method == "LIST")
        if (auto listed = listLocally())
            return std::move(*listed);
    auto result = call.method == "LIST"
        ? notRun(Reason::LeaseLost, "the task shard is owned by another process")
        : callLocally(call);
    if (result || result.error().reason != Reason::LeaseLost || result.error().outcome != Outcome::NotRun)
        return toAnswer(call, result);
    auto holder = m_distribution.find(owner());
    if (!holder || holder->process == m_distribution.self().process)
        return toAnswer(call, result);
    auto promise = std::make_shared<std::promise<Result<TaskAnswer>>>();
    client.callTask(holder->address, call, forwardTimeout,
        [promise](Result<TaskAnswer> answer) { promise->set_value(std::move(answer)); });
    if (auto answer = promise->get_future().get())
        return *answer;
    else
        return toAnswer(call, tl::unexpected(answer.error()));
}

} // namespace fulmar
