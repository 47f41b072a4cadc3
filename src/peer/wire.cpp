#include "peer/wire.h"

#include <array>
#include <map>

namespace fulmar::peer {

namespace {

void fill(const EventStamp& stamp, wire::Stamp& out)
{
    out.set_wall_ms(stamp.wall.time_since_epoch().count());
    out.set_counter(stamp.counter);
}

EventStamp read(const wire::Stamp& in)
{
    return { WallTime(std::chrono::milliseconds(in.wall_ms())), in.counter() };
}

void fill(const PeerInfo& peer, wire::Process& out)
{
    out.set_id(peer.process.value());
    out.set_role(std::string(toString(peer.role)));
    out.set_region(peer.region.value());
    out.set_zone(peer.zone.value());
    out.set_address(peer.address);
    out.set_incarnation(peer.incarnation);
    out.set_vm(peer.vm.value());
    out.set_registered(peer.isRegistered);
}

PeerInfo read(const wire::Process& in)
{
    auto role = in.role() == toString(PeerRole::Control) ? PeerRole::Control : PeerRole::Entry;
    return { ProcessId(in.id()), role, RegionId(in.region()), ZoneId(in.zone()), in.address(),
        in.incarnation(), VmId(in.vm()), in.registered() };
}

Outcome readOutcome(const std::string& text)
{
    for (auto outcome : { Outcome::Ran, Outcome::NotRun })
        if (text == toString(outcome))
            return outcome;
    return Outcome::MayHaveRun;
}

constexpr std::array knowledgeNames {
    std::pair { serve::KeyKnowledge::Unreachable, wire::KeyAnswer::UNREACHABLE },
    std::pair { serve::KeyKnowledge::Kept, wire::KeyAnswer::KEPT },
    std::pair { serve::KeyKnowledge::Running, wire::KeyAnswer::RUNNING },
    std::pair { serve::KeyKnowledge::HandedOver, wire::KeyAnswer::HANDED_OVER },
    std::pair { serve::KeyKnowledge::Moved, wire::KeyAnswer::MOVED },
    std::pair { serve::KeyKnowledge::RanAnswerLost, wire::KeyAnswer::RAN_ANSWER_LOST },
    std::pair { serve::KeyKnowledge::MayHaveRun, wire::KeyAnswer::MAY_HAVE_RUN },
    std::pair { serve::KeyKnowledge::OtherRequest, wire::KeyAnswer::OTHER_REQUEST },
    std::pair { serve::KeyKnowledge::Gone, wire::KeyAnswer::GONE },
};

wire::KeyAnswer::Knowledge toWire(serve::KeyKnowledge knowledge)
{
    for (const auto& [ours, theirs] : knowledgeNames)
        if (ours == knowledge)
            return theirs;
    return wire::KeyAnswer::UNREACHABLE;
}

serve::KeyKnowledge readKnowledge(wire::KeyAnswer::Knowledge knowledge)
{
    for (const auto& [ours, theirs] : knowledgeNames)
        if (theirs == knowledge)
            return ours;
    return serve::KeyKnowledge::Unreachable;
}

void fill(const serve::KeyGrant& grant, wire::KeyGrant& out)
{
    out.set_process(grant.owner.process.value());
    out.set_incarnation(grant.owner.incarnation);
    out.set_serial(grant.serial);
}

serve::KeyGrant read(const wire::KeyGrant& in)
{
    return { { ProcessId(in.process()), in.incarnation() }, in.serial() };
}

std::int64_t toWire(TimePoint time) { return time.time_since_epoch().count(); }

TimePoint readTime(std::int64_t microseconds) { return TimePoint(Duration(microseconds)); }

void fill(const serve::PeerLoad& load, wire::Load& out)
{
    out.set_incarnation(load.incarnation);
    out.set_sent_us(toWire(load.sent));
    out.set_echo_us(toWire(load.echo));
    out.set_lent_for_us(load.lentFor.count());
    std::map<VmId, wire::TargetLoad*> targets;
    auto target = [&](const VmId& vm) -> wire::TargetLoad& {
        auto& known = targets[vm];
        if (!known) {
            known = out.add_targets();
            known->set_vm(vm.value());
        }
        return *known;
    };
    for (const auto& [vm, count] : load.lent)
        target(vm).set_lent(count);
    for (const auto& [vm, count] : load.borrowed)
        target(vm).set_borrowed(count);
    for (const auto& [service, wanted] : load.wanted) {
        auto& each = *out.add_services();
        each.set_service(service.value());
        each.set_wanted(wanted);
    }
    for (const auto& mark : load.leaving) {
        auto& each = *out.add_leaving();
        each.set_vm(mark.vm.value());
        each.set_epoch(mark.epoch);
    }
}

serve::PeerLoad read(const wire::Load& in)
{
    serve::PeerLoad load;
    load.incarnation = in.incarnation();
    load.sent = readTime(in.sent_us());
    load.echo = readTime(in.echo_us());
    load.lentFor = Duration(in.lent_for_us());
    for (const auto& target : in.targets()) {
        if (target.lent())
            load.lent[VmId(target.vm())] = target.lent();
        if (target.borrowed())
            load.borrowed[VmId(target.vm())] = target.borrowed();
    }
    for (const auto& each : in.services())
        load.wanted[ServiceId(each.service())] = each.wanted();
    for (const auto& mark : in.leaving())
        load.leaving.push_back({ VmId(mark.vm()), mark.epoch() });
    return load;
}

template <typename Fields>
void fillFields(const std::vector<std::pair<std::string, std::string>>& fields, Fields& out)
{
    for (const auto& [name, value] : fields) {
        auto& field = *out.Add();
        field.set_name(name);
        field.set_value(value);
    }
}

template <typename Fields> std::vector<std::pair<std::string, std::string>> readFields(const Fields& in)
{
    std::vector<std::pair<std::string, std::string>> fields;
    for (const auto& field : in)
        fields.emplace_back(field.name(), field.value());
    return fields;
}

} // namespace

void toWire(const Exchange& message, wire::Exchange& out)
{
    fill(message.from, *out.mutable_from());
    fill(message.stamp, *out.mutable_stamp());
    out.set_version(message.version);
    out.set_base(message.base);
    out.set_complete(message.changes.tableVersion);
    if (message.load)
        fill(*message.load, *out.mutable_load());
    for (const auto& [vm, isLeaving] : message.listed) {
        auto& each = *out.add_listed();
        each.set_vm(vm.value());
        each.set_leaving(isLeaving);
    }
    for (const auto& row : message.changes.rows) {
        auto& each = *out.add_rows();
        each.set_key(row.key);
        each.set_value(row.value);
        each.set_version(row.version);
        each.set_operation(row.operation.value());
        each.set_deleted(row.deleted);
    }
    for (const auto& peer : message.known)
        fill(peer, *out.add_known());
}

Exchange fromWire(const wire::Exchange& in)
{
    Exchange message;
    message.from = read(in.from());
    message.stamp = read(in.stamp());
    message.version = in.version();
    message.base = in.base();
    message.changes.tableVersion = in.complete();
    if (in.has_load())
        message.load = read(in.load());
    for (const auto& each : in.listed())
        message.listed.push_back({ VmId(each.vm()), each.leaving() });
    for (const auto& row : in.rows())
        message.changes.rows.push_back(
            { row.key(), row.value(), row.version(), OperationId(row.operation()), row.deleted() });
    for (const auto& peer : in.known())
        message.known.push_back(read(peer));
    return message;
}

void toWire(const ConfirmQuestion& question, wire::ConfirmQuestion& out)
{
    fill(question.stamp, *out.mutable_stamp());
    out.set_vm(question.vm.value());
    out.set_version(question.version);
}

ConfirmQuestion fromWire(const wire::ConfirmQuestion& in)
{
    return { read(in.stamp()), VmId(in.vm()), in.version() };
}

void toWire(const Confirmation& confirmation, wire::Confirmation& out)
{
    fill(confirmation.stamp, *out.mutable_stamp());
    out.set_applied_version(confirmation.appliedVersion);
    out.set_in_flight(confirmation.inFlight);
    out.set_incarnation(confirmation.incarnation);
    out.set_row(confirmation.row.value());
    for (const auto& peer : confirmation.dependents)
        fill(peer, *out.add_dependents());
}

Confirmation fromWire(const wire::Confirmation& in)
{
    Confirmation confirmation { read(in.stamp()), in.applied_version(), in.in_flight(), in.incarnation(), {},
        OperationId(in.row()) };
    for (const auto& peer : in.dependents())
        confirmation.dependents.push_back(read(peer));
    return confirmation;
}

void toWire(const KeyQuestion& message, wire::KeyQuestion& out)
{
    fill(message.stamp, *out.mutable_stamp());
    out.set_key(message.question.key);
    out.set_fingerprint(message.question.fingerprint);
    fill(message.question.holder, *out.mutable_holder());
    fill(message.question.asker, *out.mutable_asker());
}

KeyQuestion fromWire(const wire::KeyQuestion& in)
{
    return { read(in.stamp()), { in.key(), in.fingerprint(), read(in.holder()), read(in.asker()) } };
}

void toWire(const KeyAnswer& message, wire::KeyAnswer& out)
{
    fill(message.stamp, *out.mutable_stamp());
    out.set_knowledge(toWire(message.owner.knowledge));
    if (message.owner.movedTo)
        fill(*message.owner.movedTo, *out.mutable_moved_to());
    out.set_status(message.answer.status);
    fillFields(message.answer.headers, *out.mutable_headers());
    out.set_body(message.answer.body);
}

KeyAnswer fromWire(const wire::KeyAnswer& in)
{
    KeyAnswer message { read(in.stamp()), { readKnowledge(in.knowledge()), std::nullopt },
        { in.status(), readFields(in.headers()), in.body() } };
    if (in.has_moved_to())
        message.owner.movedTo = read(in.moved_to());
    return message;
}

void toWire(const TaskCall& call, wire::TaskCall& out)
{
    fill(call.stamp, *out.mutable_stamp());
    out.set_method(call.method);
    out.set_task(call.task.value());
    out.set_body(call.body);
}

TaskCall fromWire(const wire::TaskCall& in)
{
    return { read(in.stamp()), in.method(), TaskId(in.task()), in.body() };
}

void toWire(const TaskAnswer& answer, wire::TaskAnswer& out)
{
    fill(answer.stamp, *out.mutable_stamp());
    out.set_status(answer.status);
    out.set_outcome(std::string(toString(answer.outcome)));
    out.set_body(answer.body);
}

TaskAnswer fromWire(const wire::TaskAnswer& in)
{
    return { read(in.stamp()), in.status(), readOutcome(in.outcome()), in.body() };
}

void toWire(const TimelineQuestion& question, wire::TimelineQuestion& out)
{
    fill(question.stamp, *out.mutable_stamp());
    out.set_limit(question.limit);
}

TimelineQuestion fromWire(const wire::TimelineQuestion& in) { return { read(in.stamp()), in.limit() }; }

void toWire(const TimelineAnswer& answer, wire::TimelineAnswer& out)
{
    fill(answer.stamp, *out.mutable_stamp());
    for (const auto& event : answer.events) {
        auto& each = *out.add_events();
        fill(event.stamp, *each.mutable_stamp());
        each.set_process(event.process.value());
        each.set_kind(event.kind);
        fillFields(event.fields, *each.mutable_fields());
    }
}

TimelineAnswer fromWire(const wire::TimelineAnswer& in)
{
    TimelineAnswer answer { read(in.stamp()), {} };
    for (const auto& event : in.events())
        answer.events.push_back(
            { read(event.stamp()), ProcessId(event.process()), event.kind(), readFields(event.fields()) });
    return answer;
}

} // namespace fulmar::peer
