#pragma once

#include "core/clock.h"
#include "node/submission_row.h"

#include <map>
#include <vector>

namespace fulmar::node {

// Pause between two transactions of a process to one part. A zone of 20 processes that is cut off sends a
// part 80 transactions a second at most; the part handles 150.
inline constexpr std::chrono::milliseconds submissionPace { 250 };
// Time before the caller's deadline at which a row without an outcome is withdrawn: the pause above, and a
// transaction with a store that answers late.
inline constexpr std::chrono::milliseconds withdrawalTime { 500 };
// A call with less time is not sent through the store: the row is usually answered within 0.4 s.
inline constexpr std::chrono::milliseconds minSubmissionTime { 1'000 };
// Calls of a process that wait for an outcome at the same time.
inline constexpr std::size_t maxSubmissions = 64;

// The receiving side of submissions through the store: decides which rows to write and to withdraw, and what
// the caller is told. Does no I/O.
//
// A row is written once, under the condition that the holder is still the one that announced to serve such
// rows. The job has not run if the write or the row's withdrawal tells so; a withdrawal needs the version of
// the row. In every other case without an outcome row the outcome is unknown.
class StoreSubmissions {
public:
    explicit StoreSubmissions(std::uint64_t incarnation)
        : m_incarnation(incarnation)
    {
    }

    struct Target {
        std::string part;
        platform::RowCondition owner;
    };

    struct Transaction {
        std::uint64_t number { 0 };
        platform::RowTransaction rows;
        std::chrono::milliseconds timeout { 0 };
    };

    // False if the call has too little time left or too many calls wait; it has had no effect then. Else
    // replies by the deadline at the latest.
    [[nodiscard]] bool submit(
        Target, const JobCall&, TimePoint deadline, TimePoint now, WallTime wallNow, OnJobReply);
    // Transactions to send now; gives up calls whose time is over. To be called every 50 ms or so.
    [[nodiscard]] std::vector<Transaction> takeDue(TimePoint now);
    // The outcome of a transaction returned by takeDue().
    void onCommit(std::uint64_t transaction, const platform::CommitResult&);
    // A row of the table as it is now.
    void onRow(const platform::StoredRow&);

    [[nodiscard]] std::size_t size() const { return m_calls.size(); }

private:
    enum class State : std::uint8_t {
        Queued,
        // The row is being written, or it is not known whether it was or will be.
        Writing,
        Pending,
        // To be withdrawn.
        Overdue,
        // The row is being withdrawn, or it is not known whether it was or will be.
        Withdrawing,
    };

    struct Call {
        Target target;
        std::string value;
        TimePoint deadline;
        OnJobReply reply;
        State state { State::Queued };
        // Of the pending row, once known.
        Version version { 0 };
    };

    struct SentTransaction {
        std::string part;
        std::vector<std::string> keys;
        bool isWithdrawal { false };
    };

    struct Part {
        bool isBusy { false };
        TimePoint nextSend;
    };

    void giveUpOverdue(TimePoint now);
    [[nodiscard]] Transaction withdraw(const std::string& part, TimePoint now);
    [[nodiscard]] Transaction write(const std::string& part);
    void onWritten(const SentTransaction&, const platform::CommitResult&);
    void onWithdrawn(const SentTransaction&, const platform::CommitResult&);
    [[nodiscard]] static platform::RowName rowName(const std::string& part, const std::string& key);
    // Ends the call.
    void reply(const std::string& key, const JobReply&);

    const std::uint64_t m_incarnation;
    std::uint64_t m_lastCall { 0 };
    std::uint64_t m_lastTransaction { 0 };
    // By the key of their row.
    std::map<std::string, Call> m_calls;
    std::map<std::string, Part> m_parts;
    std::map<std::uint64_t, SentTransaction> m_sent;
};

} // namespace fulmar::node
