#pragma once

#include "core/clock.h"
#include "node/row_queue.h"
#include "node/submission_row.h"

#include <map>

namespace fulmar::node {

// The holder's side of submissions through the store: has each pending row of the shard admitted like a
// forwarded call, writes the outcome into the row, and removes rows that nobody waits for. Does no I/O.
//
// The outcome replaces the row only if the row has the version that this holder read. The row of an accepted
// job is replaced in the transaction that stores the job. So the job is not stored if its row was withdrawn.
class SubmissionIntake {
public:
    struct Hooks {
        // As for a forwarded call.
        std::function<void(JobCall, OnJobReply)> admit;
        // Writes the row, or removes it if there is no value, if it has the version that was read, or that
        // this process has written since; onWritten() or onWithdrawn() follows.
        std::function<void(RowChange, std::optional<Version> read)> write;
    };

    explicit SubmissionIntake(Hooks hooks)
        : m_hooks(std::move(hooks))
    {
    }

    // All rows of the part that exist.
    void onRows(const std::vector<platform::StoredRow>&, TimePoint now, WallTime wallNow);
    // The row's job was admitted and is new.
    void bind(const JobId& id, const std::string& key) { m_bound.insert_or_assign(id, key); }
    // The change of the row to store with the new job, if the job came through the store, and the version
    // that the row must have.
    [[nodiscard]] std::optional<std::pair<RowChange, Version>> takeBound(const JobId&);
    // The row was withdrawn before its change was stored.
    void onWithdrawn(const std::string& key) { m_rows.erase(key); }
    // The change of a row passed to Hooks::write is stored.
    void onWritten(const std::string& key);
    // Removes the outcomes that nobody waits for any more.
    void tick(TimePoint now);

    [[nodiscard]] std::size_t size() const { return m_rows.size(); }

private:
    enum class State : std::uint8_t { Admitting, Outcome, Removing };

    struct Row {
        platform::RowName name;
        // As read; empty once this process has written the row.
        std::optional<Version> version;
        State state { State::Admitting };
        // Its outcome is stored with the job.
        bool isBound { false };
        // Of an outcome; set by the next tick().
        std::optional<TimePoint> removeAt;
    };

    void admit(const std::string& key, const PendingSubmission&, WallTime wallNow);
    void onReply(const std::string& key, const JobReply&);
    void writeOutcome(const std::string& key, const JobReply&);

    const Hooks m_hooks;
    std::map<std::string, Row> m_rows;
    std::map<JobId, std::string> m_bound;
};

} // namespace fulmar::node
