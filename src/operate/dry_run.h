#pragma once

#include "operate/answer.h"
#include "operate/config_change.h"
#include "operate/language.h"
#include "operate/operator_view.h"

#include <optional>

namespace fulmar::operate {

// What a command would do: to the budgets of the pool, rack and zone of its VMs, or to fields of a row.
[[nodiscard]] Answer showEffect(const CommandBody&, const std::optional<ConfigChange>&, const OperatorView&);

} // namespace fulmar::operate
