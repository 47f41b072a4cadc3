#pragma once

#include "core/event.h"
#include "fleet/command_plan.h"
#include "fleet/entry_presence.h"
#include "fleet/fleet_writer.h"
#include "fleet/move_select.h"
#include "fleet/transition_runner.h"
#include "fleet/wave_plan.h"

#include <string>
#include <utility>
#include <vector>

namespace fulmar::fleet {

// Executes commands, drains, moves, maintenance and waves for the shards that this process leases. One thread
// calls step() about every 100 ms. Several processes run it at once: leases divide the work, and each commit
// is conditional on the lease row and the rows read, so that a paused holder cannot change anything.
template <PlatformClient P, EntryConfirmer E, VmProbe H, Clock C> class FleetDuty {
public:
    FleetDuty(P& platform, E& confirmer, H& probe, const C& clock, EventLog& events, const ProcessId& self,
        FleetSettings settings = {})
        : m_settings(std::move(settings))
        , m_clock(clock)
        , m_writer(platform, clock, events, self, m_settings)
        , m_presence(m_settings.listLag, m_settings.entryVmPrefix)
        , m_transitions(m_writer, confirmer, probe, clock, m_presence, m_settings)
    {
    }

    void step()
    {
        if (!m_writer.beginStep())
            return;
        observe();
        if (holdsWaves())
            recordEntryPresence();
        stepCommands();
        m_transitions.step();
        stepWaves();
        stepMoves();
    }

    // Sets the pools' latest reported demand. Moves are planned only while the report is fresh. Must be
    // called on the duty's thread.
    void setDemand(PoolDemand demand)
    {
        m_demand = std::move(demand);
        m_demandAt = m_clock.now();
    }

    [[nodiscard]] const LeaseKeeper<P, C>& leases() const { return m_writer.leases(); }
    [[nodiscard]] const FleetView& view() const { return m_writer.store().view(); }

private:
    // The holder of this shard executes wave commands and maintains the entries' rows.
    static constexpr std::uint32_t waveShard = 0;

    [[nodiscard]] bool holdsWaves() const { return m_writer.holds(waveShard); }

    void observe()
    {
        m_presence.observeRows(m_clock.now(), m_writer.store().view());
        if (m_writer.store().listedAt() == m_observedListAt)
            return;
        m_observedListAt = m_writer.store().listedAt();
        std::vector<ListedVm> list;
        for (const auto& [id, vm] : m_writer.store().listed())
            list.push_back(vm);
        m_presence.observeList(m_observedListAt, m_writer.store().view(), list);
    }

    // Marks the rows of entries that the list now shows, and deletes the rows of entries that are gone.
    void recordEntryPresence()
    {
        const auto& entries = m_writer.store().view().entries();
        for (const auto& process : m_presence.newlyListed(m_writer.store().view())) {
            auto entry = entries.at(process);
            entry.record.listed = true;
            FleetChange change;
            change.put(entryKey(process), entry.version, encode(entry.record));
            m_writer.commit(waveShard, change, m_writer.store().nextOperation("listed"));
        }
        for (const auto& process : m_presence.gone()) {
            if (!entries.contains(process))
                continue;
            FleetChange change;
            change.remove(entryKey(process), entries.at(process).version);
            if (m_writer.commit(waveShard, change, m_writer.store().nextOperation("gone")))
                m_writer.record("entry-gone", { { "entry", process.value() } });
        }
    }

    void stepCommands()
    {
        std::vector<std::string> open;
        for (const auto& [id, command] : m_writer.store().view().commands())
            if (!isFinal(command.record.state))
                open.push_back(id);
        for (const auto& id : open) {
            if (m_writer.aborted())
                return;
            stepCommand(m_writer.store().view().commands().at(id));
        }
    }

    void stepCommand(Stored<CommandRecord> command)
    {
        auto pool = poolOf(m_writer.store().view(), command.record);
        auto shardNumber = pool.empty() ? waveShard : m_writer.shard(pool);
        if (!m_writer.holds(shardNumber) || isFinal(command.record.state))
            return;
        auto operation = m_writer.store().nextOperation("command");
        CommandContext context { m_writer.store().view(), m_writer.store().ledger(),
            m_writer.store().listed(), withdrawalBlockedReason(), operation, m_clock.wallNow() };
        auto change = planCommand(context, command);
        if (!m_writer.commit(shardNumber, change, operation))
            return;
        const auto& now = m_writer.store().view().commands().at(command.record.id.value()).record;
        m_writer.record("command",
            { { "command", now.id.value() }, { "kind", std::string(toString(now.kind)) }, { "who", now.who },
                { "state", std::string(toString(now.state)) }, { "reason", now.reason },
                { "vm", now.arguments.vm.value() } });
    }

    // Why no VM may be taken out of service now; empty if VMs may be.
    [[nodiscard]] std::string withdrawalBlockedReason() const
    {
        return m_writer.store().listIsFresh() ? "" : "the platform's list of VMs is out of date";
    }

    void stepWaves()
    {
        std::vector<WaveId> running;
        for (const auto& [id, wave] : m_writer.store().view().waves())
            if (wave.record.state == WaveState::Running)
                running.push_back(id);
        for (const auto& id : running)
            if (!m_writer.aborted())
                stepWave(m_writer.store().view().waves().at(id));
    }

    void stepWave(Stored<WaveRecord> wave)
    {
        auto progress = waveProgress(m_writer.store().view(), wave.record);
        auto stop = waveStopReason(progress, m_settings.waveStopFailures);
        if (!stop.empty() || progress.isDone()) {
            if (holdsWaves())
                endWave(wave, stop.empty() ? WaveState::Done : WaveState::Stopped, stop);
            return;
        }
        if (!withdrawalBlockedReason().empty())
            return writeWaitReason(wave, withdrawalBlockedReason());
        auto ledger = m_writer.store().ledger();
        auto next = nextOfWave(progress, ledger);
        if (next.empty() && progress.underWay == 0)
            return writeWaitReason(wave, ledger.refusal(*progress.candidates.front()));
        for (const auto& id : next) {
            auto vm = m_writer.store().view().vms().at(id);
            if (m_writer.aborted() || !withdrawForWave(wave, vm))
                return;
        }
    }

    // Writes to the wave's row why the wave takes no further VM out of service.
    void writeWaitReason(const Stored<WaveRecord>& wave, const std::string& reason)
    {
        if (!holdsWaves() || wave.record.reason == reason)
            return;
        auto shown = wave.record;
        shown.reason = reason;
        FleetChange change;
        change.put(waveKey(shown.wave), wave.version, encode(shown));
        m_writer.commit(waveShard, change, m_writer.store().nextOperation("wave"));
    }

    // Takes a VM out of service for the wave; returns false if the round must end. The commit is conditional
    // on the wave's row, so that a pause or stop takes effect at once.
    bool withdrawForWave(const Stored<WaveRecord>& wave, const Stored<VmRecord>& vm)
    {
        auto shardNumber = m_writer.shard(vm.record.pool);
        if (!m_writer.holds(shardNumber))
            return true;
        IntentRecord intent;
        intent.operation = m_writer.store().nextOperation("maintain");
        intent.vm = vm.record.vm;
        intent.goal = IntentGoal::Maintain;
        intent.wave = wave.record.wave;
        auto change = takeOutOfService(
            m_writer.store().view(), vm, intent, "wave " + wave.record.wave.value(), m_clock.wallNow());
        change.require(waveKey(wave.record.wave), wave.version);
        if (!m_writer.commit(shardNumber, change, intent.operation))
            return false;
        m_writer.record("vm",
            { { "vm", vm.record.vm.value() }, { "state", std::string(toString(VmState::Leaving)) },
                { "cause", "wave " + wave.record.wave.value() }, { "operation", intent.operation.value() } });
        return true;
    }

    void endWave(const Stored<WaveRecord>& wave, WaveState state, const std::string& reason)
    {
        auto ended = wave.record;
        ended.state = state;
        ended.reason = reason;
        FleetChange change;
        change.put(waveKey(ended.wave), wave.version, encode(ended));
        if (m_writer.commit(waveShard, change, m_writer.store().nextOperation("wave")))
            m_writer.record("wave",
                { { "wave", ended.wave.value() }, { "state", std::string(toString(state)) },
                    { "reason", reason } });
    }

    // Every process computes a plan, and executes only the moves out of pools whose shards it holds.
    void stepMoves()
    {
        auto now = m_clock.now();
        if (now < m_nextMoveRound || m_demand.empty() || now - m_demandAt > m_settings.demandFreshFor
            || !withdrawalBlockedReason().empty())
            return;
        m_nextMoveRound = now + m_settings.moveEvery;
        for (const auto& move : m_movePlanner.plan(now, poolLoads(m_writer.store().view(), m_demand)))
            for (std::uint32_t each = 0; each < move.vms; ++each)
                if (m_writer.holds(m_writer.shard(move.from)) && !startMove(move.from, move.to))
                    break;
    }

    bool startMove(const PoolId& from, const PoolId& to)
    {
        auto id = nextToMove(m_writer.store().view(), m_writer.store().ledger(), from, to);
        if (!id || m_writer.aborted())
            return false;
        IntentRecord intent;
        intent.operation = m_writer.store().nextOperation("move");
        intent.vm = *id;
        intent.goal = IntentGoal::Move;
        intent.toPool = to;
        auto cause = fmt::format("planned move to pool {}", to.value());
        auto change = takeOutOfService(
            m_writer.store().view(), m_writer.store().view().vms().at(*id), intent, cause, m_clock.wallNow());
        change.require(keys::poolPrefix + to.value(), m_writer.store().view().pools().at(to).version);
        if (!m_writer.commit(m_writer.shard(from), change, intent.operation))
            return false;
        m_writer.record("vm",
            { { "vm", id->value() }, { "state", std::string(toString(VmState::Leaving)) }, { "cause", cause },
                { "operation", intent.operation.value() } });
        return true;
    }

    const FleetSettings m_settings;
    const C& m_clock;
    FleetWriter<P, C> m_writer;
    EntryPresence m_presence;
    TransitionRunner<P, E, H, C> m_transitions;
    TimePoint m_observedListAt {};
    MovePlanner m_movePlanner { m_settings.moves };
    PoolDemand m_demand;
    TimePoint m_demandAt {};
    TimePoint m_nextMoveRound {};
};

} // namespace fulmar::fleet

namespace fulmar {

// Names that other modules use unqualified.
using fleet::FleetDuty;

} // namespace fulmar
