#include "node/stored_job_view.h"

#include "node/call_retry.h"
#include "node/queue_lookup.h"
#include "node/shard_owner.h"

#include <algorithm>

namespace fulmar::node {

namespace {

const platform::StoredRow* findRow(const platform::RowPage& page, const std::string& key)
{
    auto row = std::find_if(
        page.rows.begin(), page.rows.end(), [&](const auto& each) { return each.name.key == key; });
    return row == page.rows.end() || row->isRemoved ? nullptr : &*row;
}

JobReply replyWith(JobVerdict verdict, std::string reason)
{
    JobReply reply;
    reply.verdict = verdict;
    reply.retryAfter = noHolderRetryAfter;
    reply.reason = std::move(reason);
    return reply;
}

} // namespace

JobReply storedJobReply(const JobCall& call, bool hasTeams, const platform::StoredRow* progressRow,
    const platform::StoredRow* jobRow)
{
    // Only stored jobs are accepted, and the store answers with its newest rows.
    if (!jobRow)
        return unknownJobReply(true);
    auto job = jobs::decodeJob(jobRow->value);
    auto progress = progressRow ? jobs::decodeProgress(progressRow->value) : jobs::JobProgress {};
    if (!job || !progress)
        return replyWith(JobVerdict::Unavailable, "row-unreadable");
    if (hasTeams && !job->team.empty() && job->team != call.team)
        return replyWith(JobVerdict::OtherTeam, std::string(otherTeamReason));
    auto reply = replyWith(JobVerdict::Done, {});
    reply.state = std::string(toString(progress->state));
    return reply;
}

void showStoredJob(platform::StoreClient& store, const std::string& part, const JobCall& call, bool hasTeams,
    std::chrono::milliseconds timeout, OnJobReply reply)
{
    auto read = [&store, part, key = call.job.value(), timeout](const char* table, auto done) {
        platform::ReadOptions options { timeout };
        options.maxRows = 1;
        store.read(table, part, key, std::move(options), std::move(done));
    };
    read(progressTable,
        [read, call, hasTeams, reply = std::move(reply)](const std::optional<platform::RowPage>& progress) {
            if (!progress) {
                reply(replyWith(JobVerdict::NotHolder, "holder-silent"));
                return;
            }
            read(jobTable,
                [call, hasTeams, reply, progress = *progress](const std::optional<platform::RowPage>& jobs) {
                    reply(jobs ? storedJobReply(call, hasTeams, findRow(progress, call.job.value()),
                              findRow(*jobs, call.job.value()))
                               : replyWith(JobVerdict::NotHolder, "holder-silent"));
                });
        });
}

} // namespace fulmar::node
