#include "work/row_writer.h"

#include <cassert>
#include <fmt/format.h>

namespace fulmar::work {

RowWriter::RowWriter(std::string sequenceKey, std::string writer)
    : m_sequenceKey(std::move(sequenceKey))
    , m_writer(std::move(writer))
{
}

void RowWriter::start(Version sequence)
{
    m_sequence = sequence;
    m_pending.reset();
    m_uncertain = false;
    m_displaced = false;
}

const Transaction& RowWriter::begin(std::vector<Write> writes, const Condition& lease)
{
    assert(idle());
    ++m_batches;
    OperationId operation(fmt::format("{}/{}", m_writer, m_batches));
    writes.push_back({ m_sequenceKey, m_writer, false });
    m_pending
        = Transaction { std::move(operation), { lease, { m_sequenceKey, m_sequence } }, std::move(writes) };
    m_uncertain = false;
    return *m_pending;
}

const Transaction& RowWriter::retry(const Condition& lease)
{
    assert(!idle());
    m_pending->conditions.front() = lease;
    return *m_pending;
}

BatchOutcome RowWriter::onCommit(const Result<Version>& reply)
{
    assert(!idle());
    if (reply) {
        m_sequence = *reply;
        m_pending.reset();
        return BatchOutcome::Committed;
    }
    if (reply.error().reason == Reason::Conflict && reply.error().outcome == Outcome::NotRun)
        return BatchOutcome::NeedsReadBack;
    if (reply.error().outcome != Outcome::NotRun)
        m_uncertain = true;
    if (m_uncertain)
        return BatchOutcome::Unknown;
    m_pending.reset();
    return BatchOutcome::NotCommitted;
}

// A condition failed and versions only grow, so no attempt of this batch can commit any more. The sequence
// row shows the outcome, unless another owner has rewritten it since an attempt whose reply was lost.
BatchOutcome RowWriter::onReadBack(const Result<Changes>& reply)
{
    assert(!idle());
    if (!reply) {
        m_uncertain = true;
        return BatchOutcome::Unknown;
    }
    Row row;
    for (const auto& each : reply->rows)
        if (each.key == m_sequenceKey && !each.deleted)
            row = each;
    if (row.operation == m_pending->operation) {
        m_sequence = row.version;
        m_pending.reset();
        return BatchOutcome::Committed;
    }
    m_displaced = row.version != m_sequence;
    if (m_displaced && m_uncertain)
        return BatchOutcome::Unknown;
    m_pending.reset();
    return BatchOutcome::NotCommitted;
}

} // namespace fulmar::work
