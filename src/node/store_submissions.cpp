#include "node/store_submissions.h"

#include "node/call_retry.h"

#include <algorithm>
#include <fmt/format.h>

namespace fulmar::node {

namespace {

// The store accepts 100 entries and 1 MB per transaction; base64 enlarges a value by a third.
constexpr std::size_t maxWritesPerTransaction = 20;
constexpr std::size_t maxWithdrawalsPerTransaction = 40;
constexpr std::size_t maxBytesPerTransaction = 600'000;
// A slow store answers in 0.7 s.
constexpr std::chrono::milliseconds writeTimeout { 1'200 };

JobReply notRun(JobVerdict verdict, std::string reason)
{
    JobReply reply;
    reply.verdict = verdict;
    reply.retryAfter = noHolderRetryAfter;
    reply.reason = std::move(reason);
    return reply;
}

JobReply outcomeUnknown()
{
    JobReply reply;
    reply.verdict = JobVerdict::Uncertain;
    reply.reason = "submission-unanswered";
    return reply;
}

JobReply holderSilent() { return notRun(JobVerdict::NotHolder, "holder-silent"); }

} // namespace

platform::RowName StoreSubmissions::rowName(const std::string& part, const std::string& key)
{
    return { submissionTable, part, key };
}

bool StoreSubmissions::submit(
    Target target, const JobCall& call, TimePoint deadline, TimePoint now, WallTime wallNow, OnJobReply reply)
{
    if (m_calls.size() >= maxSubmissions || deadline < now + minSubmissionTime)
        return false;
    deadline = std::min(deadline, now + maxSubmissionWait);
    auto left = std::chrono::duration_cast<std::chrono::milliseconds>(deadline - now);
    auto key = fmt::format("{}.{:x}.{}", call.job.value(), m_incarnation, ++m_lastCall);
    auto value = encodeSubmission({ call.job, call.queue, call.team, wallNow + left, call.encodedJob });
    m_calls.emplace(std::move(key),
        Call { std::move(target), std::move(value), deadline, std::move(reply), State::Queued, 0 });
    return true;
}

std::vector<StoreSubmissions::Transaction> StoreSubmissions::takeDue(TimePoint now)
{
    giveUpOverdue(now);
    std::map<std::string, bool> hasWithdrawal;
    for (const auto& [key, call] : m_calls)
        if (call.state == State::Queued || call.state == State::Overdue)
            hasWithdrawal[call.target.part] |= call.state == State::Overdue;
    std::vector<Transaction> due;
    for (const auto& [name, isWithdrawal] : hasWithdrawal) {
        auto& part = m_parts[name];
        if (part.isBusy || now < part.nextSend)
            continue;
        due.push_back(isWithdrawal ? withdraw(name, now) : write(name));
        part.isBusy = true;
        part.nextSend = now + submissionPace;
    }
    return due;
}

void StoreSubmissions::giveUpOverdue(TimePoint now)
{
    std::vector<std::pair<std::string, JobReply>> over;
    for (auto& [key, call] : m_calls) {
        if (now < call.deadline - withdrawalTime)
            continue;
        if (call.state == State::Queued)
            over.emplace_back(key, holderSilent());
        else if (now >= call.deadline)
            over.emplace_back(key, outcomeUnknown());
        else if (call.state == State::Pending)
            call.state = State::Overdue;
    }
    for (const auto& [key, result] : over)
        reply(key, result);
}

StoreSubmissions::Transaction StoreSubmissions::write(const std::string& part)
{
    SentTransaction sent { part, {}, false };
    Transaction transaction { ++m_lastTransaction, {}, writeTimeout };
    auto& rows = transaction.rows;
    std::size_t bytes = 0;
    for (auto& [key, call] : m_calls) {
        if (call.target.part != part || call.state != State::Queued)
            continue;
        if (rows.conditions.empty())
            rows.conditions.push_back(call.target.owner);
        // Of another holder: next time.
        if (rows.conditions.front().version != call.target.owner.version)
            continue;
        bytes += call.value.size();
        if (!sent.keys.empty()
            && (sent.keys.size() == maxWritesPerTransaction || bytes > maxBytesPerTransaction))
            break;
        rows.conditions.push_back({ rowName(part, key), 0 });
        rows.puts.push_back({ rowName(part, key), std::move(call.value) });
        call.state = State::Writing;
        sent.keys.push_back(key);
    }
    rows.puts.push_back(
        { { rows.conditions.front().name.table, part, submissionNoticeKey }, sent.keys.front() });
    m_sent.emplace(transaction.number, std::move(sent));
    return transaction;
}

StoreSubmissions::Transaction StoreSubmissions::withdraw(const std::string& part, TimePoint now)
{
    SentTransaction sent { part, {}, true };
    Transaction transaction { ++m_lastTransaction, {}, withdrawalTime };
    for (auto& [key, call] : m_calls) {
        if (call.target.part != part || call.state != State::Overdue
            || sent.keys.size() == maxWithdrawalsPerTransaction)
            continue;
        transaction.rows.conditions.push_back({ rowName(part, key), call.version });
        transaction.rows.removals.push_back(rowName(part, key));
        transaction.timeout = std::min(
            transaction.timeout, std::chrono::ceil<std::chrono::milliseconds>(call.deadline - now));
        call.state = State::Withdrawing;
        sent.keys.push_back(key);
    }
    m_sent.emplace(transaction.number, std::move(sent));
    return transaction;
}

void StoreSubmissions::onCommit(std::uint64_t transaction, const platform::CommitResult& result)
{
    auto found = m_sent.extract(transaction);
    if (!found)
        return;
    const auto& sent = found.mapped();
    m_parts[sent.part].isBusy = false;
    if (sent.isWithdrawal)
        onWithdrawn(sent, result);
    else
        onWritten(sent, result);
}

void StoreSubmissions::onWritten(const SentTransaction& sent, const platform::CommitResult& result)
{
    using Outcome = platform::CommitOutcome;
    for (const auto& key : sent.keys) {
        auto found = m_calls.find(key);
        if (found == m_calls.end())
            continue;
        auto& call = found->second;
        // The feed has shown the row already.
        if (call.state != State::Writing)
            continue;
        switch (result.outcome) {
        case Outcome::Committed:
            call.version = result.version;
            call.state = State::Pending;
            break;
        case Outcome::Conflict:
            // Another process holds the shard now. The call may go there.
            reply(key, noHolderReply(true));
            break;
        case Outcome::NotDone:
            reply(key, notRun(JobVerdict::Unavailable, "store-away"));
            break;
        case Outcome::Refused:
            reply(key, notRun(JobVerdict::Unavailable, "row-refused"));
            break;
        case Outcome::Unknown:
            // The row may still come. It can be withdrawn once the feed shows it.
            break;
        }
    }
}

void StoreSubmissions::onWithdrawn(const SentTransaction& sent, const platform::CommitResult& result)
{
    using Outcome = platform::CommitOutcome;
    for (const auto& key : sent.keys) {
        auto found = m_calls.find(key);
        if (found == m_calls.end())
            continue;
        auto& call = found->second;
        if (result.outcome == Outcome::Committed) {
            reply(key, holderSilent());
        } else if (result.outcome == Outcome::NotDone) {
            call.state = State::Overdue;
        } else if (result.outcome == Outcome::Conflict) {
            auto row = std::find_if(result.current.begin(), result.current.end(),
                [&](const auto& each) { return each.name.key == key && !each.isRemoved; });
            if (row == result.current.end())
                reply(key, outcomeUnknown());
            else if (row->version == call.version)
                call.state = State::Overdue;
            else
                onRow(*row);
        }
    }
}

void StoreSubmissions::onRow(const platform::StoredRow& row)
{
    auto found = m_calls.find(row.name.key);
    if (found == m_calls.end() || row.isRemoved)
        return;
    auto& call = found->second;
    auto content = decodeSubmissionRow(row.value);
    if (!content)
        return;
    if (const auto* outcome = std::get_if<SubmissionOutcome>(&*content)) {
        reply(row.name.key, outcome->reply());
    } else if (call.state == State::Writing) {
        call.version = row.version;
        call.state = State::Pending;
    }
}

void StoreSubmissions::reply(const std::string& key, const JobReply& result)
{
    if (auto call = m_calls.extract(key))
        call.mapped().reply(result);
}

} // namespace fulmar::node
