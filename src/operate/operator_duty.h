#pragma once

#include "config/replica.h"
#include "core/event.h"
#include "core/ring.h"
#include "operate/fleet_facts.h"
#include "operate/operator_http.h"
#include "operate/operator_service.h"
#include "operate/row_cache.h"
#include "operate/timeline.h"

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace fulmar::operate {

// What the process's other duties tell the operators' duty. All are called on its thread, may block for at
// most a second together, and must be thread-safe.
struct OperatorSources {
    // Configuration rows changed after a version.
    std::function<Changes(Version)> configurationSince;
    // Adds peers and the zones that cannot be reached; and targets, workers and tasks if they are needed.
    std::function<void(OperatorView&, FactNeeds)> addFacts;
    // Events of the peers that answer in time, one list each; not this process's own.
    std::function<std::vector<std::vector<Event>>()> peerEvents;
    // Asks the owner of the task to end it; says what became of that.
    std::function<Result<std::string>(const TaskId&)> cancelTask;
};

// Answers the statements that arrive at the operators' HTTP server, one after another. One thread calls
// step(). Between statements it costs nothing.
template <PlatformClient P, Clock C> class OperatorDuty {
public:
    OperatorDuty(P& platform, const C& clock, EventLog& events, OperatorSources sources)
        : m_platform(platform)
        , m_clock(clock)
        , m_events(events)
        , m_sources(std::move(sources))
        , m_cache(platform)
        , m_configurationAt(clock.now())
        , m_work(maxWaiting)
    {
    }

    // The handlers that pass requests to this duty; metrics and health are for the process to add.
    [[nodiscard]] OperatorHandlers handlers()
    {
        OperatorHandlers handlers;
        handlers.operate = [this](std::string body, HttpRespond respond) {
            enqueue([this, body = std::move(body), respond] { respond(operate(body)); }, respond);
        };
        handlers.timeline = [this](TimelineRequest request, HttpRespond respond) {
            enqueue([this, request = std::move(request), respond] { respond(timeline(request)); }, respond);
        };
        return handlers;
    }

    // Waits for a statement for a short while and answers it.
    void step()
    {
        if (auto work = m_work.popFor(idleWait))
            (*work)();
    }

    // Wakes step() for good and refuses further statements.
    void stop() { m_work.close(); }

    // Drops the statements that still wait, and their connections. Not while step() runs.
    void dropWaiting()
    {
        while (m_work.tryPop())
            ;
    }

private:
    static constexpr std::size_t maxWaiting = 64;
    static constexpr Duration idleWait = std::chrono::milliseconds(100);

    void enqueue(std::function<void()> work, const HttpRespond& respond)
    {
        if (!m_work.tryPush(std::move(work)))
            respond(jsonReply(sentence(
                AnswerStatus::Unavailable, "nothing was recorded: too many statements are waiting")));
    }

    static HttpReply jsonReply(const Answer& answer) { return { 200, "application/json", toJson(answer) }; }

    HttpReply operate(const std::string& body)
    {
        auto request = operatorRequestFromJson(body);
        if (!request)
            return jsonReply(sentence(AnswerStatus::BadStatement, request.error().detail));
        return jsonReply(answer(*request));
    }

    Answer answer(const OperatorRequest& request)
    {
        auto view = buildView(needsOf(request.text));
        auto step = answerStatement(request, view, m_clock.wallNow());
        if (auto* answer = std::get_if<Answer>(&step))
            return std::move(*answer);
        return order(std::get<Command>(step), request.origin, view);
    }

    Answer order(const Command& command, const CommandOrigin& origin, const OperatorView& view)
    {
        auto result = orderCommand(m_platform, command, origin, view, m_clock.wallNow());
        m_events.record(m_clock.wallNow(), "command",
            { { "command", origin.id.value() }, { "who", origin.who },
                { "statement", toText(Statement(command)) },
                { "status", std::string(toString(result.status)) } });
        const auto* cancel = std::get_if<CancelTask>(&command.body);
        if (!cancel || command.dryRun || result.status != AnswerStatus::Waiting)
            return result;
        return finishCancel(*cancel, origin.id, std::move(result));
    }

    // A cancellation is recorded first, so that it is known who ordered it; asking the owner twice does no
    // harm.
    Answer finishCancel(const CancelTask& cancel, const OperationId& id, Answer recorded)
    {
        auto outcome = m_sources.cancelTask(cancel.task);
        if (!outcome && outcome.error().outcome != Outcome::NotRun)
            return recorded;
        auto detail = outcome ? *outcome : outcome.error().detail;
        if (!closeOrder(
                m_platform, id, outcome ? fleet::CommandState::Done : fleet::CommandState::Refused, detail))
            return recorded;
        return sentence(
            outcome ? AnswerStatus::Ok : AnswerStatus::Conflict, "command " + id.value() + ": " + detail);
    }

    HttpReply timeline(const TimelineRequest& request)
    {
        auto statement = parseStatement(request.statement);
        if (!statement)
            return { 400, "text/plain", formatSyntaxError(request.statement, statement.error()) };
        const auto* query = std::get_if<TimelineQuery>(&*statement);
        if (!query)
            return { 400, "text/plain", "expected a timeline statement\n" };
        auto events = selectEvents(*query, collectEvents(), m_clock.wallNow());
        switch (request.format) {
        case TimelineFormat::Text:
            return { 200, "text/plain", timelineText(events) };
        case TimelineFormat::Json:
            return { 200, "application/json", timelineJson(events) };
        case TimelineFormat::Html:
            return { 200, "text/html; charset=utf-8", timelineHtml(events, request.statement) };
        }
        return {};
    }

    std::vector<Event> collectEvents()
    {
        auto lists = m_sources.peerEvents();
        lists.push_back(m_events.snapshot());
        return mergeEvents(std::move(lists));
    }

    OperatorView buildView(FactNeeds needs)
    {
        auto now = m_clock.now();
        bool isRead = m_cache.refresh(now);
        m_replica.apply(m_sources.configurationSince(m_replica.version()));
        OperatorView view { m_replica.rows(), m_cache.commands() };
        // Conditions are on the table's versions, so a base must not be newer than either copy.
        view.version = std::min(m_replica.version(), std::max<Version>(m_cache.version(), 1));
        if (isRead && holdsNewest(view.version))
            m_configurationAt = now;
        view.age = std::chrono::duration_cast<std::chrono::milliseconds>(
            now - std::min(m_configurationAt, m_cache.readAt()));
        addFleetFacts(view, m_cache.others());
        m_sources.addFacts(view, needs);
        if (needs.events)
            view.events = collectEvents();
        return view;
    }

    // Asks the table whether it has rows that this process's copy lacks.
    bool holdsNewest(Version version)
    {
        auto missing = m_platform.read(keys::configPrefix, version);
        return missing && missing->rows.empty();
    }

    P& m_platform;
    const C& m_clock;
    EventLog& m_events;
    const OperatorSources m_sources;
    RowCache<P> m_cache;
    ConfigReplica m_replica;
    // When the copy was last known to be the newest.
    TimePoint m_configurationAt {};
    BoundedRing<std::function<void()>> m_work;
};

} // namespace fulmar::operate
