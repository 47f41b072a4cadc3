#include "operate/subject_rows.h"

#include "operate/command_row.h"
#include "operate/pool_state.h"
#include "operate/rows.h"

#include <cassert>

namespace fulmar::operate {

namespace {

using Rows = std::vector<std::vector<Cell>>;

template <typename T>
    requires std::is_arithmetic_v<T>
Cell cell(T number)
{
    return double(number);
}
Cell cell(std::string_view text) { return std::string(text); }
Cell cell(const std::string& text) { return text; }
Cell cell(std::chrono::milliseconds age) { return age; }
Cell cell(const Cell& value) { return value; }
template <typename Tag> Cell cell(const Id<Tag>& id) { return id.value(); }
Cell yesOrNo(bool value) { return std::string(value ? "yes" : "no"); }

// Moments that were never set count as the beginning of time.
Cell ageOf(WallTime since, WallTime now)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(now - since);
}

template <typename... Values> std::vector<Cell> line(const Values&... values) { return { cell(values)... }; }

Rows vmRows(const OperatorView& view, WallTime now)
{
    Rows rows;
    forEachRow<VmRecord>(view.config, keys::vmPrefix, [&](const Row& row, const VmRecord& vm) {
        rows.push_back({ cell(vm.vm), cell(vm.pool), cell(toString(vm.state)), cell(vm.zone), cell(vm.region),
            cell(vm.rack), ageOf(vm.since, now), ageOf(vm.lastMaintained, now), cell(vm.epoch),
            cell(row.version), cell(vm.address), cell(vm.cause) });
    });
    return rows;
}

Rows poolRows(const OperatorView& view)
{
    Rows rows;
    for (const auto& [pool, state] : poolStates(view)) {
        auto key = keys::poolPrefix + pool.value();
        const auto* row = findRow(view.config, key);
        auto config = findValue<PoolConfig>(view.config, key);
        double share = config ? config->unavailableShare : 0;
        rows.push_back(line(pool, state.vms, state.serving, state.leaving, state.maintenance, state.failed,
            fleet::allowedVms(share, state.vms), state.spent(), yesOrNo(config && config->isSpare),
            row ? row->version : 0));
    }
    return rows;
}

Rows serviceRows(const OperatorView& view)
{
    Rows rows;
    forEachRow<ServiceConfig>(
        view.config, keys::servicePrefix, [&](const Row& row, const ServiceConfig& service) {
            rows.push_back(
                line(service.service, service.pool, service.slotsPerTarget, service.connectionsPerTarget,
                    service.queueLimit, service.defaultTimeout.count(), service.retryShare, row.version));
        });
    return rows;
}

Rows targetRows(const OperatorView& view)
{
    Rows rows;
    for (const auto& target : view.targets)
        rows.push_back(line(target.vm, target.service, target.zone, target.state, target.inFlight,
            target.slots, target.process));
    return rows;
}

Rows workerRows(const OperatorView& view)
{
    Rows rows;
    for (const auto& worker : view.workers)
        rows.push_back(line(worker.vm, worker.pool, worker.zone, worker.rack, worker.state, worker.tasks,
            worker.processors, worker.memoryMb, worker.reason));
    return rows;
}

Rows taskRows(const OperatorView& view, WallTime now)
{
    Rows rows;
    for (const auto& task : view.tasks)
        rows.push_back(line(task.task, task.job, task.team, task.pool, task.state, task.worker, task.attempts,
            ageOf(task.since, now), task.reason));
    return rows;
}

Rows jobRows(const OperatorView& view)
{
    Rows rows;
    forEachRow<JobConfig>(view.config, keys::jobPrefix, [&](const Row& row, const JobConfig& job) {
        rows.push_back(line(job.job, job.pool, job.team, job.processors, job.memoryMb, job.accelerators,
            job.expectedRunTime.count(), yesOrNo(job.idempotent), yesOrNo(job.urgent), row.version));
    });
    return rows;
}

Rows teamRows(const OperatorView& view)
{
    Rows rows;
    forEachRow<TeamConfig>(view.config, keys::teamPrefix, [&](const Row& row, const TeamConfig& team) {
        rows.push_back(line(team.team, team.processors, team.memoryMb, team.accelerators, row.version));
    });
    return rows;
}

Rows waveRows(const OperatorView& view, WallTime now)
{
    Rows rows;
    for (const auto& wave : view.waves)
        rows.push_back(line(
            wave.wave, wave.pool, wave.state, wave.done, wave.total, ageOf(wave.since, now), wave.reason));
    return rows;
}

Rows moveRows(const OperatorView& view, WallTime now)
{
    Rows rows;
    for (const auto& move : view.moves)
        rows.push_back(
            line(move.move, move.vm, move.from, move.to, move.state, ageOf(move.since, now), move.reason));
    return rows;
}

Rows leaseRows(const OperatorView& view)
{
    Rows rows;
    for (const auto& lease : view.leases)
        rows.push_back(line(lease.lease, lease.holder, lease.epoch, lease.version));
    return rows;
}

Rows configRows(const OperatorView& view)
{
    Rows rows;
    for (const auto& [key, row] : view.config)
        if (!row.deleted)
            rows.push_back(line(key, row.version, row.operation));
    return rows;
}

Rows peerRows(const OperatorView& view)
{
    Rows rows;
    for (const auto& peer : view.peers)
        rows.push_back(line(peer.process, peer.role, peer.zone, peer.heardAgo, peer.version));
    return rows;
}

Rows commandRows(const OperatorView& view, WallTime now)
{
    Rows rows;
    for (const auto& [key, row] : view.commands) {
        if (row.deleted)
            continue;
        if (auto command = decodeCommandRow(row))
            rows.push_back(line(command->id, command->who, toString(command->state), command->statement,
                ageOf(command->ordered, now), command->basedOn, command->detail));
    }
    return rows;
}

Rows buildRows(Subject subject, const OperatorView& view, WallTime now)
{
    switch (subject) {
    case Subject::Vms:
        return vmRows(view, now);
    case Subject::Pools:
        return poolRows(view);
    case Subject::Services:
        return serviceRows(view);
    case Subject::Targets:
        return targetRows(view);
    case Subject::Workers:
        return workerRows(view);
    case Subject::Tasks:
        return taskRows(view, now);
    case Subject::Jobs:
        return jobRows(view);
    case Subject::Teams:
        return teamRows(view);
    case Subject::Waves:
        return waveRows(view, now);
    case Subject::Moves:
        return moveRows(view, now);
    case Subject::Leases:
        return leaseRows(view);
    case Subject::Config:
        return configRows(view);
    case Subject::Peers:
        return peerRows(view);
    case Subject::Commands:
        return commandRows(view, now);
    }
    return {};
}

} // namespace

std::vector<std::vector<Cell>> rowsOf(Subject subject, const OperatorView& view, WallTime now)
{
    auto rows = buildRows(subject, view, now);
    assert(rows.empty() || rows.front().size() == fieldsOf(subject).size());
    return rows;
}

} // namespace fulmar::operate
