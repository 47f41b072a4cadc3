#pragma once

#include "core/clock.h"
#include "core/types.h"
#include "operate/schema.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <variant>
#include <vector>

namespace fulmar::operate {

enum class Comparison : std::uint8_t {
    Equal,
    NotEqual,
    Less,
    LessOrEqual,
    Greater,
    GreaterOrEqual,
    Contains,
};

// "state = leaving". Values are compared as numbers or durations where the column holds such.
struct Filter {
    std::string field;
    Comparison comparison { Comparison::Equal };
    std::string value;

    bool operator==(const Filter&) const = default;
};

struct Order {
    std::string field;
    bool descending { false };

    bool operator==(const Order&) const = default;
};

// Lists rows of a subject, or counts them.
struct Query {
    Subject subject { Subject::Vms };
    bool count { false };
    // Counts are given per value of this column; empty for one total.
    std::string groupBy;
    std::vector<Filter> filters;
    std::optional<Order> order;
    std::optional<std::uint32_t> limit;

    bool operator==(const Query&) const = default;
};

enum class EntityKind : std::uint8_t {
    Vm,
    Pool,
    Service,
    Task,
    Wave,
    Command,
    Request,
    Move,
};

struct Entity {
    EntityKind kind { EntityKind::Vm };
    std::string name;

    bool operator==(const Entity&) const = default;
};

// Asks for the chain of decisions and facts that led to an entity's present state.
struct WhyQuery {
    Entity entity;

    bool operator==(const WhyQuery&) const = default;
};

// Asks for the events of all processes in causal order.
struct TimelineQuery {
    std::optional<Entity> entity;
    // Only events whose kind starts with this; empty for all.
    std::string kind;
    std::optional<std::chrono::milliseconds> last;
    std::optional<std::uint32_t> limit;

    bool operator==(const TimelineQuery&) const = default;
};

struct HelpQuery {
    bool operator==(const HelpQuery&) const = default;
};

struct DrainVm {
    VmId vm;
    bool operator==(const DrainVm&) const = default;
};
struct UndrainVm {
    VmId vm;
    bool operator==(const UndrainVm&) const = default;
};
struct MoveVm {
    VmId vm;
    PoolId pool;
    bool operator==(const MoveVm&) const = default;
};
// Gives a VM that is in no pool yet to a pool.
struct AssignVm {
    VmId vm;
    PoolId pool;
    bool operator==(const AssignVm&) const = default;
};
// Bars a worker from new tasks, or lifts that.
struct QuarantineVm {
    VmId vm;
    bool lifts { false };
    bool operator==(const QuarantineVm&) const = default;
};
struct StartWave {
    PoolId pool;
    bool operator==(const StartWave&) const = default;
};

enum class WaveStep : std::uint8_t {
    Pause,
    Resume,
    Stop,
};
struct ControlWave {
    WaveId wave;
    WaveStep step { WaveStep::Pause };
    bool operator==(const ControlWave&) const = default;
};
struct CancelTask {
    TaskId task;
    bool operator==(const CancelTask&) const = default;
};
struct CancelCommand {
    OperationId command;
    bool operator==(const CancelCommand&) const = default;
};

// Declares or changes a configuration row. Absent fields keep their value, or the default in a new row.
struct ChangePool {
    PoolId pool;
    bool creates { false };
    std::optional<double> unavailableShare;
    std::optional<double> unavailableSharePerRack;
    std::optional<double> unavailableSharePerZone;
    std::optional<bool> isSpare;
    bool operator==(const ChangePool&) const = default;
};
struct ChangeService {
    ServiceId service;
    bool creates { false };
    std::optional<PoolId> pool;
    std::optional<std::uint32_t> slots;
    std::optional<std::uint32_t> connections;
    std::optional<std::uint32_t> queueLimit;
    std::optional<std::chrono::milliseconds> timeout;
    std::optional<double> retryShare;
    bool operator==(const ChangeService&) const = default;
};
struct ChangeJob {
    JobId job;
    bool creates { false };
    std::optional<PoolId> pool;
    std::optional<TeamId> team;
    std::optional<double> processors;
    std::optional<std::uint64_t> memoryMb;
    std::optional<std::uint32_t> accelerators;
    std::optional<std::chrono::seconds> runTime;
    std::optional<bool> idempotent;
    std::optional<bool> urgent;
    bool operator==(const ChangeJob&) const = default;
};
struct ChangeQuota {
    TeamId team;
    std::optional<double> processors;
    std::optional<std::uint64_t> memoryMb;
    std::optional<std::uint32_t> accelerators;
    bool operator==(const ChangeQuota&) const = default;
};

using CommandBody = std::variant<DrainVm, UndrainVm, MoveVm, AssignVm, QuarantineVm, StartWave, ControlWave,
    CancelTask, CancelCommand, ChangePool, ChangeService, ChangeJob, ChangeQuota>;

struct Command {
    CommandBody body;
    // Shows the effect and changes nothing; written as "plan <command>".
    bool dryRun { false };
    // The operator's reason, kept with the command.
    std::string because;

    bool operator==(const Command&) const = default;
};

using Statement = std::variant<Query, WhyQuery, TimelineQuery, HelpQuery, Command>;

struct SyntaxError {
    // First byte of the text is column 1.
    std::size_t column { 1 };
    std::string expected;

    bool operator==(const SyntaxError&) const = default;
};

// Longest statement accepted, in bytes.
inline constexpr std::size_t maxStatementLength = 4096;

// Never throws: any text gives a statement or an error.
[[nodiscard]] tl::expected<Statement, SyntaxError> parseStatement(std::string_view text);

// The statement in its canonical spelling; parsing that gives the same statement.
[[nodiscard]] std::string toText(const Statement&);

// The error with the text and a mark under the column.
[[nodiscard]] std::string formatSyntaxError(std::string_view text, const SyntaxError&);

// Every statement of the language with one line of explanation each.
[[nodiscard]] std::string languageHelp();

[[nodiscard]] std::string_view toString(EntityKind);
[[nodiscard]] std::string_view toString(WaveStep);
[[nodiscard]] std::string_view toString(Comparison);

} // namespace fulmar::operate
