#include "operate/language.h"

#include <algorithm>
#include <fmt/format.h>

namespace fulmar::operate {

namespace {

constexpr std::string_view wordBytes
    = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789_-.:/%@+";

std::string quoted(std::string_view text)
{
    std::string result = "\"";
    for (char byte : text) {
        if (byte == '"' || byte == '\\')
            result += '\\';
        result += byte;
    }
    return result + '"';
}

// A word as it can be parsed back: bare where the grammar allows it.
std::string word(std::string_view text)
{
    bool isBare = !text.empty() && text.find_first_not_of(wordBytes) == std::string_view::npos;
    return isBare ? std::string(text) : quoted(text);
}

template <typename Tag> std::string word(const Id<Tag>& id) { return word(id.value()); }

// Appends " name = value" for fields that are present.
class AssignmentWriter {
public:
    void add(const char* name, const std::optional<double>& value)
    {
        if (value)
            append(name, fmt::format("{}", *value));
    }
    void add(const char* name, const std::optional<std::uint32_t>& value)
    {
        if (value)
            append(name, fmt::format("{}", *value));
    }
    void add(const char* name, const std::optional<bool>& value)
    {
        if (value)
            append(name, *value ? "yes" : "no");
    }
    template <typename Tag> void add(const char* name, const std::optional<Id<Tag>>& value)
    {
        if (value)
            append(name, word(*value));
    }
    template <typename Period>
    void add(const char* name, const std::optional<std::chrono::duration<std::int64_t, Period>>& value)
    {
        if (value)
            append(name, fmt::format("{}ms", std::chrono::milliseconds(*value).count()));
    }
    void addMemory(const char* name, const std::optional<std::uint64_t>& megabytes)
    {
        if (megabytes)
            append(name, fmt::format("{}MB", *megabytes));
    }

    [[nodiscard]] const std::string& text() const { return m_text; }

private:
    void append(const char* name, std::string_view value) { m_text += fmt::format(" {} = {}", name, value); }

