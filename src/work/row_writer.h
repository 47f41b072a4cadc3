#pragma once

#include "platform/table.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace fulmar::work {

// What is known of a batch of rows.
enum class BatchOutcome : std::uint8_t {
    Committed,
    NotCommitted,
    // The reply was lost; the batch may be in the table or may still get there.
    Unknown,
    // A condition failed: read the sequence row and call onReadBack.
    NeedsReadBack,
};

// Writes one batch of a shard's rows at a time and settles lost replies. Every batch carries two conditions:
// the owner's lease row, and the version of a sequence row that the batch itself rewrites. So a batch that
// was not seen to commit either did, which the sequence row's operation shows, or never will. Only when
// another owner has taken over meanwhile does its fate stay unknown.
class RowWriter {
public:
    // `sequenceKey` is the row that orders the shard's batches; `writer` names this owner's operations.
    RowWriter(std::string sequenceKey, std::string writer);

    // Takes the sequence row's version as read when the shard was loaded; 0 if there is none.
    void start(Version sequence);

    [[nodiscard]] bool idle() const { return !m_pending; }

    // Opens a batch. Requires idle().
    [[nodiscard]] const Transaction& begin(std::vector<Write> writes, const Condition& lease);

    // The open batch again, under the lease row's present version. Requires !idle().
    [[nodiscard]] const Transaction& retry(const Condition& lease);

    // Takes the reply to the batch's commit.
    [[nodiscard]] BatchOutcome onCommit(const Result<Version>&);

    // Takes the rows read at the sequence key. Never NeedsReadBack.
    [[nodiscard]] BatchOutcome onReadBack(const Result<Changes>&);

    // Another owner has written the shard since start().
    [[nodiscard]] bool displaced() const { return m_displaced; }

    // Version of the sequence row after the last batch known to be stored.
    [[nodiscard]] Version sequence() const { return m_sequence; }

    [[nodiscard]] const std::string& sequenceKey() const { return m_sequenceKey; }

private:
    const std::string m_sequenceKey;
    const std::string m_writer;
    Version m_sequence { 0 };
    std::uint64_t m_batches { 0 };
    std::optional<Transaction> m_pending;
    // An earlier attempt of the open batch may have taken effect.
    bool m_uncertain { false };
    bool m_displaced { false };
};

} // namespace fulmar::work
