#include "jobs/runner_orders.h"

#include <array>

namespace fulmar::jobs {

std::string_view toString(OrderOutcome outcome)
{
    static constexpr std::array<std::string_view, 12> names { "accepted", "withheld", "not-sent", "unknown",
        "fenced", "superseded", "too-late", "no-room", "needs-ticket", "bad-order", "unhealthy",
        "other-life" };
    return names[std::size_t(outcome)];
}

std::string_view toString(EndKind kind)
{
    static constexpr std::array<std::string_view, 6> names { "done", "failed", "stopped", "lapsed",
        "gang-broken", "gang-incomplete" };
    return names[std::size_t(kind)];
}

} // namespace fulmar::jobs
