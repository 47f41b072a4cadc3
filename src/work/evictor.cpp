#include "work/evictor.h"

#include <cassert>

namespace fulmar::work {

namespace {

// How long a task that will continue elsewhere is given for its checkpoint.
constexpr auto checkpointWait = std::chrono::milliseconds(1'500);
constexpr auto repeatStopAfter = std::chrono::seconds(2);
// A stop that the worker has confirmed has taken effect after this time, whatever its lagging report says.
constexpr auto stopGrace = std::chrono::seconds(1);

} // namespace

void Evictor::evict(Task& task, Eviction reason, const TaskId& beneficiary, Moment moment)
{
    assert(task.placed && reason != Eviction::None);
    auto isNew = task.eviction == Eviction::None;
    task.eviction = reason;
    if (isNew)
        task.evictionBegan = moment.now;
    m_entries.push_back({ task.id(), task.record.start, task.record.checkpoint, beneficiary });
    if (reason == Eviction::Cancelled) {
        m_book.order(task, TaskOrder::Stop);
        task.stopOrderedAt = moment.now;
    } else if (isNew) {
        m_book.order(task, TaskOrder::Checkpoint);
    }
    if (beneficiary.empty())
        return;
    ++task.preemptions;
    m_book.note("task-preempted", task, "makes room for " + beneficiary.value());
}

void Evictor::onStopped(Task& task, Moment moment)
{
    if (task.record.cancelRequested)
        m_book.end(task, TaskState::Cancelled, "cancelled while it ran", moment);
    else if (task.eviction != Eviction::None && task.record.spec.idempotent)
        m_book.requeue(task, "stopped to make room; continues from its checkpoint", moment);
    else
        m_book.lose(task, "it was stopped on its worker", moment);
}

void Evictor::onOrderResult(const OrderAction& action, const Result<void>& result, TimePoint now)
{
    auto* task = m_book.find(action.task);
    if (!result || action.order != TaskOrder::Stop)
        return;
    if (!task || !task->placed || task->record.worker != action.worker || task->stopConfirmed)
        return;
    task->stopConfirmed = true;
    task->stopOrderedAt = now;
}

void Evictor::step(Moment moment)
{
    std::erase_if(m_entries, [&](const Entry& entry) { return !advance(entry, moment); });
}

bool Evictor::advance(const Entry& entry, Moment moment)
{
    auto* task = m_book.find(entry.task);
    if (!task || !task->placed || task->record.start != entry.start) {
        freeBeneficiary(entry);
        return false;
    }
    if (!task->stopOrderedAt) {
        auto hasCheckpoint = task->record.checkpoint != entry.checkpointBefore;
        if (!hasCheckpoint && moment.now < task->evictionBegan + checkpointWait)
            return true;
        m_book.order(*task, TaskOrder::Stop);
        task->stopOrderedAt = moment.now;
        return true;
    }
    if (!task->stopConfirmed && moment.now >= *task->stopOrderedAt + repeatStopAfter) {
        m_book.order(*task, TaskOrder::Stop);
        task->stopOrderedAt = moment.now;
    } else if (task->stopConfirmed && task->record.spec.idempotent
        && moment.now >= *task->stopOrderedAt + stopGrace) {
        onStopped(*task, moment);
        freeBeneficiary(entry);
        return false;
    }
    return true;
}

void Evictor::freeBeneficiary(const Entry& entry)
{
    if (auto* beneficiary = m_book.find(entry.beneficiary))
        std::erase(beneficiary->waitsFor, entry.task);
}

} // namespace fulmar::work
