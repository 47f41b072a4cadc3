#pragma once

#include "faulty_platform.h"
#include "fleet/fleet_duty.h"

#include <fmt/format.h>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace fulmar::fleet::test {

// An entry as seen by the fleet duty; its configuration catches up with the table when follow() is called.
struct FakeEntry {
    Version applied { 0 };
    std::string incarnation;
    bool answers { true };
    std::map<VmId, std::size_t> inFlight;
    std::map<VmId, Stored<VmRecord>> vms;
    std::vector<EntryEndpoint> dependents;

    void follow(const standin::MemoryTable& table)
    {
        auto changes = table.read(keys::vmPrefix, applied);
        for (const auto& row : changes.rows)
            if (auto record = decode<VmRecord>(row.value))
                vms[record->vm] = { *record, row.version, row.operation };
        applied = changes.tableVersion;
    }
};

struct FakeEntries {
    std::map<std::string, FakeEntry> byAddress;
    // Every confirmation names the row's current operation, whatever the entry's state.
    bool confirmAlways { false };
    const standin::MemoryTable* table { nullptr };

    Result<EntryConfirmation> confirm(const std::string& address, const VmId& vm, Version)
    {
        if (confirmAlways)
            return EntryConfirmation { 0, table->read(vmKey(vm), 0).rows.at(0).operation, 0,
                byAddress[address].incarnation, {} };
        auto position = byAddress.find(address);
        if (position == byAddress.end() || !position->second.answers)
            return notRun(Reason::DeadlineExceeded, "no answer");
        auto& entry = position->second;
        return EntryConfirmation { entry.applied, entry.vms[vm].operation, entry.inFlight[vm],
            entry.incarnation, entry.dependents };
    }
};

struct FakeProbe {
    std::set<VmId> down;
    bool answers(const VmRecord& vm) const { return !down.contains(vm.vm); }
};

using TestDuty = FleetDuty<standin::FaultyPlatform, FakeEntries, FakeProbe, ManualClock>;

// One control process with its own clock and connection.
struct Control {
    Control(standin::PlatformState& state, FakeEntries& entries, FakeProbe& probe, const std::string& name,
        const FleetSettings& settings)
        : platform(state)
        , events(ProcessId(name), 1000)
        , duty(platform, entries, probe, clock, events, ProcessId(name), settings)
    {
    }

    standin::FaultyPlatform platform;
    ManualClock clock;
    EventLog events;
    TestDuty duty;
};

// A platform with pools of serving VMs, registered and listed entries, and control processes.
class Fleet {
public:
    explicit Fleet(std::size_t controls = 1)
        : Fleet(std::vector<FleetSettings>(controls))
    {
    }

    // One control process for each of the settings.
    explicit Fleet(const std::vector<FleetSettings>& settings)
    {
        entries.table = &state.table;
        for (const auto& each : settings)
            m_controls.push_back(std::make_unique<Control>(
                state, entries, probe, fmt::format("control-{}", m_controls.size()), each));
    }

    void put(const std::string& key, const std::string& value)
    {
        (void)state.table.commit(
            { OperationId(fmt::format("setup-{}", ++m_setups)), {}, { { key, value, false } } });
    }

    void addPool(const std::string& name, double share, std::size_t size, bool isSpare = false)
    {
        PoolConfig pool { PoolId(name), share, share, share, isSpare };
        put(keys::poolPrefix + name, encode(pool));
        for (std::size_t each = 0; each < size; ++each) {
            VmRecord vm;
            vm.vm = VmId(fmt::format("{}-{}", name, each));
            vm.pool = pool.pool;
            vm.zone = ZoneId(fmt::format("z{}", each % 3));
            vm.rack = RackId(fmt::format("r{}", each / 4));
            vm.region = RegionId("north");
            vm.epoch = 1;
            put(vmKey(vm.vm), encode(vm));
            state.list.push_back({ vm.vm, VmPresence::Live, "", vm.zone, vm.rack });
        }
    }

    void addEntry(const std::string& name)
    {
        VmId vm("entry-" + name);
        EntryRecord entry { ProcessId(name), vm, name, RegionId("north"), ZoneId("z0"), name + "-1", "",
            false };
        put(entryKey(entry.process), encode(entry));
        state.list.push_back({ vm, VmPresence::Live, "", ZoneId("z0"), RackId("") });
        entries.byAddress[name].incarnation = entry.incarnation;
    }

    CommandRecord submit(CommandKind kind, const std::string& vm, const std::string& pool = "")
    {
        CommandRecord command;
        command.id = OperationId(fmt::format("c{}", ++m_submitted));
        command.who = "ann";
        command.kind = kind;
        command.arguments.vm = VmId(vm);
        command.arguments.pool = PoolId(pool);
        command.arguments.wave = WaveId(vm);
        command.submitted = WallTime(std::chrono::milliseconds(m_submitted));
        put(commandKey(command.id), encode(command));
        return command;
    }

    void run(Duration span, Duration step = std::chrono::milliseconds(100))
    {
        for (Duration passed {}; passed < span; passed += step) {
            for (auto& [address, entry] : entries.byAddress)
                entry.follow(state.table);
            for (auto& control : m_controls) {
                control->clock.advance(step);
                control->duty.step();
            }
        }
    }

    [[nodiscard]] VmRecord vm(const std::string& name) const
    {
        return decode<VmRecord>(state.table.read(vmKey(VmId(name)), 0).rows.at(0).value).value();
    }

    [[nodiscard]] CommandRecord command(const OperationId& id) const
    {
        return decode<CommandRecord>(state.table.read(commandKey(id), 0).rows.at(0).value).value();
    }

    [[nodiscard]] WaveRecord wave(const std::string& name) const
    {
        return decode<WaveRecord>(state.table.read(waveKey(WaveId(name)), 0).rows.at(0).value).value();
    }

    Control& control(std::size_t number) { return *m_controls.at(number); }

    standin::PlatformState state;
    FakeEntries entries;
    FakeProbe probe;

private:
    std::vector<std::unique_ptr<Control>> m_controls;
    std::uint64_t m_submitted { 0 };
    std::uint64_t m_setups { 0 };
};

} // namespace fulmar::fleet::test
