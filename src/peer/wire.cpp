#include "peer/wire.h"

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
}

PeerInfo read(const wire::Process& in)
{
    auto role = in.role() == toString(PeerRole::Control) ? PeerRole::Control : PeerRole::Entry;
    return { ProcessId(in.id()), role, RegionId(in.region()), ZoneId(in.zone()), in.address(),
        in.incarnation() };
}

Outcome readOutcome(const std::string& text)
{
    for (auto outcome : { Outcome::Ran, Outcome::NotRun })
        if (text == toString(outcome))
            return outcome;
    return Outcome::MayHaveRun;
}

KeyState readState(wire::KeyAnswer::State state)
{
    switch (state) {
    case wire::KeyAnswer::RUNNING:
        return KeyState::Running;
    case wire::KeyAnswer::FINISHED:
        return KeyState::Finished;
    case wire::KeyAnswer::OTHER_REQUEST:
        return KeyState::OtherRequest;
    case wire::KeyAnswer::NOT_RUN:
        return KeyState::NotRun;
    case wire::KeyAnswer::MAY_HAVE_RUN:
        return KeyState::MayHaveRun;
    default:
        return KeyState::Unknown;
    }
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
    out.set_config_version(message.changes.tableVersion);
    for (const auto& [vm, inFlight] : message.loads) {
        auto& load = *out.add_loads();
        load.set_vm(vm.value());
        load.set_in_flight(inFlight);
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
    for (const auto& vm : message.leaving)
        out.add_leaving(vm.value());
}

Exchange fromWire(const wire::Exchange& in)
{
    Exchange message;
    message.from = read(in.from());
    message.stamp = read(in.stamp());
    message.changes.tableVersion = in.config_version();
    for (const auto& load : in.loads())
        message.loads.push_back({ VmId(load.vm()), load.in_flight() });
    for (const auto& row : in.rows())
        message.changes.rows.push_back(
            { row.key(), row.value(), row.version(), OperationId(row.operation()), row.deleted() });
    for (const auto& peer : in.known())
        message.known.push_back(read(peer));
    for (const auto& vm : in.leaving())
        message.leaving.emplace_back(vm);
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
    for (const auto& peer : confirmation.fed)
        fill(peer, *out.add_fed());
}

Confirmation fromWire(const wire::Confirmation& in)
{
    Confirmation confirmation { read(in.stamp()), in.applied_version(), in.in_flight(), in.incarnation(),
        {} };
    for (const auto& peer : in.fed())
        confirmation.fed.push_back(read(peer));
    return confirmation;
}

void toWire(const KeyQuestion& question, wire::KeyQuestion& out)
{
    fill(question.stamp, *out.mutable_stamp());
    out.set_key(question.key);
    out.set_fingerprint(question.fingerprint);
    out.set_incarnation(question.incarnation);
    out.set_wait_ms(question.wait.count());
}

KeyQuestion fromWire(const wire::KeyQuestion& in)
{
    return { read(in.stamp()), in.key(), in.fingerprint(), in.incarnation(),
        std::chrono::milliseconds(in.wait_ms()) };
}

void toWire(const KeyAnswer& answer, wire::KeyAnswer& out)
{
    fill(answer.stamp, *out.mutable_stamp());
    out.set_state(static_cast<wire::KeyAnswer::State>(answer.state));
    out.set_status(answer.answer.status);
    fillFields(answer.answer.headers, *out.mutable_headers());
    out.set_body(answer.answer.body);
}

KeyAnswer fromWire(const wire::KeyAnswer& in)
{
    return { read(in.stamp()), readState(in.state()), { in.status(), readFields(in.headers()), in.body() } };
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
