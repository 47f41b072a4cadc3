#include "node/store_submitter.h"

#include "core/log.h"

namespace fulmar::node {

namespace {

// A caller waits for the outcome of its row, and each read returns all rows that were written since.
constexpr std::chrono::milliseconds feedPause { 100 };
// A cut lasts for seconds, and a new follower reads every part.
constexpr std::chrono::milliseconds followIdle { 10'000 };

} // namespace

StoreSubmitter::StoreSubmitter(asio::io_context& loop, platform::StoreClient& store, NodeMetrics& metrics,
    std::uint64_t incarnation, std::vector<std::string> parts)
    : m_loop(loop)
    , m_store(store)
    , m_metrics(metrics)
    , m_parts(std::move(parts))
    , m_submissions(incarnation)
{
}

bool StoreSubmitter::submit(
    StoreSubmissions::Target target, const JobCall& call, TimePoint deadline, const OnJobReply& reply)
{
    auto now = m_clock.now();
    auto part = target.part;
    auto isTaken = m_submissions.submit(std::move(target), call, deadline, now, m_clock.wallNow(),
        [this, part, job = call.job, now, reply](const JobReply& result) {
            auto took = std::chrono::duration_cast<std::chrono::milliseconds>(m_clock.now() - now);
            m_metrics.countStoreSubmission(std::string(toString(result.verdict)));
            logInfo("store-submission",
                { { "part", part }, { "job", job.value() },
                    { "verdict", std::string(toString(result.verdict)) }, { "reason", result.reason },
                    { "ms", std::to_string(took.count()) } });
            reply(result);
        });
    if (!isTaken) {
        m_metrics.countStoreSubmission("not-taken");
        return false;
    }
    follow();
    sendDue();
    return true;
}

void StoreSubmitter::follow()
{
    m_usedAt = m_clock.now();
    if (m_follower)
        return;
    m_follower = std::make_unique<TableFollower>(m_loop, m_store, submissionTable, m_parts,
        TableFollower::Timing { feedPause },
        TableFollower::Hooks { [this](const platform::StoredRow& row) { m_submissions.onRow(row); },
            [this](const std::vector<platform::StoredRow>& rows) {
                for (const auto& row : rows)
                    m_submissions.onRow(row);
            },
            [] {} });
    m_follower->start();
}

void StoreSubmitter::tick()
{
    if (!m_follower)
        return;
    sendDue();
    if (m_submissions.size() > 0)
        m_usedAt = m_clock.now();
    else if (m_clock.now() >= m_usedAt + followIdle)
        m_follower.reset();
}

void StoreSubmitter::sendDue()
{
    for (const auto& [number, rows, timeout] : m_submissions.takeDue(m_clock.now()))
        m_store.commit(rows, timeout,
            [this, number = number, isAlive = m_isAlive](const platform::CommitResult& result) {
                if (*isAlive)
                    m_submissions.onCommit(number, result);
            });
}

} // namespace fulmar::node
