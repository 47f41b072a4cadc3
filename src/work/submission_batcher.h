#pragma once

#include "core/clock.h"
#include "core/verdict.h"
#include "work/task.h"

#include <deque>
#include <functional>
#include <string>
#include <unordered_map>
#include <vector>

namespace fulmar::work {

using TaskReply = std::function<void(Result<TaskRecord>)>;

// A submission to be stored in the table. `done` is called exactly once, on the duty's thread.
struct SubmitTask {
    TaskSpec spec;
    TimePoint deadline {};
    TaskReply done;
};

// Groups submissions into batches and answers each when its outcome is known: accepted only when its row is
// known to be stored; NotRun when it is known not to be; MayHaveRun when its deadline passes while the
// outcome of its batch is unknown. Does no I/O.
class SubmissionBatcher {
public:
    // `capacity` is the maximum number of unanswered submissions.
    explicit SubmissionBatcher(std::size_t capacity);

    // Queues the submission, or refuses it at once with Overloaded, or with Conflict if a different task with
    // the same id is queued.
    void submit(SubmitTask, WallTime wallNow);

    // Takes the oldest queued records for the next batch. Their outcome stays open until onCommitted,
    // onNotCommitted or abandon.
    [[nodiscard]] std::vector<TaskRecord> takeBatch(std::size_t max);

    // The batch is stored: answers its submissions as accepted.
    void onCommitted(const std::vector<TaskRecord>&);
    // The batch is known not to be stored: its submissions go to the front of the queue.
    void onNotCommitted(const std::vector<TaskRecord>&);

    // Answers submissions whose deadline has passed.
    void expire(TimePoint now);

    // Ownership is lost: answers all submissions, with MayHaveRun for those in a batch and NotRun for the
    // others.
    void abandon(const std::string& cause);

    [[nodiscard]] std::size_t size() const { return m_submissions.size(); }

private:
    struct Submission {
        TaskRecord record;
        TimePoint deadline {};
        std::vector<TaskReply> replies;
        bool inBatch { false };
    };

    static void answer(Submission&, const Result<TaskRecord>&);
    static Result<TaskRecord> failureOf(const Submission&, Reason, const std::string& cause);

    const std::size_t m_capacity;
    std::unordered_map<TaskId, Submission> m_submissions;
    std::deque<TaskId> m_waiting;
};

} // namespace fulmar::work
