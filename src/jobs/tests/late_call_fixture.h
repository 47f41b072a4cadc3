#pragma once

#include "jobs/runner_row.h"
#include "jobs/tests/model_runner.h"

#include <fmt/format.h>

#include <functional>
#include <random>
#include <variant>

namespace fulmar::jobs::test {

using Call = std::variant<StartOrder, StopOrder, PollOrder>;

enum class Fate : std::uint8_t {
    Answered,
    // Not executed.
    Lost,
    AnswerLost,
    // Executed late, not answered.
    Late,
    // Late, when the test says so.
    Held,
};

inline constexpr Duration maxLateness { 6s };

// A holder, model runners, and a network between them that loses and delays calls. Rows are stored at once.
class LateCallPlay : public ShardFixture {
public:
    explicit LateCallPlay(std::size_t runners, std::uint64_t seed = 1)
        : m_random(seed)
    {
        for (std::size_t i = 0; i < runners; ++i) {
            RunnerId id("r" + std::to_string(i));
            begin(m_hosts[id]);
            listed.emplace(id, report(id.value()));
        }
        play(1s);
    }

    void play(Duration length)
    {
        for (auto end = now + length; now < end;)
            step();
    }
    template <typename Condition> bool playUntil(Condition isReached, Duration limit)
    {
        for (auto end = now + limit; now < end && !isReached();)
            step();
        return isReached();
    }

    // The incarnation ends; the next one begins after `downtime` and is listed `listDelay` later.
    void restart(const RunnerId& id, Duration downtime, Duration listDelay)
    {
        auto& host = m_hosts.at(id);
        if (!host.runner)
            return;
        note(id, {}, fmt::format("{} incarnation {} ends", id.value(), host.runner->incarnation()));
        m_ended.push_back(*std::exchange(host.runner, std::nullopt));
        host.beginsAt = now + downtime;
        host.listDelay = listDelay;
    }

    // The next holder starts from the stored rows alone.
    void replaceHolder()
    {
        std::destroy_at(&shard);
        std::construct_at(&shard, ShardSettings {}, ++m_epoch);
        note({}, {}, fmt::format("holder {}", m_epoch));
        for (const auto& [name, value] : m_rows) {
            const auto& [kind, key] = name;
            if (kind == ShardChange::Kind::Runner)
                shard.restoreRunner(*decodeRunnerRow(key, value), now);
            if (kind != ShardChange::Kind::Job)
                continue;
            auto progress = m_rows.find({ ShardChange::Kind::Progress, key });
            auto decoded
                = progress == m_rows.end() ? std::optional(JobProgress {}) : decodeProgress(progress->second);
            shard.restoreJob(*decodeJob(value), *decoded, now);
        }
        shard.observeRunners(listed, now);
    }

    SubmitVerdict submit(const Job& job)
    {
        auto verdict = shard.submit(job, now, wall()).verdict;
        store();
        return verdict;
    }

    // Executes the held call; false if that is later than calls come.
    bool deliverHeld()
    {
        auto found = std::find_if(m_calls.begin(), m_calls.end(),
            [](const Sent& each) { return each.fate == Fate::Held && !each.isExecuted; });
        if (found == m_calls.end() || now > found->sent + maxLateness)
            return false;
        execute(*found);
        return found->isDelivered;
    }

    [[nodiscard]] bool hasRunner(const RunnerId& id) { return m_hosts.at(id).runner.has_value(); }
    [[nodiscard]] ModelRunner& runner(const RunnerId& id) { return *m_hosts.at(id).runner; }
    // The incarnation has begun and has answered a poll of this holder.
    [[nodiscard]] bool hasAnswered(const RunnerId& id, std::int64_t incarnation) const
    {
        return m_answered.contains({ id, incarnation });
    }
    [[nodiscard]] Duration pick(Duration low, Duration high)
    {
        return Duration(std::uniform_int_distribution(low.count(), high.count())(m_random));
    }
    [[nodiscard]] bool chance(double probability)
    {
        return std::bernoulli_distribution(probability)(m_random);
    }

