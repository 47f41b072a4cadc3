#include "node/stop_plan.h"

namespace fulmar::node {

namespace {

// The balancer takes two missed checks, a second apart, to send no more connections.
constexpr std::chrono::milliseconds minStopTime { 2'500 };
// Calls that come this close to the kill are refused; one takes 50 ms when all is well.
constexpr std::chrono::milliseconds refuseMargin { 2'000 };
// With callers still connected the process leaves this long before the kill, or after its last call, but no
// later than the last margin.
constexpr std::chrono::milliseconds exitMargin { 1'200 };
constexpr std::chrono::milliseconds forcedExitMargin { 300 };
// An answer that was handed over is on the wire after this.
constexpr std::chrono::milliseconds flushTime { 120 };

} // namespace

bool acceptsCalls(std::chrono::milliseconds elapsed, std::chrono::milliseconds grace)
{
    return elapsed < grace - refuseMargin;
}

bool mayExit(const StopState& state)
{
    if (state.elapsed >= state.grace - forcedExitMargin)
        return true;
    auto isAnswered = state.callsInFlight == 0 && state.sinceLastAnswer >= flushTime;
    if (!isAnswered || state.elapsed < minStopTime)
        return false;
    return state.openConnections == 0 || state.elapsed >= state.grace - exitMargin;
}

} // namespace fulmar::node
