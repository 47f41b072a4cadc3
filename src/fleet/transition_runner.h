#pragma once

#include "fleet/drain_round.h"
#include "fleet/entry_presence.h"
#include "fleet/fleet_writer.h"
#include "fleet/vm_transition.h"

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace fulmar::fleet {

// Advances VMs through drain, move, reboot and return according to their intents.
template <PlatformClient P, EntryConfirmer E, VmProbe H, Clock C> class TransitionRunner {
public:
    TransitionRunner(FleetWriter<P, C>& writer, E& confirmer, H& probe, const C& clock,
        const EntryPresence& presence, const FleetSettings& settings)
        : m_writer(writer)
        , m_confirmer(confirmer)
        , m_probe(probe)
        , m_clock(clock)
        , m_presence(presence)
        , m_settings(settings)
    {
    }

    // Advances each VM by one step until the time limit `transitionTimeLimit` is reached.
    void step()
    {
        auto deadline = m_clock.now() + m_settings.transitionTimeLimit;
        DrainRound<E, C> round(m_confirmer, m_clock, deadline);
        auto vms = vmsInRoundRobinOrder();
        std::erase_if(m_progress,
            [&](const auto& item) { return !m_writer.store().view().intents().contains(item.first); });
        for (const auto& id : vms) {
            m_resumeFrom = id;
            if (m_writer.aborted() || m_clock.now() >= deadline)
                return;
            stepTransition(id, round);
        }
    }

private:
    // The VMs with an intent, beginning with the one at which the last call of step() ended.
    std::vector<VmId> vmsInRoundRobinOrder() const
    {
        std::vector<VmId> vms;
        const auto& intents = m_writer.store().view().intents();
        vms.reserve(intents.size());
        for (const auto& [id, intent] : intents)
            vms.push_back(id);
        std::rotate(vms.begin(), std::lower_bound(vms.begin(), vms.end(), m_resumeFrom), vms.end());
        return vms;
    }

    // In-memory state of a VM's transition, in addition to the rows.
    struct Progress {
        OperationId operation;
        TimePoint nextStepAt {};
        TimePoint nextReasonUpdate {};
        // The platform accepted this process's request for the reboot.
        bool rebootAccepted { false };
        // When this process first saw the intent in phase Returning.
        std::optional<TimePoint> returningSince;
        // When this process last wrote the intent with phase Rebooting.
        std::optional<TimePoint> rebootWrittenAt;
    };

    void stepTransition(const VmId& id, DrainRound<E, C>& round)
    {
        auto intent = m_writer.store().view().intents().at(id);
        auto position = m_writer.store().view().vms().find(id);
        if (position == m_writer.store().view().vms().end())
            return;
        auto vm = position->second;
        auto shardNumber = m_writer.shard(vm.record.pool);
        if (!m_writer.holds(shardNumber))
            return;
        auto& progress = m_progress[id];
        if (progress.operation != intent.record.operation)
            progress = { intent.record.operation, {}, {}, false, {}, {} };
        if (m_clock.now() < progress.nextStepAt)
            return;
        progress.nextStepAt = m_clock.now() + m_settings.transitionStepEvery;
        auto facts = gatherFacts(vm, intent.record, progress, round);
        auto step = nextStep(vm.record, intent.record, facts, m_clock.wallNow());
        if (step.action == TransitionAction::RequestReboot)
            requestReboot(shardNumber, intent, progress);
        else if (step.action == TransitionAction::Write)
            writeStep(shardNumber, vm, intent, step);
        else
            writeWaitReason(shardNumber, intent.record, step.reason, progress);
    }

    // Writes what the VM waits for to its command's row, at most once every two seconds.
    void writeWaitReason(
        std::uint32_t shardNumber, const IntentRecord& intent, const std::string& reason, Progress& progress)
    {
        auto command = m_writer.store().view().commands().find(intent.command.value());
        if (command == m_writer.store().view().commands().end() || isFinal(command->second.record.state)
            || command->second.record.reason == reason || m_clock.now() < progress.nextReasonUpdate)
            return;
        progress.nextReasonUpdate = m_clock.now() + std::chrono::seconds(2);
        auto shown = command->second.record;
        shown.reason = reason;
        shown.updated = m_clock.wallNow();
        FleetChange change;
        change.put(commandKey(shown.id), command->second.version, encode(shown));
        m_writer.commit(shardNumber, change, m_writer.store().nextOperation("command"));
    }

    TransitionFacts gatherFacts(
        const Stored<VmRecord>& vm, const IntentRecord& intent, Progress& progress, DrainRound<E, C>& round)
    {
        TransitionFacts facts;
        if (intent.phase == IntentPhase::Draining) {
            facts.waitingFor = m_presence.incompleteReason(m_clock.now());
            if (!facts.waitingFor.empty())
                return facts;
            auto entries = m_presence.possibleRouters(m_writer.store().view(), vm.record);
            auto status = round.ask(m_writer.store().view(), std::move(entries), vm);
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

    // Requests the reboot if this process wrote the intent within `rebootRequestWindow`. Otherwise it first
    // writes the intent again, which fails if this process was paused and has lost its lease.
    void requestReboot(std::uint32_t shardNumber, const Stored<IntentRecord>& intent, Progress& progress)
    {
        if (!progress.rebootWrittenAt
            || m_clock.now() - *progress.rebootWrittenAt >= intent.record.rebootRequestWindow) {
            auto writtenAt = m_clock.now();
            FleetChange change;
            change.put(intentKey(intent.record.vm), intent.version, encode(intent.record));
            if (!m_writer.commit(shardNumber, change, m_writer.store().nextOperation("intent")))
                return;
            progress.rebootWrittenAt = writtenAt;
        }
        if (auto asked = m_writer.store().platform().rebootVm(intent.record.vm, intent.record.operation)) {
            progress.rebootAccepted = true;
            progress.nextStepAt = {};
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
        auto writtenAt = m_clock.now();
        if (!m_writer.commit(shardNumber, change, m_writer.store().nextOperation("vm")))
            return;
        auto& progress = m_progress[vm.record.vm];
        progress.nextStepAt = {};
        if (step.intent && step.intent->phase == IntentPhase::Rebooting)
            progress.rebootWrittenAt = writtenAt;
        m_writer.record("vm",
            { { "vm", vm.record.vm.value() }, { "state", std::string(toString(step.vm.state)) },
                { "pool", step.vm.pool.value() }, { "cause", step.vm.cause },
                { "operation", intent.record.operation.value() } });
    }

    FleetWriter<P, C>& m_writer;
    E& m_confirmer;
    H& m_probe;
    const C& m_clock;
    const EntryPresence& m_presence;
    const FleetSettings& m_settings;
    std::map<VmId, Progress> m_progress;
    VmId m_resumeFrom;
};

} // namespace fulmar::fleet
