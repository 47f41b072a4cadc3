#pragma once

#include "platform/table.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace fulmar::work {

// Outcome of writing a batch of rows.
enum class BatchOutcome : std::uint8_t {
    Committed,
    NotCommitted,
    // The reply was lost; the batch may have been applied or may still be applied.
    Unknown,
    // A condition failed; the caller must read the sequence row and call onReadBack.
    NeedsReadBack,
};

// Writes one batch of a shard's rows at a time and resolves lost replies. Each batch is conditional on the
// version of the owner's lease row and on the version of a sequence row, which the batch itself rewrites.
// Once a condition fails, the batch has either committed, which the operation in the sequence row shows, or
// never will. The outcome stays unknown only if another owner has rewritten the sequence row in the meantime.
class RowWriter {
public:
    // `sequenceKey` is the key of the sequence row; `writer` is the prefix of this owner's operation ids.
    RowWriter(std::string sequenceKey, std::string writer);

    // `sequence` is the version of the sequence row when the shard was loaded; 0 if there is none.
    void start(Version sequence);

    [[nodiscard]] bool idle() const { return !m_pending; }

    // Opens a batch and returns its transaction. Requires idle().
    [[nodiscard]] const Transaction& begin(std::vector<Write> writes, const Condition& lease);

    // Returns the open batch for another attempt, conditional on the given lease row. Requires !idle().
    [[nodiscard]] const Transaction& retry(const Condition& lease);

    // Handles the reply to the batch's commit.
    [[nodiscard]] BatchOutcome onCommit(const Result<Version>&);

    // Handles the rows read at the sequence key. Never returns NeedsReadBack.
    [[nodiscard]] BatchOutcome onReadBack(const Result<Changes>&);

    // True if another owner has written the shard since start().
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
    // An earlier attempt of the open batch may have committed.
    bool m_uncertain { false };
    bool m_displaced { false };
};

} // namespace fulmar::work
