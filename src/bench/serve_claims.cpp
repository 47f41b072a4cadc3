#include "bench/serve_claims.h"

#include "bench/serve_model.h"
#include "serve/claim_batch.h"

#include <algorithm>
#include <map>
#include <random>

namespace fulmar::bench {

namespace {

constexpr std::uint64_t seed = 4711;
constexpr Duration length = std::chrono::seconds(10);
// 400 transactions and 2,000 reads a second, each 3 ms away.
constexpr Duration commitTime = std::chrono::microseconds(2500);
constexpr Duration readTime = std::chrono::microseconds(500);
constexpr Duration oneWay = std::chrono::microseconds(1500);

class ClaimWorld {
public:
    explicit ClaimWorld(const ClaimCase& which)
        : m_case(which)
        , m_entries(entryCount)
    {
    }

    ClaimFigures run();

private:
    struct Entry {
        serve::ClaimBatch shared;
        // Without sharing each claim is a batch of its own, one after the other.
        std::deque<serve::ClaimKey> queue;
        bool busy { false };
    };

    void claim(std::size_t entry, std::string key);
    void proceed(std::size_t entry);
    void read(std::size_t entry);
    void finish(const std::vector<serve::ClaimDone>&);
    // When a piece of work of this length at the table is done, back at the entry VM.
    TimePoint useTable(Duration work);

    ClaimCase m_case;
    EventQueue m_events;
    std::vector<Entry> m_entries;
    std::map<std::string, Row> m_rows;
    TimePoint m_tableFree;
    Version m_version { 0 };
    serve::RequestId m_lastRequest { 0 };
    std::map<serve::RequestId, TimePoint> m_started;
    std::vector<Duration> m_delays;
    std::uint64_t m_transactions { 0 };
    std::uint64_t m_reads { 0 };
};

ClaimFigures ClaimWorld::run()
{
    std::mt19937_64 random(seed);
    std::exponential_distribution<double> gap(m_case.claimsPerSecond);
    std::uniform_real_distribution<double> uniform;
    auto start = m_events.now();
    std::uint64_t keys = 0;
    for (auto time = start; time < start + length;
         time += std::chrono::duration_cast<Duration>(std::chrono::duration<double>(gap(random)))) {
        bool resend = keys > 0 && uniform(random) < m_case.resendShare;
        auto key = "s " + std::to_string(resend ? random() % keys : keys++);
        auto entry = random() % entryCount;
        m_events.at(time, [this, entry, key] { claim(entry, key); });
    }
    m_events.runUntil(start + length);

    constexpr double p99 = 0.99;
    std::sort(m_delays.begin(), m_delays.end());
    auto seconds = std::chrono::duration<double>(length).count();
    ClaimFigures figures { double(m_transactions) / seconds, double(m_reads) / seconds, {}, {} };
    if (!m_delays.empty()) {
        figures.medianDelay = m_delays[m_delays.size() / 2];
        figures.p99Delay = m_delays[std::size_t(p99 * double(m_delays.size() - 1))];
    }
    return figures;
}

void ClaimWorld::claim(std::size_t index, std::string key)
{
    auto& entry = m_entries[index];
    auto request = ++m_lastRequest;
    m_started[request] = m_events.now();
    serve::KeyOwner owner { ProcessId(std::to_string(index)), 1 };
    serve::ClaimKey claim { request, std::move(key), { { owner, request }, 1 } };
    if (m_case.shared)
        entry.shared.add(claim);
    else
        entry.queue.push_back(std::move(claim));
    if (!entry.busy)
        proceed(index);
}

void ClaimWorld::proceed(std::size_t index)
{
    auto& entry = m_entries[index];
    if (!m_case.shared && entry.shared.isIdle() && !entry.queue.empty()) {
        entry.shared.add(entry.queue.front());
        entry.queue.pop_front();
    }
    auto transaction = entry.shared.next(OperationId(std::to_string(m_transactions)), WallTime {});
    entry.busy = transaction.has_value();
    if (!transaction)
        return;
    ++m_transactions;
    m_events.at(useTable(commitTime), [this, index, transaction = std::move(*transaction)] {
        auto isHeld = [this](const Condition& condition) { return m_rows.contains(condition.key); };
        bool conflict = std::any_of(transaction.conditions.begin(), transaction.conditions.end(), isHeld);
        Result<Version> result = notRun(Reason::Conflict, "");
        if (!conflict) {
            result = ++m_version;
            for (const auto& write : transaction.writes)
                m_rows[write.key] = { write.key, write.value, m_version, transaction.operation, false };
        }
        finish(m_entries[index].shared.onCommit(result));
        read(index);
    });
}

// Reads the rows of a claim that is not cleared up, all at once.
void ClaimWorld::read(std::size_t index)
{
    auto rows = m_entries[index].shared.rowsToRead();
    if (rows.empty())
        proceed(index);
    for (const auto& row : rows) {
        ++m_reads;
        m_events.at(useTable(readTime), [this, index, row] {
            Changes changes { {}, m_version };
            if (auto found = m_rows.find(row); found != m_rows.end())
                changes.rows.push_back(found->second);
            auto& batch = m_entries[index].shared;
            finish(batch.onRead(row, changes));
            if (batch.rowsToRead().empty())
                proceed(index);
        });
    }
}

void ClaimWorld::finish(const std::vector<serve::ClaimDone>& done)
{
    for (const auto& claim : done)
        m_delays.push_back(m_events.now() - m_started.at(claim.request));
}

TimePoint ClaimWorld::useTable(Duration work)
{
    m_tableFree = std::max(m_tableFree, m_events.now() + oneWay) + work;
    return m_tableFree + oneWay;
}

} // namespace

ClaimFigures measureClaims(const ClaimCase& which) { return ClaimWorld(which).run(); }

} // namespace fulmar::bench
