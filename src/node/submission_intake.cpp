#include "node/submission_intake.h"

#include "core/log.h"

namespace fulmar::node {

namespace {

// The receiving process waits no longer for the outcome.
constexpr std::chrono::milliseconds keepOutcome = maxSubmissionWait;

} // namespace

void SubmissionIntake::onRows(const std::vector<platform::StoredRow>& rows, TimePoint now, WallTime wallNow)
{
    for (const auto& row : rows) {
        const auto& key = row.name.key;
        // Rows that are known change by this process, or are withdrawn, which the write of the outcome finds.
        if (row.isRemoved || m_rows.contains(key))
            continue;
        m_rows.emplace(key, Row { row.name, row.version, State::Admitting, false, std::nullopt });
        auto content = decodeSubmissionRow(row.value);
        if (!content)
            logWarning("row-unreadable", { { "table", row.name.table }, { "key", key } });
        const auto* pending = content ? std::get_if<PendingSubmission>(&*content) : nullptr;
        if (pending) {
            admit(key, *pending, wallNow);
        } else {
            m_rows.at(key).state = State::Outcome;
            m_rows.at(key).removeAt = now + keepOutcome;
        }
    }
}

void SubmissionIntake::admit(const std::string& key, const PendingSubmission& pending, WallTime wallNow)
{
    if (!mayAccept(pending, wallNow)) {
        JobReply expired;
        expired.reason = "submission-expired";
        writeOutcome(key, expired);
        return;
    }
    JobCall call;
    call.kind = JobCallKind::Submit;
    call.job = pending.job;
    call.queue = pending.queue;
    call.team = pending.team;
    call.encodedJob = pending.encodedJob;
    call.submission = key;
    m_hooks.admit(std::move(call), [this, key](const JobReply& reply) { onReply(key, reply); });
}

std::optional<std::pair<RowChange, Version>> SubmissionIntake::takeBound(const JobId& id)
{
    auto bound = m_bound.extract(id);
    auto found = bound ? m_rows.find(bound.mapped()) : m_rows.end();
    if (found == m_rows.end() || found->second.state != State::Admitting || !found->second.version)
        return std::nullopt;
    auto& row = found->second;
    row.isBound = true;
    return std::pair(RowChange { row.name, encodeOutcome({ JobVerdict::Done, {}, "stored" }) },
        *std::exchange(row.version, std::nullopt));
}

void SubmissionIntake::onReply(const std::string& key, const JobReply& reply)
{
    auto found = m_rows.find(key);
    if (found == m_rows.end() || found->second.state != State::Admitting)
        return;
    // This process gives up the shard; the row is left to the next holder.
    if (reply.verdict == JobVerdict::NotHolder || reply.verdict == JobVerdict::Uncertain)
        return;
    if (found->second.isBound && reply.verdict == JobVerdict::Done)
        found->second.state = State::Outcome;
    else
        writeOutcome(key, reply);
}

void SubmissionIntake::writeOutcome(const std::string& key, const JobReply& reply)
{
    auto& row = m_rows.at(key);
    row.state = State::Outcome;
    logInfo("submission-row",
        { { "part", row.name.part }, { "key", key }, { "verdict", std::string(toString(reply.verdict)) },
            { "reason", reply.reason } });
    m_hooks.write({ row.name, encodeOutcome({ reply.verdict, reply.retryAfter, reply.reason }) },
        std::exchange(row.version, std::nullopt));
}

void SubmissionIntake::onWritten(const std::string& key)
{
    if (auto found = m_rows.find(key); found != m_rows.end() && found->second.state == State::Removing)
        m_rows.erase(found);
}

void SubmissionIntake::tick(TimePoint now)
{
    std::vector<std::string> due;
    for (auto& [key, row] : m_rows) {
        if (row.state != State::Outcome)
            continue;
        if (!row.removeAt)
            row.removeAt = now + keepOutcome;
        else if (now >= *row.removeAt)
            due.push_back(key);
    }
    for (const auto& key : due) {
        auto& row = m_rows.at(key);
        row.state = State::Removing;
        m_hooks.write({ row.name, std::nullopt }, std::exchange(row.version, std::nullopt));
    }
}

} // namespace fulmar::node