    // What breaks the rule TWICE, with the events that concern the task; empty if nothing does.
    [[nodiscard]] std::string violations() const
    {
        std::set<std::pair<TaskName, std::string>> found(m_twoAtOnce.begin(), m_twoAtOnce.end());
        auto addStartsAfterEnds = [&](const ModelRunner& runner) {
            for (const auto& [end, at, isNoted, hasLapsed] : runner.ends())
                if (end.kind == EndKind::Done && isNoted && !hasLapsed)
                    for (const auto& [task, startedAt] : m_begun)
                        if (task == end.task && startedAt >= at)
                            found.emplace(task, "starts after a noted end `done`");
        };
        for (const auto& runner : m_ended)
            addStartsAfterEnds(runner);
        for (const auto& [id, host] : m_hosts)
            if (host.runner)
                addStartsAfterEnds(*host.runner);
        std::string text;
        for (const auto& [task, what] : found) {
            text += fmt::format("{} {}\n", nameOf(task), what);
            text += eventsOf(task);
        }
        return text;
    }

    std::function<Fate(const RunnerId&, const Call&)> chooseFate { [](const RunnerId&, const Call&) {
        return Fate::Answered;
    } };
    // How long runs that begin now take.
    std::function<Duration()> taskTime { [] { return Duration(500ms); } };
    EndKind endKind { EndKind::Done };
    // Of calls that are carried out late.
    Duration shortestLateness { 200ms };
    Duration longestLateness { maxLateness };
    // The holder is paused: it plans nothing, and sees the answers once it goes on.
    bool isHolderPaused { false };
    // A start order is about to be sent.
    std::function<void(const StartOrder&)> onStartSent { [](const StartOrder&) {} };
    // Called in each round, before the holder plans and after it did.
    std::function<void()> beforePlan { [] {} };
    std::function<void()> afterPlan { [] {} };

    // What runs, and what orders on their way would begin.
    [[nodiscard]] std::set<std::pair<TaskName, Attempt>> runningOrOnTheWay() const
    {
        std::set<std::pair<TaskName, Attempt>> found;
        for (const auto& [id, host] : m_hosts)
            if (host.runner)
                for (const auto& run : host.runner->lists(now).running)
                    found.emplace(run.task, run.attempt);
        for (const auto& each : m_calls) {
            const auto* start = std::get_if<StartOrder>(&each.call);
            const auto& host = m_hosts.at(each.runner);
            if (start && !each.isExecuted && host.runner && host.runner->wouldBegin(*start, now))
                found.emplace(start->task, start->attempt);
        }
        return found;
    }

    // Connections to a runner that ends break, and new ones are refused; otherwise calls get no answer.
    bool breaksConnections { true };

private:
    static constexpr Duration tick { 10ms };
    static constexpr Duration minTransit { 5ms };
    static constexpr Duration maxTransit { 40ms };
    static constexpr double slowestClock = 0.98;

    struct Host {
        std::int64_t incarnations { 0 };
        std::optional<ModelRunner> runner;
        TimePoint beginsAt;
        Duration listDelay { 0 };
    };

    struct Sent {
        RunnerId runner;
        Call call;
        Epoch holder { 0 };
        Fate fate { Fate::Answered };
        TimePoint sent;
        TimePoint arrivesAt;
        TimePoint timesOutAt;
        bool isExecuted { false };
        // It was executed by an incarnation, which is this one.
        bool isDelivered { false };
        std::int64_t incarnation { 0 };
        // Set while a poll waits for an end.
        std::optional<TimePoint> waitsUntil;
        PollAnswer answer;
        std::optional<TimePoint> answeredAt;
        bool isSettled { false };
    };

    struct Event {
        RunnerId runner;
        std::optional<TaskName> task;
        std::string line;
    };

