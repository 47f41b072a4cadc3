#include "work/submission_batcher.h"

#include <algorithm>
#include <fmt/format.h>

namespace fulmar::work {

SubmissionBatcher::SubmissionBatcher(std::size_t capacity)
    : m_capacity(capacity)
{
}

void SubmissionBatcher::submit(SubmitTask submission, WallTime wallNow)
{
    const auto& id = submission.spec.task;
    if (auto position = m_submissions.find(id); position != m_submissions.end()) {
        // A repeated submission gets the answer of the first.
        if (position->second.record.spec == submission.spec) {
            position->second.replies.push_back(std::move(submission.done));
            position->second.deadline = std::max(position->second.deadline, submission.deadline);
        } else {
            submission.done(notRun(Reason::Conflict, "a different task with the same id is being submitted"));
        }
        return;
    }
    if (m_submissions.size() >= m_capacity) {
        submission.done(notRun(Reason::Overloaded, "too many submissions wait to be stored"));
        return;
    }
    m_waiting.push_back(id);
    Submission entry;
    entry.record.spec = submission.spec;
    entry.record.accepted = wallNow;
    entry.record.changed = wallNow;
    entry.deadline = submission.deadline;
    entry.replies.push_back(std::move(submission.done));
    m_submissions.emplace(submission.spec.task, std::move(entry));
}

std::vector<TaskRecord> SubmissionBatcher::takeBatch(std::size_t max)
{
    std::vector<TaskRecord> batch;
    while (batch.size() < max && !m_waiting.empty()) {
        auto position = m_submissions.find(m_waiting.front());
        m_waiting.pop_front();
        if (position == m_submissions.end() || position->second.inBatch)
            continue;
        position->second.inBatch = true;
        batch.push_back(position->second.record);
    }
    return batch;
}

void SubmissionBatcher::onCommitted(const std::vector<TaskRecord>& batch)
{
    for (const auto& record : batch)
        if (auto node = m_submissions.extract(record.spec.task))
            answer(node.mapped(), record);
}

// Drops submissions that passed their deadline; their callers already got MayHaveRun.
void SubmissionBatcher::onNotCommitted(const std::vector<TaskRecord>& batch)
{
    std::deque<TaskId> waiting;
    for (const auto& record : batch) {
        auto position = m_submissions.find(record.spec.task);
        if (position == m_submissions.end())
            continue;
        if (position->second.replies.empty()) {
            m_submissions.erase(position);
            continue;
        }
        position->second.inBatch = false;
        waiting.push_back(record.spec.task);
    }
    m_waiting.insert(m_waiting.begin(), waiting.begin(), waiting.end());
}

void SubmissionBatcher::expire(TimePoint now)
{
    for (auto position = m_submissions.begin(); position != m_submissions.end();) {
        auto& submission = position->second;
        if (now < submission.deadline || submission.replies.empty()) {
            ++position;
            continue;
        }
        answer(
            submission, failureOf(submission, Reason::StoreUnavailable, "the table did not answer in time"));
        position = submission.inBatch ? std::next(position) : m_submissions.erase(position);
    }
}

void SubmissionBatcher::abandon(const std::string& cause)
{
    for (auto& [id, submission] : m_submissions)
        answer(submission, failureOf(submission, Reason::LeaseLost, cause));
    m_submissions.clear();
    m_waiting.clear();
}

void SubmissionBatcher::answer(Submission& submission, const Result<TaskRecord>& result)
{
    for (auto& reply : submission.replies)
        reply(result);
    submission.replies.clear();
}

Result<TaskRecord> SubmissionBatcher::failureOf(
    const Submission& submission, Reason reason, const std::string& cause)
{
    const auto& id = submission.record.spec.task.value();
    if (submission.inBatch)
        return mayHaveRun(
            reason, fmt::format("task {} may have been accepted: {}; query its status", id, cause));
    return notRun(reason, fmt::format("task {} was not accepted: {}", id, cause));
}

} // namespace fulmar::work
