#include "operate/config_change.h"

#include "config/validation.h"

#include <algorithm>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace fulmar::operate {

namespace {

using Change = Result<std::optional<ConfigChange>>;

struct KeyOf {
    std::string operator()(const ChangePool& change) const { return keys::poolPrefix + change.pool.value(); }
    std::string operator()(const ChangeService& change) const
    {
        return keys::servicePrefix + change.service.value();
    }
    std::string operator()(const ChangeJob& change) const { return keys::jobPrefix + change.job.value(); }
    std::string operator()(const ChangeQuota& change) const { return keys::teamPrefix + change.team.value(); }
    std::string operator()(const QuarantineVm& body) const { return quarantinePrefix + body.vm.value(); }
    template <typename Other> std::string operator()(const Other&) const { return {}; }
};

template <typename Field, typename Value> void assign(Field& field, const std::optional<Value>& value)
{
    if (value)
        field = *value;
}

void apply(PoolConfig& config, const ChangePool& change)
{
    config.pool = change.pool;
    assign(config.unavailableShare, change.unavailableShare);
    assign(config.unavailableSharePerRack, change.unavailableSharePerRack);
    assign(config.unavailableSharePerZone, change.unavailableSharePerZone);
    assign(config.isSpare, change.isSpare);
}

void apply(ServiceConfig& config, const ChangeService& change)
{
    config.service = change.service;
    assign(config.pool, change.pool);
    assign(config.slotsPerTarget, change.slots);
    assign(config.connectionsPerTarget, change.connections);
    assign(config.queueLimit, change.queueLimit);
    assign(config.defaultTimeout, change.timeout);
    assign(config.retryShare, change.retryShare);
}

void apply(JobConfig& config, const ChangeJob& change)
{
    config.job = change.job;
    assign(config.pool, change.pool);
    assign(config.team, change.team);
    assign(config.processors, change.processors);
    assign(config.memoryMb, change.memoryMb);
    assign(config.accelerators, change.accelerators);
    assign(config.expectedRunTime, change.runTime);
    assign(config.idempotent, change.idempotent);
    assign(config.urgent, change.urgent);
}

void apply(TeamConfig& config, const ChangeQuota& change)
{
    config.team = change.team;
    assign(config.processors, change.processors);
    assign(config.memoryMb, change.memoryMb);
    assign(config.accelerators, change.accelerators);
}

// The rows that a change can be at odds with. No command deletes a pool, so VMs' rows, which are by far the
// most, cannot be among them.
std::map<std::string, Row> rowsBesideVms(const std::map<std::string, Row>& rows)
{
    const std::string vmPrefix = keys::vmPrefix;
    auto firstVm = rows.lower_bound(vmPrefix);
    auto pastVms = std::find_if(
        firstVm, rows.end(), [&](const auto& entry) { return !entry.first.starts_with(vmPrefix); });
    std::map<std::string, Row> beside(rows.begin(), firstVm);
    beside.insert(pastVms, rows.end());
    return beside;
}

template <typename Config, typename ChangeCommand>
Change changeRow(const ChangeCommand& change, bool creates, bool mayCreate, const std::optional<Row>& current,
    const OperatorView& view)
{
    ConfigChange result { KeyOf {}(change), {}, {} };
    if (creates && current)
        return notRun(Reason::Conflict, fmt::format("{} exists already", result.key));
    if (!mayCreate && !current)
        return notRun(Reason::BadInput, fmt::format("there is no {}", result.key));
    Config config;
    if (current) {
        result.before = current->value;
        auto known = decode<Config>(current->value);
        if (!known)
            return tl::unexpected(known.error());
        config = std::move(*known);
    }
    apply(config, change);
    result.after = encode(config);
    if (auto checked = validateChange(rowsBesideVms(view.config), { { result.key, result.after } }); !checked)
        return tl::unexpected(checked.error());
    return result;
}

struct ChangeOf {
    const std::optional<Row>& current;
    const OperatorView& view;

    Change operator()(const ChangePool& change) const
    {
        return changeRow<PoolConfig>(change, change.creates, change.creates, current, view);
    }
    Change operator()(const ChangeService& change) const
    {
        return changeRow<ServiceConfig>(change, change.creates, change.creates, current, view);
    }
    Change operator()(const ChangeJob& change) const
    {
        return changeRow<JobConfig>(change, change.creates, change.creates, current, view);
    }
    Change operator()(const ChangeQuota& change) const
    {
        return changeRow<TeamConfig>(change, false, true, current, view);
    }
    Change operator()(const QuarantineVm& body) const
    {
        ConfigChange change { KeyOf {}(body), current ? current->value : "", "" };
        if (body.lifts && !current)
            return notRun(Reason::BadInput, fmt::format("VM {} is not in quarantine", body.vm.value()));
        if (!body.lifts && current)
            return notRun(Reason::Conflict, fmt::format("VM {} is in quarantine already", body.vm.value()));
        if (!body.lifts)
            change.after = nlohmann::json { { "vm", body.vm.value() } }.dump();
        return change;
    }
    template <typename Other> Change operator()(const Other&) const { return std::nullopt; }
};

} // namespace

Result<std::optional<ConfigChange>> configChangeOf(
    const CommandBody& body, const std::optional<Row>& current, const OperatorView& view)
{
    return std::visit(ChangeOf { current, view }, body);
}

std::string configKeyOf(const CommandBody& body) { return std::visit(KeyOf {}, body); }

} // namespace fulmar::operate
