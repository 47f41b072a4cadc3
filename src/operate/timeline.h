#pragma once

#include "core/event.h"
#include "operate/answer.h"
#include "operate/language.h"

#include <string>
#include <vector>

namespace fulmar::operate {

// Events shown where the query gives no limit; the newest are kept.
inline constexpr std::uint32_t defaultEventLimit = 2000;

// Merges the events of several processes in causal order: by stamp, which a process raises above every stamp
// that it has received, whatever its wall clock says. Removes duplicates and everything personal of callers.
[[nodiscard]] std::vector<Event> mergeEvents(std::vector<std::vector<Event>> processes);

// The merged events that the query asks for. Those of an entity include the events of the moves, waves and
// commands that it took part in.
[[nodiscard]] std::vector<Event> selectEvents(const TimelineQuery&, const std::vector<Event>&, WallTime now);

[[nodiscard]] Answer timelineAnswer(const TimelineQuery&, const std::vector<Event>&, WallTime now);

// One "key=value" line for each event.
[[nodiscard]] std::string timelineText(const std::vector<Event>&);
[[nodiscard]] std::string timelineJson(const std::vector<Event>&);
// Reads what timelineJson wrote. Fails with BadInput.
[[nodiscard]] Result<std::vector<Event>> timelineFromJson(const std::string&);
// A page that needs nothing but itself: a lane for each process and a table that can be searched.
[[nodiscard]] std::string timelineHtml(const std::vector<Event>&, const std::string& title);

// The value of the event's first field of this name; empty if there is none.
[[nodiscard]] std::string fieldValue(const Event&, std::string_view name);

} // namespace fulmar::operate
