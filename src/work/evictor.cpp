#include "work/evictor.h"

#include <cassert>

namespace fulmar::work {

namespace {

// Time allowed for the checkpoint before an eviction.
constexpr auto checkpointTimeout = std::chrono::milliseconds(1'500);
constexpr auto stopRetryInterval = std::chrono::seconds(2);
// A confirmed stop has taken effect after this time, even if a lagging report still shows the task.
constexpr auto stopGrace = std::chrono::seconds(1);

} // namespace

void Evictor::evict(Task& task, Eviction reason, const TaskId& beneficiary, Moment moment)
{
    assert(task.placed && reason != Eviction::None);
    auto isNew = task.eviction == Eviction::None;
    task.eviction = reason;
    if (isNew)
        task.evictionStartedAt = moment.now;
    m_entries.push_back({ task.id(), task.record.start, task.record.checkpoint, beneficiary });
    if (reason == Eviction::Cancelled) {
        m_registry.order(task, TaskOrder::Stop);
        task.stopUpdatedAt = moment.now;
    } else if (isNew) {
        m_registry.order(task, TaskOrder::Checkpoint);
    }
    if (beneficiary.empty())
        return;
    ++task.preemptions;
    m_registry.recordEvent("task-preempted", task, "makes room for " + beneficiary.value());
}

void Evictor::onStopped(Task& task, Moment moment)
{
    if (task.record.cancelRequested)
        m_registry.end(task, TaskState::Cancelled, "cancelled while it ran", moment);
    else if (task.eviction != Eviction::None && task.record.spec.idempotent)
        m_registry.requeue(task, "stopped to make room; continues from its checkpoint", moment);
    else
        m_registry.markLost(task, "it was stopped on its worker", moment);
}

void Evictor::onOrderResult(const OrderAction& action, const Result<void>& result, TimePoint now)
{
    auto* task = m_registry.find(action.task);
    if (!result || action.order != TaskOrder::Stop)
        return;
    if (!task || !task->placed || task->record.worker != action.worker || task->stopConfirmed)
        return;
    task->stopConfirmed = true;
    task->stopUpdatedAt = now;
}

void Evictor::step(Moment moment)
{
    std::erase_if(m_entries, [&](const Entry& entry) { return !advance(entry, moment); });
}

bool Evictor::advance(const Entry& entry, Moment moment)
{
    auto* task = m_registry.find(entry.task);
    if (!task || !task->placed || task->record.start != entry.start) {
        unblockBeneficiary(entry);
        return false;
    }
    if (!task->stopUpdatedAt) {
        auto hasCheckpoint = task->record.checkpoint != entry.checkpointBefore;
        if (!hasCheckpoint && moment.now < task->evictionStartedAt + checkpointTimeout)
            return true;
        m_registry.order(*task, TaskOrder::Stop);
        task->stopUpdatedAt = moment.now;
        return true;
    }
    if (!task->stopConfirmed && moment.now >= *task->stopUpdatedAt + stopRetryInterval) {
        m_registry.order(*task, TaskOrder::Stop);
        task->stopUpdatedAt = moment.now;
    } else if (task->stopConfirmed && task->record.spec.idempotent
        && moment.now >= *task->stopUpdatedAt + stopGrace) {
        onStopped(*task, moment);
        unblockBeneficiary(entry);
        return false;
    }
    return true;
}

void Evictor::unblockBeneficiary(const Entry& entry)
{
    if (auto* beneficiary = m_registry.find(entry.beneficiary))
        std::erase(beneficiary->awaitedEvictions, entry.task);
}

} // namespace fulmar::work