    static std::string nameOf(const TaskName& task)
    {
        return fmt::format("{}.{}", task.job.value(), task.index);
    }
    // `runner` is empty for a new holder, `task` also for a restart.
    void note(const RunnerId& runner, std::optional<TaskName> task, const std::string& what)
    {
        m_events.push_back({ runner, std::move(task),
            fmt::format("  {:.2f} {}\n", double((now - m_began) / 1ms) / 1'000, what) });
    }
    [[nodiscard]] std::string eventsOf(const TaskName& task) const
    {
        std::set<RunnerId> runners { RunnerId() };
        for (const auto& event : m_events)
            if (event.task == task)
                runners.insert(event.runner);
        std::string text;
        for (const auto& event : m_events)
            if (event.task == task || (!event.task && runners.contains(event.runner)))
                text += event.line;
        return text;
    }

    void begin(Host& host)
    {
        host.runner.emplace(++host.incarnations, now, chance(0.5) ? slowestClock : 1.0);
    }

    void step()
    {
        auto at = now + tick;
        std::swap(now, at);
        for (auto& [id, host] : m_hosts)
            advanceHost(id, host);
        for (auto& each : m_calls)
            advanceCall(each);
        std::erase_if(m_calls, [](const Sent& each) { return each.isSettled && each.isExecuted; });
        for (auto end = m_listUpdates.upper_bound(now); m_listUpdates.begin() != end;) {
            auto update = m_listUpdates.extract(m_listUpdates.begin()).mapped();
            if (update.incarnation > listed.at(update.id).incarnation)
                listed.at(update.id) = update;
        }
        if (isHolderPaused)
            return;
        shard.observeRunners(listed, now);
        store();
        beforePlan();
        advance(Duration(0));
        for (const auto& each : starts) {
            onStartSent(each.order);
            send(each.runner.id, each.order, each.order.timeout);
        }
        for (const auto& each : stops)
            send(each.runner.id, each.order, each.order.timeout);
        for (const auto& each : std::exchange(polls, {}))
            send(each.runner.id, each.order, each.order.wait + each.order.timeout);
        afterPlan();
    }

    void advanceHost(const RunnerId& id, Host& host)
    {
        if (!host.runner && now >= host.beginsAt) {
            begin(host);
            note(id, {}, fmt::format("{} incarnation {} begins", id.value(), host.incarnations));
            m_listUpdates.emplace(now + host.listDelay, report(id.value(), 16'000, host.incarnations));
        }
        if (!host.runner)
            return;
        auto before = host.runner->ends().size();
        host.runner->advance(now);
        for (auto i = before; i < host.runner->ends().size(); ++i)
            if (const auto& end = host.runner->ends()[i].end; true)
                note(id, end.task,
                    fmt::format("{} incarnation {}: {} #{} ends {}, number {}", id.value(), host.incarnations,
                        nameOf(end.task), end.attempt, toString(end.kind), end.number));
    }

    void send(const RunnerId& id, const Call& call, Duration timeout)
    {
        auto fate = chooseFate(id, call);
        auto arrivesAt = now + pick(minTransit, maxTransit);
        if (fate == Fate::Late)
            arrivesAt = now + pick(shortestLateness, longestLateness);
        if (fate == Fate::Held)
            arrivesAt = TimePoint::max();
        m_calls.push_back({ id, call, m_epoch, fate, now, arrivesAt, now + timeout, fate == Fate::Lost });
    }

    void advanceCall(Sent& each)
    {
        if (!each.isExecuted && now >= each.arrivesAt)
            execute(each);
        if (each.waitsUntil) {
            const auto& host = m_hosts.at(each.runner);
            if (!host.runner || host.runner->incarnation() != each.incarnation) {
                each.waitsUntil.reset();
                if (breaksConnections)
                    settle(each, {});
            } else if (host.runner->hasEndsToList() || now >= *each.waitsUntil) {
                each.waitsUntil.reset();
                reply(each, host.runner->lists(now));
            }
        }
        if (each.answeredAt && now >= *each.answeredAt)
            settle(each, each.answer);
        if (now >= each.timesOutAt)
            settle(each, {});
    }

    void execute(Sent& each)
    {
        each.isExecuted = true;
        auto& host = m_hosts.at(each.runner);
        if (!host.runner) {
            if (each.fate == Fate::Answered && breaksConnections)
                settle(each, { { OrderOutcome::NotSent }, {}, {} });
            return;
        }
        auto& runner = *host.runner;
        auto isOlder = each.sent < runner.bornAt();
        // The only exclusion: "It may also be executed seconds later, after newer calls", but before any call
        // that was sent since its birth, no holder can know of the incarnation.
        if (isOlder && !runner.hasExecutedNewCall)
            return;
        runner.hasExecutedNewCall |= !isOlder;
        each.isDelivered = true;
        each.incarnation = runner.incarnation();
        std::visit([&](const auto& order) { executeAt(runner, each, order); }, each.call);
    }

    void reply(Sent& each, PollAnswer answer)
    {
        if (each.fate != Fate::Answered)
            return;
        each.answer = std::move(answer);
        each.answeredAt = now + pick(minTransit, maxTransit);
    }

    [[nodiscard]] std::string describe(const Sent& each) const
    {
        return fmt::format("{} incarnation {}, sent {:.2f} s before by holder {}", each.runner.value(),
            each.incarnation, double((now - each.sent) / 1ms) / 1'000, each.holder);
    }

    void executeAt(ModelRunner& runner, Sent& each, const StartOrder& order)
    {
        auto before = runner.countRuns();
        auto outcome = runner.start(order, taskTime(), now, endKind);
        note(each.runner, order.task,
            fmt::format(
                "{}: start {} #{} {}", describe(each), nameOf(order.task), order.attempt, toString(outcome)));
        reply(each, { { outcome }, {}, {} });
        if (runner.countRuns() == before)
            return;
        m_begun.emplace_back(order.task, now);
        std::size_t count = 0;
        for (const auto& [id, host] : m_hosts)
            count += host.runner ? host.runner->countRuns(order.task) : 0;
        if (count > 1)
            m_twoAtOnce.emplace_back(order.task, "runs twice at once");
    }

    void executeAt(ModelRunner& runner, Sent& each, const StopOrder& order)
    {
        auto outcome = runner.stop(order, now);
        note(each.runner, order.task,
            fmt::format(
                "{}: stop {} #{} {}", describe(each), nameOf(order.task), order.attempt, toString(outcome)));
        reply(each, { { outcome }, {}, {} });
    }

    void executeAt(ModelRunner& runner, Sent& each, const PollOrder& order)
    {
        auto before = runner.countForgotten();
        auto outcome = runner.poll(order, now);
        for (auto i = before; i < runner.countForgotten(); ++i)
            note(each.runner, runner.ends()[i].end.task,
                fmt::format("{}: poll, last-seen {}", describe(each), order.ackEndsUpTo));
        if (outcome != OrderOutcome::Accepted)
            reply(each, { { outcome, {}, runner.incarnation() }, {}, {} });
        else if (order.wait > Millis(0) && !runner.hasEndsToList())
            each.waitsUntil = now + order.wait;
        else
            reply(each, runner.lists(now));
    }

    void settle(Sent& each, PollAnswer answer)
    {
        if (isHolderPaused || std::exchange(each.isSettled, true) || each.holder != m_epoch)
            return;
        answer.answer.took = now - each.sent;
        if (const auto* start = std::get_if<StartOrder>(&each.call)) {
            shard.onStart(each.runner, *start, answer.answer, now);
        } else if (const auto* stop = std::get_if<StopOrder>(&each.call)) {
            shard.onStop(each.runner, *stop, answer.answer, now);
        } else {
            shard.onPoll(each.runner, std::get<PollOrder>(each.call), answer, each.sent, now);
            if (answer.answer.outcome == OrderOutcome::Accepted)
                m_answered.emplace(each.runner, answer.answer.incarnation);
        }
    }

    void store()
    {
        for (const auto& change : shard.takeChanges(now)) {
            using Kind = ShardChange::Kind;
            if (change.kind == Kind::JobRemoval) {
                m_rows.erase({ Kind::Job, change.key });
                m_rows.erase({ Kind::Progress, change.key });
            } else if (change.kind == Kind::RunnerRemoval) {
                m_rows.erase({ Kind::Runner, change.key });
            } else {
                m_rows[{ change.kind, change.key }] = change.value;
            }
            shard.onStored(change, now);
        }
        shard.onEndsStored(shard.appliedEnds());
    }

    std::mt19937_64 m_random;
    TimePoint m_began { now };
    Epoch m_epoch { 1 };
    std::map<RunnerId, Host> m_hosts;
    std::vector<ModelRunner> m_ended;
    std::vector<Sent> m_calls;
    std::multimap<TimePoint, RunnerReport> m_listUpdates;
    std::map<std::pair<ShardChange::Kind, std::string>, std::string> m_rows;
    std::set<std::pair<RunnerId, std::int64_t>> m_answered;
    std::vector<std::pair<TaskName, TimePoint>> m_begun;
    std::vector<std::pair<TaskName, std::string>> m_twoAtOnce;
    std::vector<Event> m_events;
};

} // namespace fulmar::jobs::test
