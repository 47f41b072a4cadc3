#pragma once

#include "jobs/fleet.h"

namespace fulmar::jobs {

// Number of a run of a task; grows with each run of the task.
using Attempt = std::uint64_t;

// Orders carry it to a runner, which carries out none with a lower one than its incarnation has seen.
using FencingToken = std::uint64_t;

// Milliseconds on a runner's own steady clock.
using RunnerTime = std::chrono::milliseconds;

// The runner that an order is sent to.
struct RunnerAddress {
    RunnerId id;
    std::string address;
};

struct StartOrder {
    TaskName task;
    Attempt attempt { 0 };
    std::string spec;
    // End of the lease of all that runs on the runner.
    RunnerTime leaseUntil { 0 };
    FencingToken fence { 0 };
    // Where to resume; empty to start from the beginning.
    std::string checkpoint;
    // Token from the queue's adviser that permits the start. Always empty, as none is requested.
    std::string ticket;
    // Time to wait for the answer.
    std::chrono::milliseconds timeout { 0 };
    // Incarnation of the runner that was known when the order was planned. Not sent.
    std::int64_t incarnation { 0 };
};

struct StopOrder {
    TaskName task;
    Attempt attempt { 0 };
    FencingToken fence { 0 };
    // Time to wait for the answer.
    std::chrono::milliseconds timeout { 0 };
    // As in StartOrder.
    std::int64_t incarnation { 0 };
};

// Asks a runner for its running and ended tasks, and extends the lease of all that runs there.
struct PollOrder {
    RunnerTime leaseUntil { 0 };
    FencingToken fence { 0 };
    // Ends up to this number are stored and may be forgotten.
    std::uint64_t ackEndsUpTo { 0 };
    // How long the runner may hold back its answer until a task ends (long poll).
    Millis wait { 0 };
    // Time to wait for the answer beyond `wait`.
    Millis timeout { 0 };
    // As in StartOrder.
    std::int64_t incarnation { 0 };
};

enum class OrderOutcome : std::uint8_t {
    Accepted,
    // Not sent: it was cancelled, or this process is not sure that it holds the shard.
    Withheld,
    // The runner could not be reached; nothing was sent.
    NotSent,
    // No answer: the order may or may not be carried out, now or later.
    Unknown,
    // The runner has seen a higher fencing token.
    Fenced,
    // An equal or higher attempt was stopped or ended there.
    Superseded,
    // The lease had ended when the order arrived.
    TooLate,
    NoRoom,
    NeedsTicket,
    BadOrder,
    // The runner refuses work and did nothing.
    Unhealthy,
    // Another incarnation answers at that address.
    OtherIncarnation,
};

[[nodiscard]] std::string_view toString(OrderOutcome);

struct OrderAnswer {
    OrderOutcome outcome { OrderOutcome::Unknown };
    // The runner's clock and incarnation, if the answer carries them.
    std::optional<RunnerTime> clock;
    std::int64_t incarnation { 0 };
    // Time from sending the order to its answer.
    Duration took { 0 };
};

enum class EndKind : std::uint8_t {
    Done,
    Failed,
    Stopped,
    // Its lease ended.
    Lapsed,
    // Another member of the gang ended.
    GangBroken,
    // The other members of the gang did not arrive.
    GangIncomplete,
};

[[nodiscard]] std::string_view toString(EndKind);

struct RunningTask {
    TaskName task;
    Attempt attempt { 0 };
    std::string checkpoint;
    // Speed of the task in percent; 100 when working fully.
    std::uint32_t percent { 0 };
};

struct EndedTask {
    // Numbers the ends of this incarnation of the runner from 1.
    std::uint64_t number { 0 };
    TaskName task;
    Attempt attempt { 0 };
    EndKind kind { EndKind::Failed };
    std::string checkpoint;
};

struct PollAnswer {
    OrderAnswer answer;
    std::vector<RunningTask> running;
    std::vector<EndedTask> ended;
    // The list of ends is as long as the runner makes it; it may have more.
    bool areEndsTruncated { false };
    // Entries of the answer that could not be read and are in neither list.
    std::uint32_t unreadable { 0 };
};

} // namespace fulmar::jobs
