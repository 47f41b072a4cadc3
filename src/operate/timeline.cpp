#include "operate/timeline.h"

#include "core/log.h"

#include <algorithm>
#include <array>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <set>
#include <tuple>

namespace fulmar::operate {

namespace {

// Fields that could tell who a caller is or what was asked.
constexpr std::array<std::string_view, 9> personalFields { "caller", "client", "remote", "path", "query",
    "body", "authorization", "cookie", "idempotencyKey" };

// Ids through which an entity's events lead on to those of other entities.
constexpr std::array<std::string_view, 3> linkingFields { "move", "wave", "command" };

using Link = std::pair<std::string, std::string>;

bool isPersonal(const EventField& field)
{
    return std::find(personalFields.begin(), personalFields.end(), field.first) != personalFields.end();
}

auto causalRank(const Event& event) { return std::tie(event.stamp, event.process); }

bool happensBefore(const Event& left, const Event& right) { return causalRank(left) < causalRank(right); }

bool isSame(const Event& left, const Event& right)
{
    return causalRank(left) == causalRank(right) && left.kind == right.kind && left.fields == right.fields;
}

bool concerns(const Event& event, const std::set<Link>& links)
{
    return std::any_of(event.fields.begin(), event.fields.end(),
        [&](const EventField& field) { return links.contains(field); });
}

// The entity itself and the moves, waves and commands named in its events.
std::set<Link> linksOf(const Entity& entity, const std::vector<Event>& events)
{
    const std::set<Link> self { { std::string(toString(entity.kind)), entity.name } };
    auto links = self;
    for (const auto& event : events) {
        if (!concerns(event, self))
            continue;
        for (const auto& field : event.fields)
            if (std::find(linkingFields.begin(), linkingFields.end(), field.first) != linkingFields.end())
                links.insert(field);
    }
    return links;
}

std::string formatStamp(EventStamp stamp)
{
    auto millis = stamp.wall.time_since_epoch().count();
    return fmt::format("{}.{:03}+{}", millis / 1000, millis % 1000, stamp.counter);
}

// "key=value ..." without the kind.
std::string fieldText(const Event& event)
{
    auto text = formatFields("", event.fields);
    auto start = text.find(' ');
    return start == std::string::npos ? std::string() : text.substr(start + 1);
}

} // namespace

std::vector<Event> mergeEvents(std::vector<std::vector<Event>> processes)
{
    std::vector<Event> merged;
    for (auto& events : processes)
        std::move(events.begin(), events.end(), std::back_inserter(merged));
    for (auto& event : merged)
        std::erase_if(event.fields, isPersonal);
    std::stable_sort(merged.begin(), merged.end(), happensBefore);
    merged.erase(std::unique(merged.begin(), merged.end(), isSame), merged.end());
    return merged;
}

std::vector<Event> selectEvents(const TimelineQuery& query, const std::vector<Event>& events, WallTime now)
{
    std::set<Link> links;
    if (query.entity)
        links = linksOf(*query.entity, events);
    std::vector<Event> selected;
    for (const auto& event : events) {
        if (query.last && event.stamp.wall < now - *query.last)
            continue;
        if (!event.kind.starts_with(query.kind) || (query.entity && !concerns(event, links)))
            continue;
        selected.push_back(event);
    }
    auto limit = query.limit.value_or(defaultEventLimit);
    if (selected.size() > limit)
        selected.erase(selected.begin(), selected.end() - limit);
    return selected;
}

Answer timelineAnswer(const TimelineQuery& query, const std::vector<Event>& events, WallTime now)
{
    Answer answer;
    answer.columns = { { "time", FieldType::Text }, { "ago", FieldType::Age }, { "process", FieldType::Text },
        { "event", FieldType::Text }, { "fields", FieldType::Text } };
    for (const auto& event : selectEvents(query, events, now))
        answer.rows.push_back({ formatStamp(event.stamp), std::chrono::milliseconds(now - event.stamp.wall),
            event.process.value(), event.kind, fieldText(event) });
    return answer;
}

std::string timelineText(const std::vector<Event>& events)
{
    std::string text;
    for (const auto& event : events)
        text += formatEvent(event) + '\n';
    return text;
}

std::string timelineJson(const std::vector<Event>& events)
{
    auto list = nlohmann::json::array();
    for (const auto& event : events) {
        auto fields = nlohmann::json::array();
        for (const auto& [name, value] : event.fields)
            fields.push_back({ name, value });
        list.push_back({ { "wallMs", event.stamp.wall.time_since_epoch().count() },
            { "counter", event.stamp.counter }, { "process", event.process.value() }, { "kind", event.kind },
            { "fields", std::move(fields) } });
    }
    return list.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

Result<std::vector<Event>> timelineFromJson(const std::string& text)
try {
    std::vector<Event> events;
    for (const auto& item : nlohmann::json::parse(text)) {
        Event event;
        event.stamp.wall = WallTime(std::chrono::milliseconds(item.at("wallMs").get<std::int64_t>()));
        event.stamp.counter = item.at("counter").get<std::uint32_t>();
        event.process = ProcessId(item.at("process").get<std::string>());
        event.kind = item.at("kind").get<std::string>();
        for (const auto& field : item.at("fields"))
            event.fields.emplace_back(field.at(0).get<std::string>(), field.at(1).get<std::string>());
        events.push_back(std::move(event));
    }
    return events;
} catch (const nlohmann::json::exception& error) {
    return notRun(Reason::BadInput, fmt::format("not a list of events: {}", error.what()));
}

std::string fieldValue(const Event& event, std::string_view name)
{
    auto field = std::find_if(
        event.fields.begin(), event.fields.end(), [&](const EventField& each) { return each.first == name; });
    return field == event.fields.end() ? std::string() : field->second;
}

} // namespace fulmar::operate
