#include "bench/work_naive.h"

#include <algorithm>

namespace fulmar::bench::longwork {

namespace {

constexpr std::uint32_t startsPerTask = 10;
constexpr std::size_t lookAhead = 8;

} // namespace

void NaiveScheduler::add(TaskRecord record, Moment)
{
    auto id = record.spec.task;
    auto& queue = m_pools[record.spec.pool].queue;
    if (record.spec.urgent)
        queue.push_front(id);
    else
        queue.push_back(id);
    m_tasks.emplace(std::move(id), std::move(record));
}

void NaiveScheduler::cancel(const TaskId& id, Moment)
{
    auto& record = m_tasks.at(id);
    if (record.state == TaskState::Queued) {
        std::erase(m_pools[record.spec.pool].queue, id);
        end(record, TaskState::Cancelled);
    } else if (!isFinal(record.state)) {
        m_orders.push_back({ record.worker, id, TaskOrder::Stop, OperationId(id.value() + "/stop") });
        record.cancelRequested = true;
        m_rows.push_back(record);
    }
}

void NaiveScheduler::onReports(const std::vector<WorkerReport>& reports, Moment)
{
    for (const auto& report : reports) {
        auto [position, isNew] = m_workers.try_emplace(report.worker);
        auto& worker = position->second;
        worker.id = report.worker;
        worker.capacity = { report.processors, double(report.memoryMb), double(report.accelerators) };
        if (isNew)
            m_pools[report.pool].workers.push_back(report.worker);
        for (const auto& each : report.tasks) {
            auto& record = m_tasks.at(each.task);
            if (record.start != each.start || record.state != TaskState::Running)
                continue;
            if (each.phase == TaskPhase::Finished)
                end(record, TaskState::Finished);
            else if (each.phase == TaskPhase::Stopped)
                end(record, TaskState::Cancelled);
            else if (each.phase == TaskPhase::Failed && record.spec.idempotent
                && record.starts < startsPerTask) {
                release(record);
                record.state = TaskState::Queued;
                record.checkpoint = each.checkpoint;
                m_pools[record.spec.pool].queue.push_back(record.spec.task);
            } else if (each.phase == TaskPhase::Failed)
                end(record, TaskState::Failed);
        }
    }
}

void NaiveScheduler::release(const TaskRecord& record)
{
    if (record.state == TaskState::Running)
        m_workers.at(record.worker).reserved -= record.spec.size;
}

void NaiveScheduler::end(TaskRecord& record, TaskState state)
{
    release(record);
    record.state = state;
    m_rows.push_back(record);
}

void NaiveScheduler::plan(Moment)
{
    for (auto& [id, pool] : m_pools) {
        std::size_t position = 0;
        while (position < std::min(lookAhead, pool.queue.size()))
            if (tryPlace(pool, m_tasks.at(pool.queue[position])))
                pool.queue.erase(pool.queue.begin() + std::ptrdiff_t(position));
            else
                ++position;
    }
}

bool NaiveScheduler::tryPlace(const Pool& pool, TaskRecord& record)
{
    for (const auto& id : pool.workers) {
        auto& worker = m_workers.at(id);
        if (!fits(record.spec.size, worker.capacity - worker.reserved))
            continue;
        worker.reserved += record.spec.size;
        record.state = TaskState::Running;
        record.worker = id;
        record.start = OperationId("n" + std::to_string(++m_operations));
        ++record.starts;
        m_rows.push_back(record);
        m_starts.push_back({ id,
            { record.spec.task, record.spec.job, record.start, record.spec.size.processors,
                std::uint64_t(record.spec.size.memoryMb), 0, {}, record.checkpoint } });
        return true;
    }
    return false;
}

std::vector<RowChange> NaiveScheduler::takeRows(std::size_t max)
{
    std::vector<RowChange> rows;
    for (; !m_rows.empty() && rows.size() < max; m_rows.pop_front())
        rows.push_back({ std::move(m_rows.front()), RowPriority::Awaited, false });
    return rows;
}

std::optional<StartAction> NaiveScheduler::takeStart(TimePoint)
{
    if (m_starts.empty())
        return std::nullopt;
    auto action = std::move(m_starts.front());
    m_starts.pop_front();
    return action;
}

std::optional<OrderAction> NaiveScheduler::takeOrder()
{
    if (m_orders.empty())
        return std::nullopt;
    auto action = std::move(m_orders.front());
    m_orders.pop_front();
    return action;
}

const TaskRecord* NaiveScheduler::find(const TaskId& id) const
{
    auto position = m_tasks.find(id);
    return position == m_tasks.end() ? nullptr : &position->second;
}

} // namespace fulmar::bench::longwork
