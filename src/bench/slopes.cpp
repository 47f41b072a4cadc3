#include "bench/slopes.h"

#include "bench/fleet_rows.h"
#include "bench/meter.h"
#include "config/replica.h"
#include "config/validation.h"
#include "core/event.h"
#include "fleet/fleet_view.h"
#include "operate/operator_service.h"
#include "operate/timeline.h"
#include "serve/directory.h"

#include <array>
#include <fmt/format.h>
#include <functional>
#include <xxhash.h>

namespace fulmar::bench {

namespace {

constexpr std::array<std::size_t, 4> fleetSizes { 520, 1300, 2600, 5200 };
constexpr std::array<std::size_t, 4> eventCounts { 1000, 5000, 10'000, 20'000 };
// Changes that arrive in one second of a burst.
constexpr std::size_t burstChanges = 100;

// Keeps the compiler from leaving out work whose result nobody reads.
std::size_t sink = 0;

template <typename Sizes, typename Measure>
Slope slope(std::string name, std::string sizeUnit, std::string unit, const Sizes& sizes, Measure measure)
{
    Slope result { std::move(name), std::move(sizeUnit), std::move(unit), {}, false };
    for (auto size : sizes)
        result.points.push_back({ double(size), measure(size) });
    return result;
}

template <typename Measure> Slope fleetSlope(std::string name, std::string unit, Measure measure)
{
    return slope(std::move(name), "VMs", std::move(unit), fleetSizes, measure);
}

Slope exact(Slope result)
{
    result.isExact = true;
    return result;
}

double replicaBytes(std::size_t vms)
{
    auto changes = configurationRows({ vms });
    auto before = heapBytes();
    ConfigReplica replica;
    replica.apply(changes);
    return heapBytes() - before;
}

double applyMicroseconds(std::size_t vms)
{
    auto changes = configurationRows({ vms });
    return processorNanoseconds([&] {
        ConfigReplica replica;
        sink += replica.apply(changes).changedKeys.size();
    }) / 1e3;
}

// A burst of changes arrives at a replica of the whole fleet, and goes on to a peer that lacks it.
double burstMicroseconds(std::size_t vms)
{
    ConfigReplica replica;
    replica.apply(configurationRows({ vms }));
    Version version = replica.version();
    return processorNanoseconds([&] {
        Changes burst;
        for (std::size_t i = 0; i < burstChanges; ++i) {
            auto key = keys::vmPrefix + vmRecord(i * vms / burstChanges, { vms }).vm.value();
            burst.rows.push_back({ key, replica.rows().at(key).value, ++version, OperationId("c1"), false });
        }
        burst.tableVersion = version;
        auto since = replica.version();
        sink += replica.apply(burst).changedKeys.size();
        sink += replica.changesSince(since).rows.size();
    }) / 1e3;
}

double directoryBytes(std::size_t vms)
{
    auto changes = configurationRows({ vms });
    auto before = heapBytes();
    serve::DirectoryBuilder builder;
    for (const auto& row : changes.rows)
        builder.apply(row);
    auto change = builder.takeChange();
    return heapBytes() - before;
}

double directoryChangeMicroseconds(std::size_t vms)
{
    auto changes = configurationRows({ vms });
    serve::DirectoryBuilder builder;
    for (const auto& row : changes.rows)
        builder.apply(row);
    (void)builder.takeChange();
    return processorNanoseconds([&] {
        for (std::size_t i = 0; i < burstChanges; ++i)
            builder.apply(changes.rows[changes.rows.size() - 1 - i]);
        sink += builder.takeChange().changed.size();
    }) / 1e3;
}

double rowBytes(std::size_t vms)
{
    double bytes = 0;
    for (const auto& row : configurationRows({ vms }).rows)
        bytes += double(row.key.size() + row.value.size());
    return bytes;
}

Event sampleEvent(std::size_t number)
{
    return { { WallTime(std::chrono::milliseconds(number)), 0 }, ProcessId("entry-zone-1-3"), "vm",
        { { "vm", fmt::format("vm-{:05}", number % 5200) }, { "state", "leaving" },
            { "command", "c0123456789abcdef" }, { "cause", "command c0123456789abcdef of operator" } } };
}

std::vector<Event> sampleEvents(std::size_t count)
{
    std::vector<Event> events;
    events.reserve(count);
    for (std::size_t i = 0; i < count; ++i)
        events.push_back(sampleEvent(i));
    return events;
}

void recordAll(EventLog& log, std::size_t count)
{
    for (std::size_t i = 0; i < count; ++i) {
        auto event = sampleEvent(i);
        log.record(event.stamp.wall, std::move(event.kind), std::move(event.fields));
    }
}

double eventLogBytes(std::size_t count)
{
    auto before = heapBytes();
    EventLog log(ProcessId("entry-zone-1-3"), count);
    recordAll(log, count);
    return heapBytes() - before;
}

double recordMicroseconds(std::size_t count)
{
    EventLog log(ProcessId("entry-zone-1-3"), count);
    return processorNanoseconds([&] { recordAll(log, count); }) / 1e3;
}

// The events of ten processes are merged.
double mergeMicroseconds(std::size_t count)
{
    constexpr std::size_t processes = 10;
    std::vector<std::vector<Event>> lists(processes);
    for (std::size_t i = 0; i < count; ++i)
        lists[i % processes].push_back(sampleEvent(i));
    return processorNanoseconds([&] { sink += operate::mergeEvents(lists).size(); }) / 1e3;
}

// A replica of the fleet and a view of it, as an operator's statement finds them.
struct StatementWorld {
    ConfigReplica replica;
    std::map<std::string, Row> commands;

