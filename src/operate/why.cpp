#include "operate/why.h"

#include "operate/command_row.h"
#include "operate/pool_state.h"
#include "operate/rows.h"
#include "operate/timeline.h"

#include <algorithm>
#include <fmt/format.h>
#include <sstream>

namespace fulmar::operate {

namespace {

// Newest events that an explanation ends with.
constexpr std::size_t maxEvents = 12;

// Builds an explanation line by line, following causes from one entity to the next.
class Explanation {
public:
    Explanation(const OperatorView& view, WallTime now)
        : m_view(view)
        , m_now(now)
    {
        m_answer.columns
            = { { "fact", FieldType::Text }, { "ago", FieldType::Age }, { "source", FieldType::Text } };
    }

    void add(const Entity& entity)
    {
        switch (entity.kind) {
        case EntityKind::Vm:
            return addVm(VmId(entity.name));
        case EntityKind::Pool:
            return addPool(PoolId(entity.name));
        case EntityKind::Service:
            return addService(ServiceId(entity.name));
        case EntityKind::Task:
            return addTask(TaskId(entity.name));
        case EntityKind::Wave:
            return addWave(WaveId(entity.name));
        case EntityKind::Move:
            return addMove(OperationId(entity.name));
        case EntityKind::Command:
            return addCommand(OperationId(entity.name));
        case EntityKind::Request:
            return;
        }
    }

    void addEvents(const Entity& entity)
    {
        TimelineQuery query;
        query.entity = entity;
        query.limit = maxEvents;
        for (const auto& event : selectEvents(query, m_view.events, m_now)) {
            std::string text = event.kind;
            for (const auto& [name, value] : event.fields)
                text += fmt::format(" {}={}", name, value);
            line(std::move(text), event.stamp.wall, "event of " + event.process.value());
        }
    }

    [[nodiscard]] Answer take() { return std::move(m_answer); }

private:
    void line(std::string fact, std::optional<WallTime> since, std::string source)
    {
        auto ago = std::chrono::duration_cast<std::chrono::milliseconds>(since ? m_now - *since : m_view.age);
        std::vector<Cell> row { std::move(fact), ago, std::move(source) };
        // Several causes can lead to the same fact.
        if (std::find(m_answer.rows.begin(), m_answer.rows.end(), row) == m_answer.rows.end())
            m_answer.rows.push_back(std::move(row));
    }

    void addVm(const VmId& vm)
    {
        auto key = keys::vmPrefix + vm.value();
        auto record = findValue<VmRecord>(m_view.config, key);
        if (!record)
            return;
        line(fmt::format("vm {} is {} in pool {}, zone {}, rack {}", vm.value(), toString(record->state),
                 record->pool.value(), record->zone.value(), record->rack.value()),
            record->since, rowSource(m_view.config, key));
        if (!record->cause.empty())
            line("cause: " + record->cause, record->since, rowSource(m_view.config, key));
        addCause(record->cause);
        for (const auto& move : m_view.moves)
            if (move.vm == vm)
                addMove(move.move);
        for (const auto& worker : m_view.workers)
            if (worker.vm == vm)
                line(fmt::format("as a worker it is {} with {} tasks{}", worker.state, worker.tasks,
                         worker.reason.empty() ? "" : ": " + worker.reason),
                    std::nullopt, "work duty");
        for (const auto& target : m_view.targets)
            if (target.vm == vm)
                line(fmt::format("as a target of {} it is {} with {} of {} slots in use",
                         target.service.value(), target.state, target.inFlight, target.slots),
                    std::nullopt, "entry " + target.process.value());
        addPool(record->pool);
    }

    void addPool(const PoolId& pool)
    {
        auto key = keys::poolPrefix + pool.value();
        auto config = findValue<PoolConfig>(m_view.config, key);
        if (!config)
            return;
        auto state = poolStates(m_view)[pool];
        line(fmt::format("pool {} has {} VMs: {} serving, {} leaving, {} in maintenance, {} failed; {} of {} "
                         "may be unavailable",
                 pool.value(), state.vms, state.serving, state.leaving, state.maintenance, state.failed,
                 state.spent(), fleet::allowedVms(config->unavailableShare, state.vms)),
            std::nullopt, rowSource(m_view.config, key));
    }

    void addService(const ServiceId& service)
    {
        auto key = keys::servicePrefix + service.value();
        auto config = findValue<ServiceConfig>(m_view.config, key);
        if (!config)
            return;
        line(fmt::format("service {} is served by pool {} with {} slots a target", service.value(),
                 config->pool.value(), config->slotsPerTarget),
            std::nullopt, rowSource(m_view.config, key));
        for (const auto& target : m_view.targets)
            if (target.service == service && target.state != "serving")
                line(fmt::format("target {} is {}", target.vm.value(), target.state), std::nullopt,
                    "entry " + target.process.value());
        addPool(config->pool);
    }

