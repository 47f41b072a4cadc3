#pragma once

#include "core/verdict.h"
#include "operate/language.h"
#include "operate/operator_view.h"

#include <optional>
#include <string>

namespace fulmar::operate {

// A configuration row as a command would leave it.
struct ConfigChange {
    std::string key;
    // Empty where the row does not exist yet.
    std::string before;
    // Empty where the row is deleted.
    std::string after;
};

// VMs that operators bar from new tasks: config/quarantine/<vm>, as the work duty reads them.
inline constexpr auto quarantinePrefix = "config/quarantine/";

// The row that the command changes. Empty for commands that change no configuration. Fails with BadInput
// where a name does not exist or a value is out of range, with Conflict where a new row exists already.
[[nodiscard]] Result<std::optional<ConfigChange>> configChangeOf(
    const CommandBody&, const std::optional<Row>& current, const OperatorView&);

// The key of the configuration row that the command changes; empty if it changes none.
[[nodiscard]] std::string configKeyOf(const CommandBody&);

} // namespace fulmar::operate
