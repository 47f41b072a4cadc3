#pragma once

#include "jobs/fleet.h"

namespace fulmar::jobs {

// Number of a run of a task; grows over all runs of the task.
using Attempt = std::uint64_t;

// Milliseconds on a runner's own steady clock.
using RunnerTime = std::chrono::milliseconds;

// The life of a runner that an order is meant for.
struct RunnerAddress {
    RunnerId id;
    std::string address;
};

struct StartOrder {
    TaskName task;
    Attempt attempt { 0 };
    std::string spec;
    // Until when all that runs there may run.
    RunnerTime leaseUntil { 0 };
    Epoch epoch { 0 };
    // Where to resume; empty for the beginning.
    std::string checkpoint;
    // Permission by the queue's adviser; empty if none is needed.
    std::string ticket;
    // How long to wait for the answer.
    std::chrono::milliseconds timeout { 0 };
};

struct StopOrder {
    TaskName task;
    Attempt attempt { 0 };
    Epoch epoch { 0 };
    // How long to wait for the answer.
    std::chrono::milliseconds timeout { 0 };
};

// Asks a runner what runs and what ended, and extends the lease of all that runs there.
struct PollOrder {
    RunnerTime leaseUntil { 0 };
    Epoch epoch { 0 };
    // Ends up to this number are stored and may be forgotten.
    std::uint64_t ackEndsUpTo { 0 };
    // How long the runner may wait for an end before it answers.
    Millis wait { 0 };
    // How long to wait for the answer beyond that.
    Millis timeout { 0 };
};

enum class OrderOutcome : std::uint8_t {
    Accepted,
    // Not sent, since it was called off or this process is not sure that it holds the shard.
    Withheld,
    // The runner could not be reached; nothing was sent.
    NotSent,
    // No answer: carried out, not carried out, or still to be.
    Unknown,
    // The runner has seen a higher epoch.
    Fenced,
    // A run as high as this one was stopped or ended there.
    Superseded,
    // The lease had ended when the order arrived.
    TooLate,
    NoRoom,
    NeedsTicket,
    BadOrder,
    // The runner refuses work; it did nothing.
    Unhealthy,
    // Another life answers at that address.
    OtherIncarnation,
};

[[nodiscard]] std::string_view toString(OrderOutcome);

struct OrderAnswer {
    OrderOutcome outcome { OrderOutcome::Unknown };
    // The runner's clock and its start, where the answer carried them.
    std::optional<RunnerTime> clock;
    std::int64_t incarnation { 0 };
    // From sending the order to its answer.
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
    // The other members of the gang did not come.
    GangIncomplete,
};

[[nodiscard]] std::string_view toString(EndKind);

struct RunningTask {
    TaskName task;
    Attempt attempt { 0 };
    std::string checkpoint;
    // Share at which it works; 100 when at work.
    std::uint32_t percent { 0 };
};

struct EndedTask {
    // Counts the ends of this life of the runner from 1.
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
    // Entries of the answer that could not be read and are in neither list.
    std::uint32_t unreadable { 0 };
};

} // namespace fulmar::jobs
