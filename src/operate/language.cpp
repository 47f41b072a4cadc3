#include "operate/language.h"

#include "core/settings.h"
#include "operate/assignments.h"

#include <algorithm>
#include <charconv>
#include <tao/pegtl.hpp>

namespace fulmar::operate {

namespace {

namespace pegtl = tao::pegtl;

// What the grammar's actions have gathered so far.
struct Draft {
    std::vector<Word> words;
    std::vector<Assignment> assignments;
    Query query;
    TimelineQuery timeline;
    EntityKind entityKind { EntityKind::Vm };
    std::string because;
    bool dryRun { false };
    CommandBody body;
    Statement statement;

    Word takeWord()
    {
        Word word = std::move(words.back());
        words.pop_back();
        return word;
    }
    std::string takeText() { return takeWord().text; }
};

// Thrown by actions; caught in parseStatement.
struct Rejection {
    SyntaxError error;
};

[[noreturn]] void reject(std::size_t column, std::string expected)
{
    throw Rejection { { column, std::move(expected) } };
}

// ---- Grammar. A rule's `expected` is what the error says where the rule must match and does not.

struct Spaces : pegtl::star<pegtl::space> { };
struct WordByte : pegtl::sor<pegtl::alnum, pegtl::one<'_', '-', '.', ':', '/', '%', '@', '+'>> { };
struct WordEnd : pegtl::not_at<WordByte> { };

template <typename Text> struct Keyword : pegtl::seq<Text, WordEnd, Spaces> { };

#define KEYWORD(Name, text)                                                                                  \
    struct Name : Keyword<TAO_PEGTL_STRING(text)> {                                                          \
        [[maybe_unused]] static constexpr const char* expected = "'" text "'";                               \
    }

KEYWORD(ShowWord, "show");
KEYWORD(CountWord, "count");
KEYWORD(WhyWord, "why");
KEYWORD(TimelineWord, "timeline");
KEYWORD(HelpWord, "help");
KEYWORD(WhereWord, "where");
KEYWORD(AndWord, "and");
KEYWORD(OrderWord, "order");
KEYWORD(ByWord, "by");
KEYWORD(AscendingWord, "asc");
KEYWORD(DescendingWord, "desc");
KEYWORD(LimitWord, "limit");
KEYWORD(LastWord, "last");
KEYWORD(KindWord, "kind");
KEYWORD(PlanWord, "plan");
KEYWORD(DrainWord, "drain");
KEYWORD(UndrainWord, "undrain");
KEYWORD(MoveWord, "move");
KEYWORD(AssignWord, "assign");
KEYWORD(ToWord, "to");
KEYWORD(OverWord, "over");
KEYWORD(VmWord, "vm");
KEYWORD(PoolWord, "pool");
KEYWORD(ServiceWord, "service");
KEYWORD(JobWord, "job");
KEYWORD(TeamWord, "team");
KEYWORD(TaskWord, "task");
KEYWORD(WaveWord, "wave");
KEYWORD(CommandWord, "command");
KEYWORD(RequestWord, "request");
KEYWORD(QuotaWord, "quota");
KEYWORD(CreateWord, "create");
KEYWORD(DeclareWord, "declare");
KEYWORD(SetWord, "set");
KEYWORD(StartWord, "start");
KEYWORD(PauseWord, "pause");
KEYWORD(ResumeWord, "resume");
KEYWORD(StopWord, "stop");
KEYWORD(QuarantineWord, "quarantine");
KEYWORD(ReleaseWord, "release");
KEYWORD(CancelWord, "cancel");
KEYWORD(BecauseWord, "because");

#undef KEYWORD

struct BareWord : pegtl::plus<WordByte> { };
struct QuotedText
    : pegtl::star<
          pegtl::sor<pegtl::seq<pegtl::one<'\\'>, pegtl::one<'"', '\\'>>, pegtl::not_one<'"', '\\'>>> { };
struct ClosingQuote : pegtl::one<'"'> {
    [[maybe_unused]] static constexpr const char* expected
        = "a closing quote; \\ stands only before \" or \\";
};
struct AnyWord
    : pegtl::seq<pegtl::sor<pegtl::if_must<pegtl::one<'"'>, QuotedText, ClosingQuote>, BareWord>, Spaces> { };
struct Name : AnyWord {
    [[maybe_unused]] static constexpr const char* expected = "a name";
};
struct Value : AnyWord {
    [[maybe_unused]] static constexpr const char* expected = "a value";
};
struct FieldName : AnyWord {
    [[maybe_unused]] static constexpr const char* expected = "a column's name";
};
struct ReasonText : AnyWord {
    [[maybe_unused]] static constexpr const char* expected = "a reason in quotes";
};
struct DurationValue : AnyWord {
    [[maybe_unused]] static constexpr const char* expected = "a duration with its unit, as 30s or 10m";
};
struct CountValue : AnyWord {
    [[maybe_unused]] static constexpr const char* expected = "a whole number";
};

struct SubjectName : AnyWord {
    [[maybe_unused]] static constexpr const char* expected
        = "vms, pools, services, targets, workers, tasks, jobs, teams, "
          "waves, moves, leases, config, peers or commands";
};
struct Operator : pegtl::sor<TAO_PEGTL_STRING("!="), TAO_PEGTL_STRING("<="), TAO_PEGTL_STRING(">="),
                      pegtl::one<'=', '<', '>', '~'>> { };
struct OperatorToken : pegtl::seq<Operator, Spaces> {
    [[maybe_unused]] static constexpr const char* expected = "=, !=, <, <=, >, >= or ~";
};
struct FilterRule : pegtl::seq<pegtl::must<FieldName>, pegtl::must<OperatorToken>, pegtl::must<Value>> { };
struct WhereClause : pegtl::if_must<WhereWord, FilterRule, pegtl::star<AndWord, FilterRule>> { };
struct OrderField : FieldName { };
struct OrderClause
    : pegtl::if_must<OrderWord, ByWord, OrderField, pegtl::opt<pegtl::sor<AscendingWord, DescendingWord>>> {
};
struct LimitClause : pegtl::if_must<LimitWord, CountValue> { };
struct GroupClause : pegtl::if_must<ByWord, FieldName> { };
struct QueryEnd : pegtl::eof {
    [[maybe_unused]] static constexpr const char* expected
        = "'where', 'and', 'by', 'order by', 'limit' or the end of the statement";
};
struct ShowQuery : pegtl::seq<ShowWord, pegtl::must<SubjectName>, pegtl::opt<WhereClause>,
                       pegtl::opt<OrderClause>, pegtl::opt<LimitClause>, pegtl::must<QueryEnd>> { };
struct CountQuery : pegtl::seq<CountWord, pegtl::must<SubjectName>, pegtl::opt<GroupClause>,
                        pegtl::opt<WhereClause>, pegtl::must<QueryEnd>> { };

struct EntityKindToken
    : pegtl::sor<VmWord, PoolWord, ServiceWord, TaskWord, WaveWord, CommandWord, RequestWord, MoveWord> {
    [[maybe_unused]] static constexpr const char* expected
        = "vm, pool, service, task, wave, command, request or move";
};
struct EntityRule : pegtl::if_must<EntityKindToken, Name> { };
struct End : pegtl::eof {
    [[maybe_unused]] static constexpr const char* expected = "the end of the statement";
};
struct WhyRule : pegtl::if_must<WhyWord, EntityKindToken, Name, End> { };

struct TimelineKind : pegtl::if_must<KindWord, Name> { };
struct TimelineLast : pegtl::if_must<LastWord, DurationValue> { };
struct TimelineEnd : pegtl::eof {
    [[maybe_unused]] static constexpr const char* expected
        = "an entity, 'kind', 'last', 'limit' or the end of the statement";
};
struct TimelineEntity : EntityRule { };
struct TimelineRule : pegtl::seq<TimelineWord, pegtl::opt<TimelineEntity>, pegtl::opt<TimelineKind>,
                          pegtl::opt<TimelineLast>, pegtl::opt<LimitClause>, pegtl::must<TimelineEnd>> { };
struct HelpRule : pegtl::if_must<HelpWord, End> { };

struct VmName : pegtl::if_must<VmWord, Name> { };
struct VmToPool : pegtl::seq<pegtl::must<VmWord>, pegtl::must<Name>, pegtl::must<ToWord>,
                      pegtl::must<PoolWord>, pegtl::must<Name>> { };
struct DrainRule : pegtl::if_must<DrainWord, VmWord, Name> { };
struct UndrainRule : pegtl::if_must<UndrainWord, VmWord, Name> { };
struct MoveRule : pegtl::if_must<MoveWord, VmToPool> { };
struct AssignRule : pegtl::if_must<AssignWord, VmToPool> { };
struct QuarantineRule : pegtl::if_must<QuarantineWord, VmWord, Name> { };
struct ReleaseRule : pegtl::if_must<ReleaseWord, VmWord, Name> { };
struct StartRule : pegtl::if_must<StartWord, WaveWord, OverWord, PoolWord, Name> { };
struct PlanWaveRule : pegtl::seq<WaveWord, pegtl::must<OverWord>, pegtl::must<PoolWord>, pegtl::must<Name>> {
};
struct PauseRule : pegtl::if_must<PauseWord, WaveWord, Name> { };
struct ResumeRule : pegtl::if_must<ResumeWord, WaveWord, Name> { };
struct StopRule : pegtl::if_must<StopWord, WaveWord, Name> { };
struct CancelTaskRule : pegtl::if_must<TaskWord, Name> { };
struct CancelCommandRule : pegtl::if_must<CommandWord, Name> { };
struct CancelTarget : pegtl::sor<CancelTaskRule, CancelCommandRule> {
    [[maybe_unused]] static constexpr const char* expected = "'task' or 'command'";
};
struct CancelRule : pegtl::if_must<CancelWord, CancelTarget> { };

struct AssignmentField : pegtl::seq<pegtl::not_at<BecauseWord>, AnyWord> { };
struct EqualsToken : pegtl::seq<pegtl::one<'='>, Spaces> { };
struct AssignmentRule : pegtl::seq<AssignmentField, pegtl::opt<EqualsToken>, pegtl::must<Value>> { };
struct Assignments : pegtl::star<AssignmentRule> { };

struct CreatePoolRule : pegtl::if_must<CreateWord, PoolWord, Name, Assignments> { };
struct DeclareServiceRule : pegtl::if_must<ServiceWord, Name, Assignments> { };
struct DeclareJobRule : pegtl::if_must<JobWord, Name, Assignments> { };
struct DeclareTarget : pegtl::sor<DeclareServiceRule, DeclareJobRule> {
    [[maybe_unused]] static constexpr const char* expected = "'service' or 'job'";
};
struct DeclareRule : pegtl::if_must<DeclareWord, DeclareTarget> { };
struct SetPoolRule : pegtl::if_must<PoolWord, Name, Assignments> { };
struct SetServiceRule : pegtl::if_must<ServiceWord, Name, Assignments> { };
struct SetJobRule : pegtl::if_must<JobWord, Name, Assignments> { };
struct SetQuotaRule : pegtl::if_must<QuotaWord, TeamWord, Name, Assignments> { };
struct SetTarget : pegtl::sor<SetPoolRule, SetServiceRule, SetJobRule, SetQuotaRule> {
    [[maybe_unused]] static constexpr const char* expected = "'pool', 'service', 'job' or 'quota'";
};
struct SetRule : pegtl::if_must<SetWord, SetTarget> { };

struct AnyCommand
    : pegtl::sor<DrainRule, UndrainRule, MoveRule, AssignRule, QuarantineRule, ReleaseRule, StartRule,
          PauseRule, ResumeRule, StopRule, CancelRule, CreatePoolRule, DeclareRule, SetRule> { };
struct BecauseClause : pegtl::if_must<BecauseWord, ReasonText> { };
struct CommandEnd : pegtl::eof {
    [[maybe_unused]] static constexpr const char* expected = "'because' or the end of the statement";
};
struct PlannedCommand : pegtl::sor<PlanWaveRule, AnyCommand> {
    [[maybe_unused]] static constexpr const char* expected = "'wave over pool' or a command";
};
struct PlanPrefix : pegtl::if_must<PlanWord, PlannedCommand> { };
struct CommandRule
    : pegtl::seq<pegtl::sor<PlanPrefix, AnyCommand>, pegtl::opt<BecauseClause>, pegtl::must<CommandEnd>> { };

struct AnyStatement : pegtl::sor<ShowQuery, CountQuery, WhyRule, TimelineRule, HelpRule, CommandRule> {
    [[maybe_unused]] static constexpr const char* expected
        = "show, count, why, timeline, help, plan, drain, undrain, move, assign, quarantine, release, "
          "create, declare, set, start, pause, resume, stop or cancel";
};
struct Grammar : pegtl::seq<Spaces, pegtl::must<AnyStatement>> { };

template <typename Rule> constexpr const char* expectedOf()
{
    if constexpr (requires { Rule::expected; })
        return Rule::expected;
    else
        return "a statement";
}

struct Errors {
    template <typename Rule>
    static constexpr bool raise_on_failure = false; // NOLINT(readability-identifier-naming)
    template <typename Rule> static constexpr const char* message = expectedOf<Rule>();
};
template <typename Rule> using Control = pegtl::must_if<Errors>::control<Rule>;

// ---- Conversions from words.

Subject subjectOf(const Word& word)
{
    for (auto subject : allSubjects())
        if (toString(subject) == word.text)
            return subject;
    reject(word.column, SubjectName::expected);
}

std::string fieldOf(Subject subject, Word word)
{
    if (!fieldIndex(subject, word.text))
        reject(word.column, "one of " + fieldNames(subject));
    return std::move(word.text);
}

Comparison comparisonOf(std::string_view text)
{
    constexpr std::array comparisons { Comparison::Equal, Comparison::NotEqual, Comparison::Less,
        Comparison::LessOrEqual, Comparison::Greater, Comparison::GreaterOrEqual, Comparison::Contains };
    const auto* position = std::find_if(
        comparisons.begin(), comparisons.end(), [&](Comparison each) { return toString(each) == text; });
    return *position;
}

// A word that names something; quotes allow every byte, but not nothing.
std::string nameOf(Word word)
{
    if (word.text.empty())
        reject(word.column, "a name that is not empty");
    return std::move(word.text);
}

void finish(const AssignmentReader& reader)
{
    if (auto error = reader.finish())
        throw Rejection { *error };
}

ChangePool poolChange(std::string name, std::vector<Assignment> assignments, bool creates)
{
    AssignmentReader reader(std::move(assignments));
    ChangePool change { PoolId(std::move(name)), creates, {}, {}, {}, {} };
    reader.takeShare("unavailable", change.unavailableShare);
    reader.takeShare("unavailablePerRack", change.unavailableSharePerRack);
    reader.takeShare("unavailablePerZone", change.unavailableSharePerZone);
    reader.take("spare", change.isSpare);
    finish(reader);
    return change;
}

ChangeService serviceChange(std::string name, std::vector<Assignment> assignments, bool creates)
{
    AssignmentReader reader(std::move(assignments));
    ChangeService change { ServiceId(std::move(name)), creates, {}, {}, {}, {}, {}, {} };
    reader.take("pool", change.pool);
    reader.take("slots", change.slots);
    reader.take("connections", change.connections);
    reader.take("queueLimit", change.queueLimit);
    reader.takeDuration("timeout", change.timeout);
    reader.takeShare("retryShare", change.retryShare);
    finish(reader);
    return change;
}

ChangeJob jobChange(std::string name, std::vector<Assignment> assignments, bool creates)
{
    AssignmentReader reader(std::move(assignments));
    ChangeJob change { JobId(std::move(name)), creates, {}, {}, {}, {}, {}, {}, {}, {} };
    std::optional<std::chrono::milliseconds> runTime;
    reader.take("pool", change.pool);
    reader.take("team", change.team);
    reader.take("processors", change.processors);
    reader.takeMemory("memory", change.memoryMb);
    reader.take("accelerators", change.accelerators);
    reader.takeDuration("runTime", runTime);
    reader.take("idempotent", change.idempotent);
    reader.take("urgent", change.urgent);
    finish(reader);
    if (runTime)
        change.runTime = std::chrono::ceil<std::chrono::seconds>(*runTime);
    return change;
}

ChangeQuota quotaChange(std::string name, std::vector<Assignment> assignments)
{
    AssignmentReader reader(std::move(assignments));
    ChangeQuota change { TeamId(std::move(name)), {}, {}, {} };
    reader.take("processors", change.processors);
    reader.takeMemory("memory", change.memoryMb);
    reader.take("accelerators", change.accelerators);
    finish(reader);
    return change;
}

// ---- Actions. Each takes the words that its rule has just matched.

template <typename Rule> struct Action : pegtl::nothing<Rule> { };

template <> struct Action<BareWord> {
    template <typename Input> static void apply(const Input& in, Draft& draft)
    {
        draft.words.push_back({ in.string(), in.position().byte + 1 });
    }
};
template <> struct Action<QuotedText> {
    template <typename Input> static void apply(const Input& in, Draft& draft)
    {
        std::string text;
        bool escaped = false;
        for (char byte : in.string_view()) {
            escaped = byte == '\\' && !escaped;
            if (!escaped)
                text += byte;
        }
        // The column of the opening quote.
        draft.words.push_back({ std::move(text), in.position().byte });
    }
};

// Runs `effect(draft)` once `Rule` has matched.
#define ON(Rule, effect)                                                                                     \
    template <> struct Action<Rule> {                                                                        \
        static void apply0([[maybe_unused]] Draft& draft) { effect; }                                        \
    }

ON(SubjectName, draft.query.subject = subjectOf(draft.takeWord()));
template <> struct Action<Operator> {
    template <typename Input> static void apply(const Input& in, Draft& draft)
    {
        draft.words.push_back({ in.string(), in.position().byte + 1 });
    }
};
template <> struct Action<FilterRule> {
    static void apply0(Draft& draft)
    {
        Filter filter;
        filter.value = draft.takeText();
        filter.comparison = comparisonOf(draft.takeText());
        filter.field = fieldOf(draft.query.subject, draft.takeWord());
        draft.query.filters.push_back(std::move(filter));
    }
};
ON(GroupClause, draft.query.groupBy = fieldOf(draft.query.subject, draft.takeWord()));
ON(OrderField, draft.query.order = Order { fieldOf(draft.query.subject, draft.takeWord()) });
ON(DescendingWord, draft.query.order->descending = true);
template <> struct Action<CountValue> {
    static void apply0(Draft& draft)
    {
        auto word = draft.takeWord();
        std::uint32_t count = 0;
        const char* end = word.text.data() + word.text.size();
        if (auto [stop, error] = std::from_chars(word.text.data(), end, count);
            error != std::errc() || stop != end)
            reject(word.column, CountValue::expected);
        draft.query.limit = count;
        draft.timeline.limit = count;
    }
};
ON(ShowQuery, draft.statement = draft.query);
ON(CountQuery, draft.query.count = true; draft.statement = draft.query);

template <EntityKind kind> struct EntityAction {
    static void apply0(Draft& draft) { draft.entityKind = kind; }
};
template <> struct Action<VmWord> : EntityAction<EntityKind::Vm> { };
template <> struct Action<PoolWord> : EntityAction<EntityKind::Pool> { };
template <> struct Action<ServiceWord> : EntityAction<EntityKind::Service> { };
template <> struct Action<TaskWord> : EntityAction<EntityKind::Task> { };
template <> struct Action<WaveWord> : EntityAction<EntityKind::Wave> { };
template <> struct Action<CommandWord> : EntityAction<EntityKind::Command> { };
template <> struct Action<RequestWord> : EntityAction<EntityKind::Request> { };
template <> struct Action<MoveWord> : EntityAction<EntityKind::Move> { };

ON(WhyRule, draft.statement = (WhyQuery { { draft.entityKind, nameOf(draft.takeWord()) } }));
ON(TimelineEntity, draft.timeline.entity = (Entity { draft.entityKind, nameOf(draft.takeWord()) }));
ON(TimelineKind, draft.timeline.kind = nameOf(draft.takeWord()));
template <> struct Action<DurationValue> {
    static void apply0(Draft& draft)
    {
        auto word = draft.takeWord();
        auto duration = parseDuration(word.text);
        if (!duration || *duration < Duration::zero())
            reject(word.column, DurationValue::expected);
        draft.timeline.last = std::chrono::duration_cast<std::chrono::milliseconds>(*duration);
    }
};
ON(TimelineRule, draft.statement = draft.timeline);
ON(HelpRule, draft.statement = HelpQuery {});

ON(DrainRule, draft.body = DrainVm { VmId(nameOf(draft.takeWord())) });
ON(UndrainRule, draft.body = UndrainVm { VmId(nameOf(draft.takeWord())) });
template <> struct Action<MoveRule> {
    static void apply0(Draft& draft)
    {
        PoolId pool(nameOf(draft.takeWord()));
        draft.body = MoveVm { VmId(nameOf(draft.takeWord())), std::move(pool) };
    }
};
template <> struct Action<AssignRule> {
    static void apply0(Draft& draft)
    {
        PoolId pool(nameOf(draft.takeWord()));
        draft.body = AssignVm { VmId(nameOf(draft.takeWord())), std::move(pool) };
    }
};
ON(QuarantineRule, draft.body = (QuarantineVm { VmId(nameOf(draft.takeWord())), false }));
ON(ReleaseRule, draft.body = (QuarantineVm { VmId(nameOf(draft.takeWord())), true }));
ON(StartRule, draft.body = StartWave { PoolId(nameOf(draft.takeWord())) });
ON(PlanWaveRule, draft.body = StartWave { PoolId(nameOf(draft.takeWord())) });
ON(PauseRule, draft.body = (ControlWave { WaveId(nameOf(draft.takeWord())), WaveStep::Pause }));
ON(ResumeRule, draft.body = (ControlWave { WaveId(nameOf(draft.takeWord())), WaveStep::Resume }));
ON(StopRule, draft.body = (ControlWave { WaveId(nameOf(draft.takeWord())), WaveStep::Stop }));
ON(CancelTaskRule, draft.body = CancelTask { TaskId(nameOf(draft.takeWord())) });
ON(CancelCommandRule, draft.body = CancelCommand { OperationId(nameOf(draft.takeWord())) });

template <> struct Action<AssignmentRule> {
    static void apply0(Draft& draft)
    {
        auto value = draft.takeWord();
        draft.assignments.push_back({ draft.takeWord(), std::move(value) });
    }
};
ON(CreatePoolRule, draft.body = poolChange(nameOf(draft.takeWord()), std::move(draft.assignments), true));
ON(SetPoolRule, draft.body = poolChange(nameOf(draft.takeWord()), std::move(draft.assignments), false));
ON(DeclareServiceRule,
    draft.body = serviceChange(nameOf(draft.takeWord()), std::move(draft.assignments), true));
ON(SetServiceRule, draft.body = serviceChange(nameOf(draft.takeWord()), std::move(draft.assignments), false));
ON(DeclareJobRule, draft.body = jobChange(nameOf(draft.takeWord()), std::move(draft.assignments), true));
ON(SetJobRule, draft.body = jobChange(nameOf(draft.takeWord()), std::move(draft.assignments), false));
ON(SetQuotaRule, draft.body = quotaChange(nameOf(draft.takeWord()), std::move(draft.assignments)));

ON(BecauseClause, draft.because = draft.takeText());
ON(PlanPrefix, draft.dryRun = true);
ON(CommandRule, draft.statement = (Command { draft.body, draft.dryRun, draft.because }));

#undef ON

} // namespace

tl::expected<Statement, SyntaxError> parseStatement(std::string_view text)
{
    if (text.size() > maxStatementLength)
        return tl::unexpected(SyntaxError { maxStatementLength + 1, "at most 4096 bytes" });
    pegtl::memory_input<pegtl::tracking_mode::eager> input(text.data(), text.data() + text.size(), "");
    Draft draft;
    try {
        pegtl::parse<Grammar, Action, Control>(input, draft);
    } catch (const pegtl::parse_error& error) {
        return tl::unexpected(
            SyntaxError { error.positions().front().byte + 1, std::string(error.message()) });
    } catch (const Rejection& rejection) {
        return tl::unexpected(rejection.error);
    }
    return std::move(draft.statement);
}

} // namespace fulmar::operate
