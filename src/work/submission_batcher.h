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

// A submission on its way to the table. `done` is called exactly once, on the duty's thread.
struct SubmitTask {
    TaskSpec spec;
    TimePoint deadline {};
    TaskReply done;
};

// Collects submissions into batches and answers each one once its fate is known: accepted only when its row
// is known to be stored; NotRun when it is proven not to be; MayHaveRun when its deadline passes while its
// batch is unsettled. Pure.
class SubmissionBatcher {
public:
    // `capacity` submissions may wait at once.
    explicit SubmissionBatcher(std::size_t capacity);

    // Refuses at once (Overloaded, or Conflict with a different task of the same id), or takes it in.
    void submit(SubmitTask, WallTime wallNow);

    // Waiting records for the next batch, oldest first. They stay unsettled until one of the calls below.
    [[nodiscard]] std::vector<TaskRecord> takeBatch(std::size_t max);

    // The batch is stored: answers its submissions.
    void onCommitted(const std::vector<TaskRecord>&);
    // The batch is proven not to be stored: its submissions wait for the next one.
    void onNotCommitted(const std::vector<TaskRecord>&);

    // Answers submissions whose deadline has passed.
    void expire(TimePoint now);

    // Ownership is lost: answers everything, truthfully.
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
