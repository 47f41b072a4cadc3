#include "node/stop_plan.h"

#include <algorithm>

namespace fulmar::node {

namespace {

// The load balancer stops sending connections after two failed health checks, 1 s apart.
constexpr std::chrono::milliseconds minStopTime { 2'500 };
// Calls within this time of the kill are refused; a call normally takes 50 ms.
constexpr std::chrono::milliseconds refuseMargin { 2'000 };
// Calls that no holder has answered by then are answered without it: early enough for a process that is late
// by some hundred milliseconds to write the answers before it exits.
constexpr std::chrono::milliseconds lastAnswerMargin { 700 };
// With callers still connected, the process exits as soon as all calls are answered, from `exitMargin` before
// the kill on. It exits `forcedExitMargin` before the kill in any case.
constexpr std::chrono::milliseconds exitMargin { 1'200 };
constexpr std::chrono::milliseconds forcedExitMargin { 300 };
// After a tick that was this late, the process has not read yet what came in meanwhile. It reads it before it
// exits, unless the kill is only `lastExitMargin` away.
constexpr std::chrono::milliseconds maxTickLag { 80 };
constexpr std::chrono::milliseconds lastExitMargin { 100 };
// Time for a submitted answer to reach the network.
constexpr std::chrono::milliseconds flushTime { 120 };

} // namespace

bool acceptsCalls(std::chrono::milliseconds elapsed, std::chrono::milliseconds grace)
{
    return elapsed < grace - refuseMargin;
}

std::chrono::milliseconds timeToAnswer(std::chrono::milliseconds elapsed, std::chrono::milliseconds grace)
{
    return std::max(grace - lastAnswerMargin - elapsed, std::chrono::milliseconds(0));
}

bool mustAnswerNow(std::chrono::milliseconds elapsed, std::chrono::milliseconds grace)
{
    return timeToAnswer(elapsed, grace).count() == 0;
}

bool mayExit(const StopState& state)
{
    if (state.elapsed >= state.grace - lastExitMargin)
        return true;
    if (state.tickLag >= maxTickLag)
        return false;
    if (state.elapsed >= state.grace - forcedExitMargin)
        return true;
    auto isAnswered = state.callsInFlight == 0 && state.sinceLastAnswer >= flushTime;
    if (!isAnswered || state.elapsed < minStopTime)
        return false;
    return state.openConnections == 0 || state.elapsed >= state.grace - exitMargin;
}

} // namespace fulmar::node
