#include "operate/timeline.h"

#include <algorithm>
#include <fmt/format.h>
#include <map>

namespace fulmar::operate {

namespace {

constexpr double chartWidth = 1000;
constexpr double labelWidth = 160;
constexpr double laneHeight = 24;
constexpr double dotRadius = 4;
constexpr int hueRange = 360;

// Nothing may be loaded from elsewhere, whatever an event holds.
constexpr auto pageHead = R"(<!doctype html>
<html lang="en"><head><meta charset="utf-8">
<meta http-equiv="Content-Security-Policy"
 content="default-src 'none'; style-src 'unsafe-inline'; script-src 'unsafe-inline'">
<style>
body { font: 14px sans-serif; margin: 1em; color: #222 }
svg { background: #f8f8f8; max-width: 100% }
svg line { stroke: #ccc } svg text { font-size: 12px }
table { border-collapse: collapse; margin-top: 1em }
td, th { text-align: left; padding: 2px 10px 2px 0; border-bottom: 1px solid #ddd; vertical-align: top }
td { font-family: monospace; overflow-wrap: anywhere }
</style>
)";

constexpr auto pageTail = R"(<script>
const rows = [...document.querySelectorAll('tbody tr')], dots = [...document.querySelectorAll('circle')];
document.getElementById('search').addEventListener('input', event => {
    const text = event.target.value.toLowerCase();
    rows.forEach((row, i) => {
        const shown = row.textContent.toLowerCase().includes(text);
        row.hidden = !shown;
        dots[i].style.opacity = shown ? 1 : 0.08;
    });
});
dots.forEach((dot, i) => dot.addEventListener('click', () => rows[i].scrollIntoView({ block: 'center' })));
</script></body></html>
)";

// Safe inside elements and quoted attributes.
std::string escaped(std::string_view text)
{
    std::string result;
    for (char byte : text) {
        switch (byte) {
        case '&':
            result += "&amp;";
            break;
        case '<':
            result += "&lt;";
            break;
        case '>':
            result += "&gt;";
            break;
        case '"':
            result += "&quot;";
            break;
        case '\'':
            result += "&#39;";
            break;
        default:
            result += byte >= 0 && byte < ' ' ? ' ' : byte;
        }
    }
    return result;
}

std::string fieldsOf(const Event& event)
{
    std::string text;
    for (const auto& [name, value] : event.fields)
        text += fmt::format("{}{}={}", text.empty() ? "" : " ", name, value);
    return text;
}

// The same kind has the same colour in every page.
int hueOf(const std::string& kind)
{
    auto group = kind.substr(0, kind.find('.'));
    unsigned sum = 0;
    for (unsigned char byte : group)
        sum = sum * 31 + byte;
    return int(sum % hueRange);
}

std::string chart(const std::vector<Event>& events)
{
    std::map<ProcessId, std::size_t> lanes;
    for (const auto& event : events)
        lanes.try_emplace(event.process, lanes.size());
    auto first = events.empty() ? WallTime {} : events.front().stamp.wall;
    auto span = events.empty() ? 0.0 : double((events.back().stamp.wall - first).count());
    auto laneY = [](std::size_t lane) { return laneHeight * (double(lane) + 0.5); };

    auto svg = fmt::format(R"(<svg viewBox="0 0 {} {}" role="img">)", labelWidth + chartWidth + 2 * dotRadius,
        laneHeight * double(std::max<std::size_t>(lanes.size(), 1)));
    for (const auto& [process, lane] : lanes)
        svg += fmt::format(
            "<text x=\"0\" y=\"{0}\" dominant-baseline=\"middle\">{1}</text><line x1=\"{2}\" x2=\"{3}\" "
            "y1=\"{0}\" y2=\"{0}\"/>",
            laneY(lane), escaped(process.value()), labelWidth, labelWidth + chartWidth);
    for (const auto& event : events) {
        auto position = span > 0 ? double((event.stamp.wall - first).count()) / span : 0.0;
        svg += fmt::format(
            "<circle cx=\"{:.1f}\" cy=\"{}\" r=\"{}\" fill=\"hsl({} 70% 45%)\"><title>+{}ms {} "
            "{}</title></circle>",
            labelWidth + dotRadius + position * chartWidth, laneY(lanes.at(event.process)), dotRadius,
            hueOf(event.kind), (event.stamp.wall - first).count(), escaped(event.kind),
            escaped(fieldsOf(event)));
    }
    return svg + "</svg>\n";
}

std::string table(const std::vector<Event>& events)
{
    auto first = events.empty() ? WallTime {} : events.front().stamp.wall;
    std::string text = "<table><thead><tr><th>after</th><th>process</th><th>event</th><th>fields</th></tr>"
                       "</thead><tbody>\n";
    for (const auto& event : events)
        text += fmt::format("<tr><td>+{}ms</td><td>{}</td><td>{}</td><td>{}</td></tr>\n",
            (event.stamp.wall - first).count(), escaped(event.process.value()), escaped(event.kind),
            escaped(fieldsOf(event)));
    return text + "</tbody></table>\n";
}

} // namespace

std::string timelineHtml(const std::vector<Event>& events, const std::string& title)
{
    return fmt::format("{}<title>{}</title></head><body>\n<h1>{}</h1>\n<p>{} events. Search: <input "
                       "id=\"search\" autofocus></p>\n{}{}{}",
        pageHead, escaped(title), escaped(title), events.size(), chart(events), table(events), pageTail);
}

} // namespace fulmar::operate