    explicit StatementWorld(std::size_t vms) { replica.apply(configurationRows({ vms })); }

    [[nodiscard]] operate::Answer ask(const std::string& text) const
    {
        operate::OperatorView view { replica.rows(), commands };
        view.version = replica.version();
        auto answer
            = operate::answerStatement({ text, {}, false }, view, WallTime(std::chrono::hours(500'000)));
        return std::get<operate::Answer>(answer);
    }
};

Slope statementSlope(const std::string& text)
{
    return fleetSlope("answer: " + text, "us", [&](std::size_t vms) {
        StatementWorld world(vms);
        return processorNanoseconds([&] { sink += toJson(world.ask(text)).size(); }, 3) / 1e3;
    });
}

double validationMicroseconds(std::size_t vms)
{
    ConfigReplica replica;
    replica.apply(configurationRows({ vms }));
    PoolConfig pool { PoolId("pool-000"), 0.2, 0.2, 0.2, true };
    std::vector<Write> writes { { keys::poolPrefix + pool.pool.value(), encode(pool), false } };
    return processorNanoseconds(
               [&] { sink += validateChange(replica.rows(), writes).has_value() ? 1 : 0; }, 3)
        / 1e3;
}

// Deciding on an operator's change of configuration, after the platform's rows have been read.
double decisionMicroseconds(std::size_t vms)
{
    StatementWorld world(vms);
    operate::OperatorView view { world.replica.rows(), world.commands };
    operate::Command command { operate::ChangePool { PoolId("pool-000"), false, 0.2, {}, {}, {} } };
    operate::CommandRows rows { {}, world.replica.rows().at("config/pool/pool-000"), {} };
    operate::CommandOrigin origin { OperationId("c1"), "operator", {} };
    return processorNanoseconds(
               [&] {
                   auto decision = operate::decideCommand(command, origin, rows, view, WallTime {});
                   sink += std::get<operate::CommandPlan>(decision).transaction.writes.size();
               },
               3)
        / 1e3;
}

double copyMicroseconds(std::size_t vms)
{
    ConfigReplica replica;
    replica.apply(configurationRows({ vms }));
    return processorNanoseconds([&] {
        ConfigReplica copy(replica); // NOLINT(performance-unnecessary-copy-initialization)
        sink += copy.rows().size();
    }) / 1e3;
}

using FleetRows = fleet::FleetView;

double fleetViewBytes(std::size_t vms)
{
    auto changes = configurationRows({ vms });
    auto before = heapBytes();
    FleetRows view;
    (void)view.apply(changes.rows);
    return heapBytes() - before;
}

double fleetViewMicroseconds(std::size_t vms)
{
    auto changes = configurationRows({ vms });
    return processorNanoseconds(
               [&] {
                   FleetRows view;
                   sink += view.apply(changes.rows).size();
               },
               3)
        / 1e3;
}

double ledgerMicroseconds(std::size_t vms)
{
    FleetRows view;
    (void)view.apply(configurationRows({ vms }).rows);
    std::set<VmId> live;
    for (const auto& [id, vm] : view.vms())
        live.insert(id);
    return processorNanoseconds([&] { sink += view.ledger(live).total(PoolId("pool-000")); }) / 1e3;
}

void print(std::ostream& out, const Slope& each)
{
    auto fit = fitLine(each.points);
    out << fmt::format("{:<50} {:<8}", each.name, each.unit);
    for (const auto& [size, value] : each.points)
        out << fmt::format(" {:>9.0f}:{:<12.1f}", size, value);
    out << fmt::format(" fit {:.1f} + {:.4f} per {} (worst point {:.0f}%)\n", fit.fixed, fit.perUnit,
        each.sizeUnit, 100 * fit.worstError);
}

} // namespace

std::vector<Slope> configurationSlopes()
{
    return { exact(fleetSlope("rows: keys and values", "bytes", rowBytes)),
        fleetSlope("replica: heap", "bytes", replicaBytes),
        fleetSlope("replica: apply every row", "us", applyMicroseconds),
        fleetSlope("replica: copy", "us", copyMicroseconds),
        fleetSlope("replica: 100 changes in and on to a peer", "us", burstMicroseconds),
        fleetSlope("directory of an entry: heap", "bytes", directoryBytes),
        fleetSlope("directory of an entry: 100 changed VMs", "us", directoryChangeMicroseconds) };
}

std::vector<Slope> eventSlopes()
{
    auto eventSlope = [](std::string name, std::string unit, auto measure) {
        return slope(std::move(name), "events", std::move(unit), eventCounts, measure);
    };
    return { eventSlope("event log: heap", "bytes", eventLogBytes),
        eventSlope("event log: record", "us", recordMicroseconds),
        eventSlope("time line: merge ten processes", "us", mergeMicroseconds),
        exact(eventSlope("time line: JSON", "bytes",
            [](std::size_t count) { return double(operate::timelineJson(sampleEvents(count)).size()); })),
        exact(eventSlope("time line: page", "bytes", [](std::size_t count) {
            return double(operate::timelineHtml(sampleEvents(count), "time line").size());
        })) };
}

std::vector<Slope> statementSlopes()
{
    return { statementSlope("show vms limit 20"), statementSlope("count vms by state"),
        statementSlope("show pools where spent > 0"), statementSlope("why vm vm-00017"),
        fleetSlope("validate a change against every row", "us", validationMicroseconds),
        fleetSlope("decide on a change of configuration", "us", decisionMicroseconds),
        exact(fleetSlope("answer to show vms: JSON", "bytes", [](std::size_t vms) {
            return double(toJson(StatementWorld(vms).ask("show vms limit 100000")).size());
        })) };
}

std::vector<Slope> fleetSlopes()
{
    return { fleetSlope("fleet duty: heap of its rows", "bytes", fleetViewBytes),
        fleetSlope("fleet duty: decode every row", "us", fleetViewMicroseconds),
        fleetSlope("fleet duty: count the budgets", "us", ledgerMicroseconds) };
}

void runSlopes(std::ostream& out)
{
    std::string exactFigures;
    for (const auto& group :
        { configurationSlopes(), eventSlopes(), statementSlopes(), fleetSlopes(), messageSlopes() })
        for (const auto& each : group) {
            print(out, each);
            if (each.isExact)
                for (const auto& [size, value] : each.points)
                    exactFigures += fmt::format("{} {} {}\n", each.name, size, value);
        }
    out << fmt::format("slopes-signature={:016x}\n", XXH3_64bits(exactFigures.data(), exactFigures.size()));
}

} // namespace fulmar::bench
