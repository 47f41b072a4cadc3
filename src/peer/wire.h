#pragma once

#include "peer/generated/peer.pb.h"
#include "peer/messages.h"

namespace fulmar::peer {

// Conversions between the C++ messages and protobuf. An unknown outcome becomes MayHaveRun, an unknown
// KeyKnowledge becomes Unreachable, and an unknown role becomes Entry.
void toWire(const Exchange&, wire::Exchange&);
void toWire(const ConfirmQuestion&, wire::ConfirmQuestion&);
void toWire(const Confirmation&, wire::Confirmation&);
void toWire(const KeyQuestion&, wire::KeyQuestion&);
void toWire(const KeyAnswer&, wire::KeyAnswer&);
void toWire(const TaskCall&, wire::TaskCall&);
void toWire(const TaskAnswer&, wire::TaskAnswer&);
void toWire(const TimelineQuestion&, wire::TimelineQuestion&);
void toWire(const TimelineAnswer&, wire::TimelineAnswer&);

[[nodiscard]] Exchange fromWire(const wire::Exchange&);
[[nodiscard]] ConfirmQuestion fromWire(const wire::ConfirmQuestion&);
[[nodiscard]] Confirmation fromWire(const wire::Confirmation&);
[[nodiscard]] KeyQuestion fromWire(const wire::KeyQuestion&);
[[nodiscard]] KeyAnswer fromWire(const wire::KeyAnswer&);
[[nodiscard]] TaskCall fromWire(const wire::TaskCall&);
[[nodiscard]] TaskAnswer fromWire(const wire::TaskAnswer&);
[[nodiscard]] TimelineQuestion fromWire(const wire::TimelineQuestion&);
[[nodiscard]] TimelineAnswer fromWire(const wire::TimelineAnswer&);

} // namespace fulmar::peer
