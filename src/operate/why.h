#pragma once

#include "operate/answer.h"
#include "operate/language.h"
#include "operate/operator_view.h"

namespace fulmar::operate {

// The chain of facts and decisions that led to an entity's present state, the entity first, each line with
// its source. BadStatement if nothing is known of it.
[[nodiscard]] Answer explain(const Entity&, const OperatorView&, WallTime now);

} // namespace fulmar::operate