    void addTask(const TaskId& task)
    {
        auto fact = std::find_if(m_view.tasks.begin(), m_view.tasks.end(),
            [&](const TaskFact& each) { return each.task == task; });
        if (fact == m_view.tasks.end())
            return;
        auto place = fact->worker.empty() ? "on no worker" : "on worker " + fact->worker.value();
        line(fmt::format("task {} of job {} is {} {} after {} starts", task.value(), fact->job.value(),
                 fact->state, place, fact->attempts),
            fact->since, "work duty");
        if (!fact->reason.empty())
            line("reason: " + fact->reason, fact->since, "work duty");
        addJob(fact->job);
        addTeam(fact->team);
        auto running = std::count_if(m_view.workers.begin(), m_view.workers.end(),
            [&](const WorkerFact& worker) { return worker.pool == fact->pool; });
        line(fmt::format("pool {} has {} workers", fact->pool.value(), running), std::nullopt, "work duty");
    }

    void addJob(const JobId& job)
    {
        auto key = keys::jobPrefix + job.value();
        if (auto config = findValue<JobConfig>(m_view.config, key))
            line(fmt::format("job {} declares {} processors, {} MB, {} accelerators{}", job.value(),
                     config->processors, config->memoryMb, config->accelerators,
                     config->urgent ? ", urgent" : ""),
                std::nullopt, rowSource(m_view.config, key));
    }

    void addTeam(const TeamId& team)
    {
        auto key = keys::teamPrefix + team.value();
        if (auto config = findValue<TeamConfig>(m_view.config, key))
            line(fmt::format("team {} has a quota of {} processors, {} MB, {} accelerators", team.value(),
                     config->processors, config->memoryMb, config->accelerators),
                std::nullopt, rowSource(m_view.config, key));
    }

    void addWave(const WaveId& wave)
    {
        for (const auto& fact : m_view.waves) {
            if (fact.wave != wave)
                continue;
            line(fmt::format("wave {} over pool {} is {}: {} of {} VMs done", wave.value(), fact.pool.value(),
                     fact.state, fact.done, fact.total),
                fact.since, "fleet duty");
            if (!fact.reason.empty())
                line("reason: " + fact.reason, fact.since, "fleet duty");
            addCause(fact.reason);
            addPool(fact.pool);
        }
    }

    void addMove(const OperationId& move)
    {
        for (const auto& fact : m_view.moves) {
            if (fact.move != move)
                continue;
            auto destination = fact.to.empty() ? std::string() : " to pool " + fact.to.value();
            line(fmt::format("vm {} of pool {}{}: {}{} (operation {})", fact.vm.value(), fact.from.value(),
                     destination, fact.state, fact.reason.empty() ? "" : ", by " + fact.reason, move.value()),
                fact.since, "fleet duty");
            addCause(fact.reason);
        }
    }

    void addCommand(const OperationId& command)
    {
        auto key = fleet::commandKey(command);
        const auto* row = findRow(m_view.commands, key);
        if (!row) {
            key = orderPrefix + command.value();
            row = findRow(m_view.commands, key);
        }
        if (!row)
            return;
        if (auto fact = decodeCommandRow(*row))
            line(fmt::format("command {} of {}: {} is {}{}", command.value(), fact->who, fact->statement,
                     toString(fact->state), fact->detail.empty() ? "" : ": " + fact->detail),
                fact->ordered, rowSource(m_view.commands, key));
    }

    // Follows the first "command c1", "wave w1" or "move m1" in a cause, once.
    void addCause(const std::string& cause)
    {
        if (m_depth > 0)
            return;
        ++m_depth;
        std::istringstream words(cause);
        std::string kind;
        std::string name;
        for (words >> kind; words >> name; kind = name) {
            name.erase(name.find_last_not_of(",.;:") + 1);
            if (kind == "command")
                addCommand(OperationId(name));
            else if (kind == "wave")
                addWave(WaveId(name));
            else if (kind == "move")
                addMove(OperationId(name));
        }
        --m_depth;
    }

    static std::string rowSource(const std::map<std::string, Row>& rows, const std::string& key)
    {
        const auto* row = findRow(rows, key);
        return fmt::format("{} version {}{}{}", key, row->version, row->operation.empty() ? "" : " by ",
            row->operation.value());
    }

    const OperatorView& m_view;
    WallTime m_now;
    int m_depth { 0 };
    Answer m_answer;
};

} // namespace

Answer explain(const Entity& entity, const OperatorView& view, WallTime now)
{
    Explanation explanation(view, now);
    explanation.add(entity);
    explanation.addEvents(entity);
    auto answer = explanation.take();
    if (answer.rows.empty())
        return sentence(AnswerStatus::BadStatement,
            fmt::format("nothing is known of {} \"{}\"{}", toString(entity.kind), entity.name,
                view.missingZones.empty() ? "" : "; some zones cannot be reached"));
    return answer;
}

} // namespace fulmar::operate
