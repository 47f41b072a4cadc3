#include "operate/fleet_facts.h"

#include "fleet/lease.h"
#include "fleet/records.h"
#include "operate/pool_state.h"
#include "operate/rows.h"

#include <algorithm>
#include <fmt/format.h>
#include <fmt/ranges.h>

namespace fulmar::operate {

namespace {

// A VM that was maintained after the wave began counts as done.
WaveFact waveFact(const fleet::WaveRecord& wave, const OperatorView& view)
{
    WaveFact fact;
    fact.wave = wave.wave;
    fact.pool = PoolId(wave.pools.empty() ? "all" : fmt::format("{}", fmt::join(wave.pools, ",")));
    fact.state = toString(wave.state);
    fact.since = wave.started;
    fact.reason = wave.reason.empty() ? "command " + wave.command.value() : wave.reason;
    forEachRow<VmRecord>(view.config, keys::vmPrefix, [&](const Row&, const VmRecord& vm) {
        if (!wave.pools.empty()
            && std::find(wave.pools.begin(), wave.pools.end(), vm.pool.value()) == wave.pools.end())
            return;
        ++fact.total;
        if (vm.lastMaintained >= wave.started)
            ++fact.done;
    });
    return fact;
}

MoveFact moveFact(const fleet::IntentRecord& intent, const OperatorView& view)
{
    MoveFact fact;
    fact.move = intent.operation;
    fact.vm = intent.vm;
    fact.to = intent.toPool;
    fact.state = fmt::format("{} {}", toString(intent.goal), toString(intent.phase));
    if (!intent.command.empty())
        fact.reason = "command " + intent.command.value();
    else if (!intent.wave.empty())
        fact.reason = "wave " + intent.wave.value();
    if (auto vm = findValue<VmRecord>(view.config, keys::vmPrefix + intent.vm.value())) {
        fact.from = vm->pool;
        fact.since = vm->since;
    }
    return fact;
}

} // namespace

void addFleetFacts(OperatorView& view, const std::map<std::string, Row>& rows)
{
    forEachRow<fleet::WaveRecord>(rows, keys::wavePrefix,
        [&](const Row&, const fleet::WaveRecord& wave) { view.waves.push_back(waveFact(wave, view)); });
    forEachRow<fleet::IntentRecord>(rows, keys::intentPrefix,
        [&](const Row&, const fleet::IntentRecord& intent) { view.moves.push_back(moveFact(intent, view)); });
    forEachRow<fleet::LeaseRecord>(
        rows, keys::leasePrefix, [&](const Row& row, const fleet::LeaseRecord& lease) {
            view.leases.push_back({ row.key, lease.holder, lease.epoch, row.version });
        });
}

} // namespace fulmar::operate