    std::string m_text;
};

struct BodyText {
    std::string operator()(const DrainVm& body) const { return "drain vm " + word(body.vm); }
    std::string operator()(const UndrainVm& body) const { return "undrain vm " + word(body.vm); }
    std::string operator()(const MoveVm& body) const
    {
        return fmt::format("move vm {} to pool {}", word(body.vm), word(body.pool));
    }
    std::string operator()(const AssignVm& body) const
    {
        return fmt::format("assign vm {} to pool {}", word(body.vm), word(body.pool));
    }
    std::string operator()(const QuarantineVm& body) const
    {
        return (body.lifts ? "release vm " : "quarantine vm ") + word(body.vm);
    }
    std::string operator()(const StartWave& body) const { return "start wave over pool " + word(body.pool); }
    std::string operator()(const ControlWave& body) const
    {
        return fmt::format("{} wave {}", toString(body.step), word(body.wave));
    }
    std::string operator()(const CancelTask& body) const { return "cancel task " + word(body.task); }
    std::string operator()(const CancelCommand& body) const { return "cancel command " + word(body.command); }
    std::string operator()(const ChangePool& body) const
    {
        AssignmentWriter writer;
        writer.add("unavailable", body.unavailableShare);
        writer.add("unavailablePerRack", body.unavailableSharePerRack);
        writer.add("unavailablePerZone", body.unavailableSharePerZone);
        writer.add("spare", body.isSpare);
        return (body.creates ? "create pool " : "set pool ") + word(body.pool) + writer.text();
    }
    std::string operator()(const ChangeService& body) const
    {
        AssignmentWriter writer;
        writer.add("pool", body.pool);
        writer.add("slots", body.slots);
        writer.add("connections", body.connections);
        writer.add("queueLimit", body.queueLimit);
        writer.add("timeout", body.timeout);
        writer.add("retryShare", body.retryShare);
        return (body.creates ? "declare service " : "set service ") + word(body.service) + writer.text();
    }
    std::string operator()(const ChangeJob& body) const
    {
        AssignmentWriter writer;
        writer.add("pool", body.pool);
        writer.add("team", body.team);
        writer.add("processors", body.processors);
        writer.addMemory("memory", body.memoryMb);
        writer.add("accelerators", body.accelerators);
        writer.add("runTime", body.runTime);
        writer.add("idempotent", body.idempotent);
        writer.add("urgent", body.urgent);
        return (body.creates ? "declare job " : "set job ") + word(body.job) + writer.text();
    }
    std::string operator()(const ChangeQuota& body) const
    {
        AssignmentWriter writer;
        writer.add("processors", body.processors);
        writer.addMemory("memory", body.memoryMb);
        writer.add("accelerators", body.accelerators);
        return "set quota team " + word(body.team) + writer.text();
    }
};

struct StatementText {
    std::string operator()(const Query& query) const
    {
        std::string text = fmt::format("{} {}", query.count ? "count" : "show", toString(query.subject));
        if (!query.groupBy.empty())
            text += " by " + query.groupBy;
        const char* joint = " where";
        for (const auto& filter : query.filters) {
            text += fmt::format(
                "{} {} {} {}", joint, filter.field, toString(filter.comparison), word(filter.value));
            joint = " and";
        }
        if (query.order)
            text += fmt::format(" order by {}{}", query.order->field, query.order->descending ? " desc" : "");
        if (query.limit)
            text += fmt::format(" limit {}", *query.limit);
        return text;
    }
    std::string operator()(const WhyQuery& query) const
    {
        return fmt::format("why {} {}", toString(query.entity.kind), word(query.entity.name));
    }
    std::string operator()(const TimelineQuery& query) const
    {
        std::string text = "timeline";
        if (query.entity)
            text += fmt::format(" {} {}", toString(query.entity->kind), word(query.entity->name));
        if (!query.kind.empty())
            text += " kind " + word(query.kind);
        if (query.last)
            text += fmt::format(" last {}ms", query.last->count());
        if (query.limit)
            text += fmt::format(" limit {}", *query.limit);
        return text;
    }
    std::string operator()(const HelpQuery&) const { return "help"; }
    std::string operator()(const Command& command) const
    {
        std::string text = (command.dryRun ? "plan " : "") + std::visit(BodyText {}, command.body);
        if (!command.because.empty())
            text += " because " + quoted(command.because);
        return text;
    }
};

} // namespace

std::string toText(const Statement& statement) { return std::visit(StatementText {}, statement); }

std::string formatSyntaxError(std::string_view text, const SyntaxError& error)
{
    std::string line(text.substr(0, maxStatementLength));
    std::replace_if(
        line.begin(), line.end(), [](char byte) { return byte >= 0 && byte < ' '; }, ' ');
    return fmt::format(
        "{}\n{:>{}}\ncolumn {}: expected {}", line, "^", error.column, error.column, error.expected);
}

std::string_view toString(EntityKind kind)
{
    switch (kind) {
    case EntityKind::Vm:
        return "vm";
    case EntityKind::Pool:
        return "pool";
    case EntityKind::Service:
        return "service";
    case EntityKind::Task:
        return "task";
    case EntityKind::Wave:
        return "wave";
    case EntityKind::Command:
        return "command";
    case EntityKind::Request:
        return "request";
    case EntityKind::Move:
        return "move";
    }
    return "vm";
}

std::string_view toString(WaveStep step)
{
    switch (step) {
    case WaveStep::Pause:
        return "pause";
    case WaveStep::Resume:
        return "resume";
    case WaveStep::Stop:
        return "stop";
    }
    return "pause";
}

std::string_view toString(Comparison comparison)
{
    switch (comparison) {
    case Comparison::Equal:
        return "=";
    case Comparison::NotEqual:
        return "!=";
    case Comparison::Less:
        return "<";
    case Comparison::LessOrEqual:
        return "<=";
    case Comparison::Greater:
        return ">";
    case Comparison::GreaterOrEqual:
        return ">=";
    case Comparison::Contains:
        return "~";
    }
    return "=";
}

std::string languageHelp()
{
    std::string subjects;
    for (auto subject : allSubjects())
        subjects += fmt::format("  {:<9} {}\n", toString(subject), fieldNames(subject));
    return R"(Queries
  show SUBJECT [where COLUMN OP VALUE [and ...]] [order by COLUMN [asc|desc]] [limit N]
  count SUBJECT [by COLUMN] [where COLUMN OP VALUE [and ...]]
  why vm|pool|service|task|wave|command|request|move NAME
  timeline [vm|pool|service|task|wave|command|request|move NAME] [kind PREFIX] [last DURATION] [limit N]
  help
  OP is =, !=, <, <=, >, >= or ~ (contains). Ages take durations: since > 10m.

Commands; each may end in: because "REASON"
  plan COMMAND                     show the effect, change nothing
  plan wave over pool POOL         show what a maintenance wave would take
  drain vm VM                      give it no new work; calls in flight end
  undrain vm VM                    let it serve again
  move vm VM to pool POOL          drain it, then change its pool
  assign vm VM to pool POOL        give a VM without a pool to a pool
  quarantine vm VM                 start no new tasks on it
  release vm VM                    end its quarantine
  create pool POOL [unavailable = 10%] [unavailablePerRack = 10%] [unavailablePerZone = 10%] [spare = yes]
  set pool POOL ...                change some of these
  declare service SERVICE pool = POOL [slots = 8] [connections = 64] [queueLimit = 256] [timeout = 10s]
      [retryShare = 10%]
  set service SERVICE ...          change some of these
  declare job JOB pool = POOL team = TEAM [processors = 1] [memory = 1GB] [accelerators = 0]
      [runTime = 60s] [idempotent = yes] [urgent = no]
  set job JOB ...                  change some of these
  set quota team TEAM [processors = 40] [memory = 64GB] [accelerators = 0]
  start wave over pool POOL        maintain every VM of the pool
  pause|resume|stop wave WAVE
  cancel task TASK
  cancel command COMMAND

Subjects and their columns
)" + subjects;
}

} // namespace fulmar::operate
