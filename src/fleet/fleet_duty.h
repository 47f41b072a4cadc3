#pragma once

#include "core/event.h"
#include "fleet/command_plan.h"
#include "fleet/drain_round.h"
#include "fleet/entry_presence.h"
#include "fleet/fleet_store.h"
#include "fleet/lease.h"
#include "fleet/move_select.h"
#include "fleet/vm_transition.h"
#include "fleet/wave_plan.h"

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace fulmar::fleet {

// The shard that owns a pool.
[[nodiscard]] std::uint32_t shardOf(const PoolId&, std::uint32_t shards);

// Owns shards of the fleet and carries out commands, drains, moves, maintenance and waves for them. One
// thread calls step() about every 100 ms. Several processes run it at once: leases divide the work, and
// conditions on the lease and on every row read keep a holder that was paused from changing anything.
template <PlatformClient P, EntryConfirmer E, VmProbe H, Clock C> class FleetDuty {
public:
    FleetDuty(P& platform, E& confirmer, H& probe, const C& clock, EventLog& events, const ProcessId& self,
        FleetSettings settings = {})
        : m_settings(std::move(settings))
        , m_confirmer(confirmer)
        , m_probe(probe)
        , m_clock(clock)
        , m_events(events)
        , m_leases(platform, clock, "fleet", m_settings.shards, self, m_settings.lease)
        , m_store(platform, clock, self.value(), m_settings)
        , m_presence(m_settings.listLag, m_settings.entryVmPrefix)
    {
    }

    void step()
    {
        m_leases.step();
        if (m_leases.heldCount() == 0 || !m_store.refresh())
            return;
        m_aborted = false;
        observe();
        if (holdsWaves())
            recordEntryPresence();
        stepCommands();
        stepTransitions();
        stepWaves();
        stepMoves();
    }

    // The pools' demand as reported now. Without a fresh report no move is planned. Called by the duty's
    // thread.
    void setDemand(PoolDemand demand)
    {
        m_demand = std::move(demand);
        m_demandAt = m_clock.now();
    }

    [[nodiscard]] const LeaseKeeper<P, C>& leases() const { return m_leases; }
    [[nodiscard]] const FleetView& view() const { return m_store.view(); }

private:
    // Commands about waves, and rows of entries, belong to the holder of this shard.
    static constexpr std::uint32_t waveShard = 0;

    [[nodiscard]] bool holdsWaves() const { return m_leases.holds(waveShard); }
    [[nodiscard]] std::uint32_t shard(const PoolId& pool) const { return shardOf(pool, m_settings.shards); }

    void observe()
    {
        m_presence.observeRows(m_clock.now(), m_store.view());
        if (m_store.listedAt() == m_observedListAt)
            return;
        m_observedListAt = m_store.listedAt();
        std::vector<ListedVm> list;
        for (const auto& [id, vm] : m_store.listed())
            list.push_back(vm);
        m_presence.observeList(m_observedListAt, m_store.view(), list);
    }

    // Commits under the shard's lease, asked for anew each time. True if the change is now in the table.
    bool commit(std::uint32_t shardNumber, const FleetChange& change, const OperationId& operation)
    {
        if (change.empty() || m_aborted)
            return false;
        auto fence = m_leases.fence(shardNumber);
        if (!fence)
            return false;
        auto committed = m_store.commit(change, *fence, operation);
        if (committed)
            return true;
        // What was decided on may have changed; the next step reads it again.
        m_aborted = committed.error().reason != Reason::Overloaded;
        if (committed.error().reason == Reason::Conflict)
            m_leases.recheck();
        return false;
    }

    // Notes which entries the list has shown, and removes those that it shows gone.
    void recordEntryPresence()
    {
        const auto& entries = m_store.view().entries();
        for (const auto& process : m_presence.newlyListed(m_store.view())) {
            auto entry = entries.at(process);
            entry.record.listed = true;
            FleetChange change;
            change.put(entryKey(process), entry.version, encode(entry.record));
            commit(waveShard, change, m_store.nextOperation("listed"));
        }
        for (const auto& process : m_presence.gone()) {
            if (!entries.contains(process))
                continue;
            FleetChange change;
            change.remove(entryKey(process), entries.at(process).version);
            if (commit(waveShard, change, m_store.nextOperation("gone")))
                record("entry-gone", { { "entry", process.value() } });
        }
    }

    void stepCommands()
    {
        std::vector<std::string> open;
        for (const auto& [id, command] : m_store.view().commands())
            if (!isFinal(command.record.state))
                open.push_back(id);
        for (const auto& id : open) {
            if (m_aborted)
                return;
            stepCommand(m_store.view().commands().at(id));
        }
    }

    void stepCommand(Stored<CommandRecord> command)
    {
        auto pool = poolOf(m_store.view(), command.record);
        auto shardNumber = pool.empty() ? waveShard : shard(pool);
        if (!m_leases.holds(shardNumber) || isFinal(command.record.state))
            return;
        auto operation = m_store.nextOperation("command");
        CommandContext context { m_store.view(), m_store.ledger(), m_store.listed(), hold(), operation,
            m_clock.wallNow() };
        auto change = planCommand(context, command);
        if (!commit(shardNumber, change, operation))
            return;
        const auto& now = m_store.view().commands().at(command.record.id.value()).record;
        record("command",
            { { "command", now.id.value() }, { "kind", std::string(toString(now.kind)) }, { "who", now.who },
                { "state", std::string(toString(now.state)) }, { "reason", now.reason },
                { "vm", now.arguments.vm.value() } });
    }

    // Why nothing may be taken out of service at present.
    [[nodiscard]] std::string hold() const
    {
        return m_store.listIsFresh() ? "" : "the platform's list of VMs is out of date";
    }

    void stepTransitions()
    {
        auto deadline = m_clock.now() + m_settings.askBudget;
        DrainRound<E, C> round(m_confirmer, m_clock, deadline);
        auto vms = transitionsInTurn();
        std::erase_if(
            m_progress, [&](const auto& item) { return !m_store.view().intents().contains(item.first); });
        for (const auto& id : vms) {
            m_nextTransition = id;
            if (m_aborted || m_clock.now() >= deadline)
                return;
            stepTransition(id, round);
        }
    }

    // The VMs with an intent, beginning where the last step ran out of time.
    std::vector<VmId> transitionsInTurn() const
    {
        std::vector<VmId> vms;
        const auto& intents = m_store.view().intents();
        vms.reserve(intents.size());
        for (const auto& [id, intent] : intents)
            vms.push_back(id);
        std::rotate(vms.begin(), std::lower_bound(vms.begin(), vms.end(), m_nextTransition), vms.end());
        return vms;
    }

    // What this process knows of a VM's transition beyond the rows.
    struct Progress {
        OperationId operation;
        TimePoint nextAsk {};
        TimePoint nextShow {};
        // The platform accepted the reboot from this process.
        bool rebootAccepted { false };
        // When this process first saw the VM's reboot as accepted.
        std::optional<TimePoint> returningSince;
        // When this process wrote the intent as Rebooting.
        std::optional<TimePoint> rebootWrittenAt;
    };

    void stepTransition(const VmId& id, DrainRound<E, C>& round)
    {
        auto intent = m_store.view().intents().at(id);
        auto position = m_store.view().vms().find(id);
        if (position == m_store.view().vms().end())
            return;
        auto vm = position->second;
        auto shardNumber = shard(vm.record.pool);
        if (!m_leases.holds(shardNumber))
            return;
        auto& progress = m_progress[id];
        if (progress.operation != intent.record.operation)
            progress = { intent.record.operation, {}, {}, false, {}, {} };
        if (m_clock.now() < progress.nextAsk)
            return;
        progress.nextAsk = m_clock.now() + m_settings.askEvery;
        auto facts = gatherFacts(vm, intent.record, progress, round);
        auto step = nextStep(vm.record, intent.record, facts, m_clock.wallNow());
        if (step.action == TransitionAction::AskReboot)
            askReboot(shardNumber, intent, progress);
        else if (step.action == TransitionAction::Write)
            writeStep(shardNumber, vm, intent, step);
        else
            showWaiting(shardNumber, intent.record, step.reason, progress);
    }

    // Shows in the command's row what its VM waits for, at most once every two seconds.
    void showWaiting(
        std::uint32_t shardNumber, const IntentRecord& intent, const std::string& reason, Progress& progress)
    {
        auto command = m_store.view().commands().find(intent.command.value());
        if (command == m_store.view().commands().end() || isFinal(command->second.record.state)
            || command->second.record.reason == reason || m_clock.now() < progress.nextShow)
            return;
        progress.nextShow = m_clock.now() + std::chrono::seconds(2);
        auto shown = command->second.record;
        shown.reason = reason;
        shown.updated = m_clock.wallNow();
        FleetChange change;
        change.put(commandKey(shown.id), command->second.version, encode(shown));
        commit(shardNumber, change, m_store.nextOperation("command"));
    }

    TransitionFacts gatherFacts(
        const Stored<VmRecord>& vm, const IntentRecord& intent, Progress& progress, DrainRound<E, C>& round)
    {
        TransitionFacts facts;
        if (intent.phase == IntentPhase::Draining) {
            facts.waitingFor = m_presence.unsettled(m_clock.now());
            if (!facts.waitingFor.empty())
                return facts;
            auto entries = m_presence.mayRoute(m_store.view(), vm.record);
            auto status = round.ask(m_store.view(), std::move(entries), vm);
            facts.drained = status.drained;
            facts.waitingFor = std::move(status.waitingFor);
        }
        facts.rebootAccepted = progress.rebootAccepted;
        if (intent.phase == IntentPhase::Returning) {
            if (!progress.returningSince)
                progress.returningSince = m_clock.now();
            auto waited = m_clock.now() - *progress.returningSince;
            facts.returned = waited >= m_settings.rebootMinimum && m_probe.answers(vm.record);
            facts.overdue = waited >= m_settings.returnTimeout;
        }
        return facts;
    }

    // Asks for the reboot if this process wrote the intent lately; otherwise writes it again first, which
    // fails for a holder that was paused.
    void askReboot(std::uint32_t shardNumber, const Stored<IntentRecord>& intent, Progress& progress)
    {
        if (!progress.rebootWrittenAt
            || m_clock.now() - *progress.rebootWrittenAt >= intent.record.validFor) {
            auto writtenAt = m_clock.now();
            FleetChange change;
            change.put(intentKey(intent.record.vm), intent.version, encode(intent.record));
            if (!commit(shardNumber, change, m_store.nextOperation("intent")))
                return;
            progress.rebootWrittenAt = writtenAt;
        }
        if (auto asked = m_store.platform().rebootVm(intent.record.vm, intent.record.operation)) {
            progress.rebootAccepted = true;
            progress.nextAsk = {};
        }
    }

    void writeStep(std::uint32_t shardNumber, const Stored<VmRecord>& vm, const Stored<IntentRecord>& intent,
        const TransitionStep& step)
    {
        FleetChange change;
        change.put(vmKey(vm.record.vm), vm.version, encode(step.vm));
        if (step.intent)
            change.put(intentKey(vm.record.vm), intent.version, encode(*step.intent));
        else
            change.remove(intentKey(vm.record.vm), intent.version);
        if (!commit(shardNumber, change, m_store.nextOperation("vm")))
            return;
        record("vm",
            { { "vm", vm.record.vm.value() }, { "state", std::string(toString(step.vm.state)) },
                { "pool", step.vm.pool.value() }, { "cause", step.vm.cause },
                { "operation", intent.record.operation.value() } });
    }

    void stepWaves()
    {
        std::vector<WaveId> running;
        for (const auto& [id, wave] : m_store.view().waves())
            if (wave.record.state == WaveState::Running)
                running.push_back(id);
        for (const auto& id : running)
            if (!m_aborted)
                stepWave(m_store.view().waves().at(id));
    }

    void stepWave(Stored<WaveRecord> wave)
    {
        auto progress = waveProgress(m_store.view(), wave.record);
        auto stop = waveStopReason(progress, m_settings.waveStopFailures);
        if (!stop.empty() || progress.isDone()) {
            if (holdsWaves())
                endWave(wave, stop.empty() ? WaveState::Done : WaveState::Stopped, stop);
            return;
        }
        if (!hold().empty())
            return;
        auto ledger = m_store.ledger();
        for (const auto& id : nextOfWave(progress, ledger)) {
            auto vm = m_store.view().vms().at(id);
            if (m_aborted || !takeForWave(wave, vm))
                return;
        }
    }

    // False if the round must end. The wave's row is a condition, so that a pause or stop holds at once.
    bool takeForWave(const Stored<WaveRecord>& wave, const Stored<VmRecord>& vm)
    {
        auto shardNumber = shard(vm.record.pool);
        if (!m_leases.holds(shardNumber))
            return true;
        IntentRecord intent;
        intent.operation = m_store.nextOperation("maintain");
        intent.vm = vm.record.vm;
        intent.goal = IntentGoal::Maintain;
        intent.wave = wave.record.wave;
        auto change
            = takeOut(m_store.view(), vm, intent, "wave " + wave.record.wave.value(), m_clock.wallNow());
        change.require(waveKey(wave.record.wave), wave.version);
        if (!commit(shardNumber, change, intent.operation))
            return false;
        record("vm",
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
        if (commit(waveShard, change, m_store.nextOperation("wave")))
            record("wave",
                { { "wave", ended.wave.value() }, { "state", std::string(toString(state)) },
                    { "reason", reason } });
    }

    // Every process plans alike; each carries out the moves out of pools that it owns.
    void stepMoves()
    {
        auto now = m_clock.now();
        if (now < m_nextMoves || m_demand.empty() || now - m_demandAt > m_settings.demandFreshFor
            || !hold().empty())
            return;
        m_nextMoves = now + m_settings.moveEvery;
        for (const auto& move : m_movePlanner.plan(now, poolLoads(m_store.view(), m_demand)))
            for (std::uint32_t each = 0; each < move.vms; ++each)
                if (m_leases.holds(shard(move.from)) && !startMove(move.from, move.to))
                    break;
    }

    bool startMove(const PoolId& from, const PoolId& to)
    {
        auto id = nextToMove(m_store.view(), m_store.ledger(), from, to);
        if (!id || m_aborted)
            return false;
        IntentRecord intent;
        intent.operation = m_store.nextOperation("move");
        intent.vm = *id;
        intent.goal = IntentGoal::Move;
        intent.toPool = to;
        auto cause = fmt::format("planned move to pool {}", to.value());
        auto change = takeOut(m_store.view(), m_store.view().vms().at(*id), intent, cause, m_clock.wallNow());
        change.require(keys::poolPrefix + to.value(), m_store.view().pools().at(to).version);
        if (!commit(shard(from), change, intent.operation))
            return false;
        record("vm",
            { { "vm", id->value() }, { "state", std::string(toString(VmState::Leaving)) }, { "cause", cause },
                { "operation", intent.operation.value() } });
        return true;
    }

    void record(const std::string& kind, const std::vector<EventField>& fields)
    {
        m_events.record(m_clock.wallNow(), kind, fields);
    }

    const FleetSettings m_settings;
    E& m_confirmer;
    H& m_probe;
    const C& m_clock;
    EventLog& m_events;
    LeaseKeeper<P, C> m_leases;
    FleetStore<P, C> m_store;
    EntryPresence m_presence;
    TimePoint m_observedListAt {};
    std::map<VmId, Progress> m_progress;
    VmId m_nextTransition;
    MovePlanner m_movePlanner { m_settings.moves };
    PoolDemand m_demand;
    TimePoint m_demandAt {};
    TimePoint m_nextMoves {};
    bool m_aborted { false };
};

} // namespace fulmar::fleet

namespace fulmar {

// Names that other slices share.
using fleet::FleetDuty;

} // namespace fulmar
