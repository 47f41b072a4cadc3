#include "operate/dry_run.h"

#include "operate/pool_state.h"
#include "operate/rows.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace fulmar::operate {

namespace {

const std::vector<Column> budgetColumns { { "budget", FieldType::Text }, { "vms", FieldType::Number },
    { "allowed", FieldType::Number }, { "spent", FieldType::Number }, { "after", FieldType::Number },
    { "effect", FieldType::Text } };
const std::vector<Column> changeColumns { { "field", FieldType::Text }, { "before", FieldType::Text },
    { "after", FieldType::Text } };

// The VMs of a pool, all of them and those of one rack and one zone.
struct Groups {
    PoolState pool;
    PoolState rack;
    PoolState zone;
};

Groups groupsAround(const VmRecord& vm, const OperatorView& view)
{
    Groups groups;
    forEachRow<VmRecord>(view.config, keys::vmPrefix, [&](const Row&, const VmRecord& other) {
        if (other.pool != vm.pool)
            return;
        groups.pool.add(other.state);
        if (other.rack == vm.rack)
            groups.rack.add(other.state);
        if (other.zone == vm.zone)
            groups.zone.add(other.state);
    });
    return groups;
}

std::vector<Cell> budgetLine(
    std::string name, const PoolState& group, std::uint32_t allowed, std::uint32_t more)
{
    auto after = group.spent() + more;
    bool mustWait = more > 0 && after > allowed;
    return { std::move(name), double(group.vms), double(allowed), double(group.spent()), double(after),
        std::string(mustWait ? "waits" : "may go ahead") };
}

// Taking one VM out spends the budgets of its pool, and of its pool in its rack and its zone.
Answer takingOut(const VmId& id, const OperatorView& view)
{
    Answer answer;
    auto vm = findValue<VmRecord>(view.config, keys::vmPrefix + id.value());
    if (!vm)
        return sentence(
            AnswerStatus::BadStatement, fmt::format("the row of VM {} cannot be read", id.value()));
    auto config = findValue<PoolConfig>(view.config, keys::poolPrefix + vm->pool.value());
    if (!config)
        return sentence(
            AnswerStatus::BadStatement, fmt::format("pool {} has no configuration", vm->pool.value()));
    auto groups = groupsAround(*vm, view);
    auto total = groups.pool.vms;
    std::uint32_t more = vm->state == VmState::Serving ? 1 : 0;
    answer.columns = budgetColumns;
    answer.rows = {
        budgetLine("pool " + vm->pool.value(), groups.pool,
            fleet::allowedVms(config->unavailableShare, total), more),
        budgetLine("rack " + vm->rack.value(), groups.rack,
            fleet::allowedVms(config->unavailableSharePerRack, total), more),
        budgetLine("zone " + vm->zone.value(), groups.zone,
            fleet::allowedVms(config->unavailableSharePerZone, total), more),
    };
    return answer;
}

struct BudgetEffect {
    const OperatorView& view;

    Answer operator()(const DrainVm& body) const { return takingOut(body.vm, view); }
    Answer operator()(const MoveVm& body) const { return takingOut(body.vm, view); }
    Answer operator()(const StartWave& body) const
    {
        auto config = findValue<PoolConfig>(view.config, keys::poolPrefix + body.pool.value());
        auto state = poolStates(view)[body.pool];
        auto allowed = fleet::allowedVms(config ? config->unavailableShare : 0, state.vms);
        auto free = allowed > state.spent() ? allowed - state.spent() : 0;
        Answer answer;
        answer.columns = budgetColumns;
        answer.rows = { budgetLine("pool " + body.pool.value(), state, allowed, free) };
        answer.message = fmt::format("the wave takes {} VMs, at most {} at once now", state.vms, free);
        return answer;
    }
    template <typename Other> Answer operator()(const Other&) const
    {
        return sentence(AnswerStatus::Ok, "the command may go ahead; it spends no budget");
    }
};

Answer fieldChanges(const ConfigChange& change)
{
    Answer answer;
    answer.columns = changeColumns;
    auto before = nlohmann::json::parse(change.before.empty() ? "{}" : change.before, nullptr, false);
    auto after = nlohmann::json::parse(change.after.empty() ? "{}" : change.after, nullptr, false);
    for (const auto& [field, value] : after.items()) {
        auto known = before.find(field);
        auto old = known == before.end() ? std::string() : known->dump();
        if (old != value.dump())
            answer.rows.push_back({ field, old, value.dump() });
    }
    const auto* effect = change.before.empty() ? "be created"
        : change.after.empty()                 ? "be deleted"
                                               : "change";
    answer.message = fmt::format("{} would {}", change.key, effect);
    return answer;
}

} // namespace

Answer showEffect(
    const CommandBody& body, const std::optional<ConfigChange>& change, const OperatorView& view)
{
    auto answer = change ? fieldChanges(*change) : std::visit(BudgetEffect { view }, body);
    answer.message += answer.message.empty() ? "nothing was done (plan)" : "; nothing was done (plan)";
    answer.version = view.version;
    answer.age = view.age;
    return answer;
}

} // namespace fulmar::operate
