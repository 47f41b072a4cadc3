#pragma once

#include <chrono>
#include <cstddef>

namespace fulmar::node {

// State of a stopping process, from which it decides when to exit.
struct StopState {
    // Time since the stop signal, and from the stop signal to the kill.
    std::chrono::milliseconds elapsed { 0 };
    std::chrono::milliseconds grace { 0 };
    std::size_t callsInFlight { 0 };
    std::size_t openConnections { 0 };
    std::chrono::milliseconds sinceLastAnswer { 0 };
    // By how much the tick that asks came late.
    std::chrono::milliseconds tickLag { 0 };
};

// Whether to accept a call while stopping. Callers keep using open connections until the process exits, so
// calls are accepted as long as they can be answered before the kill.
[[nodiscard]] bool acceptsCalls(std::chrono::milliseconds elapsed, std::chrono::milliseconds grace);

// Time that a call accepted at `elapsed` may take, so that it is answered before the exit.
[[nodiscard]] std::chrono::milliseconds timeToAnswer(
    std::chrono::milliseconds elapsed, std::chrono::milliseconds grace);

// Whether to answer all calls in flight now, with their outcome unknown.
[[nodiscard]] bool mustAnswerNow(std::chrono::milliseconds elapsed, std::chrono::milliseconds grace);

// Whether to exit now: once no caller is connected, or else shortly before the kill with all calls answered.
[[nodiscard]] bool mayExit(const StopState&);

} // namespace fulmar::node
