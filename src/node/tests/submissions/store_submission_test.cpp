#include "node/row_log.h"
#include "node/shard_owner.h"
#include "node/store_submissions.h"
#include "node/submission_intake.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <fmt/format.h>
#include <random>
#include <rapidcheck.h>

using namespace fulmar;
using namespace fulmar::node;
using namespace std::chrono_literals;
using platform::CommitOutcome;

namespace {

constexpr auto part = "s0";
constexpr auto step = 10ms;
// Longer than a row may wait; the real one is 150 s.
constexpr auto keepFinished = 25s;

// Rules that are left out, to show that the checks detect it.
enum class Broken : std::uint8_t {
    None,
    WithdrawsAnyVersion,
    TakesNoAnswerForNotWritten,
    StoresWithoutTheRow,
    RewritesWithdrawnRows,
    AcceptsExpiredRows,
};

struct Faults {
    double lostWrite { 0 };
    double lostAnswer { 0 };
    double lateWrite { 0 };
    double stop { 0 };
    double refusal { 0 };
};

// Receiving processes and successive holders of one shard in virtual time, with the decisions of the product;
// the log of a holder is modelled. Writes and answers are lost or late, processes are killed and paused,
// holders are replaced while they still work.
class Simulation {
public:
    Simulation(std::uint32_t seed, Faults faults, Broken broken)
        : m_random(seed)
        , m_faults(faults)
        , m_broken(broken)
    {
        claim();
        for (int i = 0; i < 3; ++i)
            m_receivers.push_back(std::make_unique<Receiver>(std::uint64_t(100 + i), upTo(2'000)));
    }

    void run(Duration length, Duration submitFor)
    {
        auto begin = m_now;
        for (; m_now < begin + length; m_now += step) {
            while (!m_due.empty() && m_due.begin()->first <= m_now) {
                auto work = std::move(m_due.begin()->second);
                m_due.erase(m_due.begin());
                work();
            }
            if (m_now < begin + submitFor && chance(0.15))
                submit();
            for (auto& receiver : m_receivers)
                act(*receiver);
            for (auto& holder : m_holders)
                act(*holder);
            if (chance(m_faults.stop))
                m_receivers[std::size_t(upTo(2))] = std::make_unique<Receiver>(
                    std::uint64_t(m_now.time_since_epoch().count()), upTo(2'000));
            if (chance(m_faults.stop) || m_holders.back()->isStopped)
                claim();
        }
    }

    // Of attempts; empty if both guarantees held.
    std::string violation;
    std::size_t attempts { 0 };
    std::size_t accepted { 0 };
    std::size_t transactions { 0 };
    Duration longest { 0 };

    [[nodiscard]] std::size_t leftRows() const
    {
        return std::size_t(std::count_if(m_rows.begin(), m_rows.end(),
            [](const auto& each) { return each.first.table == submissionTable; }));
    }

private:
    struct Receiver {
        Receiver(std::uint64_t number, int skewMs)
            : submissions(number)
            , skew(skewMs)
        {
        }

        StoreSubmissions submissions;
        std::chrono::milliseconds skew;
        TimePoint pausedUntil {};
        Version seen { 0 };
    };

    using Record = std::map<platform::RowName, std::optional<std::string>>;

    struct Holder {
        platform::RowCondition owner;
        std::optional<SubmissionIntake> intake;
        std::map<platform::RowName, Version> versions;
        std::map<std::string, Record> queue;
        // Stored since then, or not stored yet.
        std::map<JobId, std::optional<TimePoint>> jobs;
        std::map<JobId, std::vector<OnJobReply>> waiting;
        TimePoint pausedUntil {};
        TimePoint readAt {};
        bool isBusy { false };
        bool isStopped { false };
    };

    bool chance(double probability) { return std::bernoulli_distribution(probability)(m_random); }
    int upTo(int most) { return std::uniform_int_distribution(0, most)(m_random); }
    void at(Duration delay, std::function<void()> work) { m_due.emplace(m_now + delay, std::move(work)); }
    [[nodiscard]] WallTime wall() const
    {
        return WallTime(std::chrono::duration_cast<std::chrono::milliseconds>(m_now.time_since_epoch()));
    }

    platform::CommitResult apply(const platform::RowTransaction& rows)
    {
        ++transactions;
        platform::CommitResult result { CommitOutcome::Committed, ++m_version, {} };
        for (const auto& [name, version] : rows.conditions) {
            auto row = m_rows.find(name);
            if (row != m_rows.end())
                result.current.push_back(row->second);
            if ((row == m_rows.end() ? 0 : row->second.version) != version)
                result.outcome = CommitOutcome::Conflict;
        }
        if (result.outcome == CommitOutcome::Conflict)
            return result;
        for (const auto& [name, value] : rows.puts) {
            auto isNew
                = m_rows.insert_or_assign(name, platform::StoredRow { name, value, m_version, false }).second;
            // The value of a job's row names the attempt that it came with.
            if (name.table == jobTable && isNew && ++m_runs[name.key] > 1)
                violation += name.key + " runs twice; ";
            if (name.table == jobTable && m_refused.contains(value))
                violation += value + " runs though refused; ";
            if (name.table == jobTable)
                m_taken.insert(value);
        }
        for (const auto& name : rows.removals)
            m_rows.erase(name);
        return result;
    }

    void commit(
        const platform::RowTransaction& rows, const std::function<void(platform::CommitResult)>& answer)
    {
        if (chance(m_faults.lateWrite)) {
            at(std::chrono::milliseconds(upTo(40'000)), [this, rows] { apply(rows); });
            at(1'200ms, [answer] { answer({}); });
        } else if (chance(m_faults.lostWrite)) {
            at(1'200ms, [answer] { answer({ CommitOutcome::Unknown, 0, {} }); });
        } else {
            at(std::chrono::milliseconds(8 + upTo(40)), [this, rows, answer] {
                auto result = apply(rows);
                auto isLost = chance(m_faults.lostAnswer);
                at(isLost ? 1'200ms : std::chrono::milliseconds(upTo(40)),
                    [result, isLost, answer] { answer(isLost ? platform::CommitResult {} : result); });
            });
        }
    }

    void submit()
    {
        JobCall call;
        call.kind = JobCallKind::Submit;
        // Some are submitted again, by whatever process.
        call.job = JobId(fmt::format("j{}", attempts / 2 - std::size_t(upTo(attempts > 8 ? 2 : 0))));
        call.encodedJob = fmt::format("a{}", ++attempts);
        auto onReply
            = [this, job = call.job, attempt = call.encodedJob, since = m_now](const JobReply& reply) {
                  if (reply.verdict == JobVerdict::Done) {
                      ++accepted;
                      longest = std::max(longest, m_now - since);
                      if (!m_runs.contains(job.value()))
                          violation += attempt + " is lost; ";
                  } else if (reply.verdict != JobVerdict::Uncertain) {
                      m_refused.insert(attempt);
                      if (m_taken.contains(attempt))
                          violation += attempt + " refused though it runs; ";
                  }
              };
        if (auto& holder = *m_holders[std::size_t(upTo(int(m_holders.size()) - 1))];
            m_faults.stop > 0 && chance(0.3) && !holder.isStopped && m_now >= holder.pausedUntil) {
            admit(holder, call, onReply);
            return;
        }
        auto& receiver = *m_receivers[std::size_t(upTo(2))];
        auto isTaken = receiver.submissions.submit(
            { part, m_holders.back()->owner }, call, m_now + 2'850ms, m_now, wall() + receiver.skew, onReply);
        if (!isTaken)
            m_refused.insert(call.encodedJob);
    }

    void act(Receiver& receiver)
    {
        if (chance(m_faults.stop))
            receiver.pausedUntil = m_now + std::chrono::milliseconds(upTo(4'000));
        if (m_now < receiver.pausedUntil)
            return;
        if (upTo(9) == 0) {
            for (const auto& [name, row] : m_rows)
                if (name.table == submissionTable && row.version > receiver.seen)
                    receiver.submissions.onRow(row);
            receiver.seen = m_version;
        }
        for (auto& transaction : receiver.submissions.takeDue(m_now)) {
            auto& rows = transaction.rows;
            if (m_broken == Broken::WithdrawsAnyVersion && !rows.removals.empty())
                rows.conditions.clear();
            commit(rows, [this, id = transaction.number, target = &receiver](platform::CommitResult result) {
                auto isThere = std::any_of(m_receivers.begin(), m_receivers.end(),
                    [&](const auto& each) { return each.get() == target; });
                if (m_broken == Broken::TakesNoAnswerForNotWritten
                    && result.outcome == CommitOutcome::Unknown)
                    result.outcome = CommitOutcome::NotDone;
                if (isThere)
                    target->submissions.onCommit(id, result);
            });
        }
    }

    // Another process takes the shard; the last one may still work.
    void claim()
    {
        platform::RowName name { leaseTable, part, ownerKey };
        m_rows[name] = { name, "", ++m_version, false };
        auto& holder = *m_holders.emplace_back(std::make_unique<Holder>());
        holder.owner = { name, m_version };
        holder.intake.emplace(SubmissionIntake::Hooks {
            [this, &holder](const JobCall& call, OnJobReply reply) { admit(holder, call, std::move(reply)); },
            [&holder](const RowChange& row, std::optional<Version> read) {
                if (read)
                    holder.versions[row.name] = *read;
                holder.queue[row.name.key].insert_or_assign(row.name, row.value);
            } });
        for (const auto& [each, row] : m_rows)
            if (each.table == jobTable) {
                holder.versions[each] = row.version;
                holder.jobs[JobId(each.key)] = m_now;
            }
    }

    // As ShardOwner::submit().
    void admit(Holder& holder, const JobCall& call, OnJobReply reply)
    {
        auto known = holder.jobs.find(call.job);
        if (known != holder.jobs.end() && known->second) {
            reply({ JobVerdict::Done, {}, 0, {}, "stored" });
        } else if (known != holder.jobs.end()) {
            holder.waiting[call.job].push_back(std::move(reply));
        } else if (chance(m_faults.refusal)) {
            reply({ JobVerdict::Rejected, {}, 0, 1s, "overload" });
        } else {
            holder.jobs[call.job].reset();
            holder.waiting[call.job].push_back(std::move(reply));
            auto& record = holder.queue[call.job.value()];
            record[{ jobTable, part, call.job.value() }] = call.encodedJob;
            if (call.submission.empty())
                return;
            holder.intake->bind(call.job, call.submission);
            if (auto bound = holder.intake->takeBound(call.job)) {
                holder.versions[bound->first.name] = bound->second;
                record[bound->first.name] = bound->first.value;
            }
        }
    }

    void act(Holder& holder)
    {
        if (chance(m_faults.stop))
            holder.pausedUntil = m_now + std::chrono::milliseconds(upTo(6'000));
        if (holder.isStopped || m_now < holder.pausedUntil)
            return;
        if (m_now >= holder.readAt) {
            holder.readAt = m_now + 150ms;
            read(holder);
        }
        holder.intake->tick(m_now);
        for (auto& [id, stored] : holder.jobs)
            if (stored && m_now > *stored + keepFinished)
                holder.queue[id.value()][{ jobTable, part, id.value() }].reset();
        if (!holder.isBusy && !holder.queue.empty())
            send(holder);
    }

    void read(Holder& holder)
    {
        std::vector<platform::StoredRow> rows;
        for (const auto& [name, row] : m_rows) {
            if (name.table != submissionTable)
                continue;
            rows.push_back(row);
            auto content = decodeSubmissionRow(row.value);
            if (auto* pending = std::get_if<PendingSubmission>(&*content);
                pending && m_broken == Broken::AcceptsExpiredRows) {
                pending->expires = wall() + 1s;
                rows.back().value = encodeSubmission(*pending);
            }
        }
        at(10ms, [this, &holder, rows = std::move(rows)] { holder.intake->onRows(rows, m_now, wall()); });
    }

    void send(Holder& holder)
    {
        auto batch = std::exchange(holder.queue, {});
        platform::RowTransaction transaction { { holder.owner }, {}, {} };
        for (const auto& [key, record] : batch)
            for (const auto& [name, value] : record) {
                if (name.table != submissionTable || m_broken != Broken::StoresWithoutTheRow)
                    transaction.conditions.push_back({ name, holder.versions[name] });
                if (value)
                    transaction.puts.push_back({ name, *value });
                else if (holder.versions[name] > 0)
                    transaction.removals.push_back(name);
            }
        holder.isBusy = true;
        commit(transaction,
            [this, &holder, batch = std::move(batch)](const platform::CommitResult& result) mutable {
                holder.isBusy = false;
                onCommit(holder, batch, result);
            });
    }

    void onCommit(Holder& holder, std::map<std::string, Record>& batch, const platform::CommitResult& result)
    {
        auto versionOf = [&](const platform::RowName& name) -> Version {
            auto row = std::find_if(result.current.begin(), result.current.end(),
                [&](const auto& each) { return each.name == name; });
            return row == result.current.end() ? 0 : row->version;
        };
        if (result.outcome == CommitOutcome::Conflict
            && versionOf(holder.owner.name) != holder.owner.version) {
            holder.isStopped = true;
            return;
        }
        for (auto& [key, record] : batch) {
            auto isGivenUp = result.outcome == CommitOutcome::Conflict
                && isWithdrawn(record, submissionTable, holder.versions, result.current)
                && m_broken != Broken::RewritesWithdrawnRows;
            for (const auto& [name, value] : record) {
                if (result.outcome == CommitOutcome::Committed)
                    holder.versions[name] = value ? result.version : 0;
                else if (result.outcome == CommitOutcome::Conflict)
                    holder.versions[name] = versionOf(name);
                if (isGivenUp && name.table == submissionTable)
                    holder.intake->onWithdrawn(name.key);
            }
            JobId id(key);
            if (result.outcome == CommitOutcome::Committed || isGivenUp) {
                finish(holder, id, record, isGivenUp);
            } else {
                holder.queue[key].merge(record);
            }
        }
    }

    void finish(Holder& holder, const JobId& id, const Record& record, bool isGivenUp)
    {
        auto job = record.find({ jobTable, part, id.value() });
        if (job == record.end()) {
            holder.intake->onWritten(id.value());
            return;
        }
        if (isGivenUp || !job->second)
            holder.jobs.erase(id);
        else
            holder.jobs[id] = m_now;
        for (auto& reply : std::exchange(holder.waiting[id], {}))
            reply({ isGivenUp ? JobVerdict::Unavailable : JobVerdict::Done, {}, 0, 1s, {} });
    }

    std::mt19937 m_random;
    const Faults m_faults;
    const Broken m_broken;
    TimePoint m_now { 1'000s };
    Version m_version { 0 };
    std::map<platform::RowName, platform::StoredRow> m_rows;
    std::vector<std::unique_ptr<Receiver>> m_receivers;
    std::vector<std::unique_ptr<Holder>> m_holders;
    std::multimap<TimePoint, std::function<void()>> m_due;
    // Jobs by how often their row was created.
    std::map<std::string, int> m_runs;
    // Attempts whose callers were told that they have not run, and those whose job was stored.
    std::set<std::string> m_refused;
    std::set<std::string> m_taken;
};

const Faults severe { 0.05, 0.1, 0.05, 0.002, 0.2 };
// Writes that wait for a holder that stays come long after their caller has given up.
const Faults lateWrites { 0.02, 0.1, 0.3, 0, 0.1 };

std::string violationOf(std::uint32_t seed, Broken broken = Broken::None)
{
    Simulation run(seed, seed % 2 == 0 ? severe : lateWrites, broken);
    run.run(70s, 15s);
    return run.violation;
}

} // namespace

BOOST_AUTO_TEST_SUITE(store_submission)

BOOST_AUTO_TEST_CASE(BothGuaranteesHold)
{
    BOOST_TEST(rc::check("no refused job runs, none runs twice, and no accepted one is lost", [] {
        auto seed = *rc::gen::arbitrary<std::uint32_t>();
        RC_ASSERT(violationOf(seed) == "");
    }));
}

// Checks that the property fails if a rule is left out.
BOOST_AUTO_TEST_CASE(MissingRulesAreDetected)
{
    for (auto broken : { Broken::WithdrawsAnyVersion, Broken::TakesNoAnswerForNotWritten,
             Broken::StoresWithoutTheRow, Broken::RewritesWithdrawnRows, Broken::AcceptsExpiredRows }) {
        auto isDetected = false;
        for (std::uint32_t seed = 0; seed < 200 && !isDetected; ++seed)
            isDetected = !violationOf(seed, broken).empty();
        BOOST_TEST(isDetected, "rule " << int(broken));
    }
}

// Guards against a path that takes no jobs, is late, leaves rows behind, or writes without bound.
BOOST_AUTO_TEST_CASE(WithoutFaultsAllAreAcceptedAndNoRowIsLeft)
{
    Simulation run(1, {}, Broken::None);
    run.run(60s, 15s);
    BOOST_TEST(run.violation == "");
    BOOST_TEST(run.accepted == run.attempts);
    BOOST_TEST(run.longest < 1s);
    BOOST_TEST(run.leftRows() == 0U);
    BOOST_TEST_MESSAGE(run.attempts << " attempts, " << run.transactions << " transactions, longest "
                                    << run.longest.count() / 1000 << " ms");
}

BOOST_AUTO_TEST_SUITE_END()
