#pragma once

#include "config/model.h"
#include "platform/table.h"

#include <map>
#include <string>
#include <vector>

namespace fulmar {

// Validates a change against the current rows: every row decodes and its name matches its key, all rows that
// it refers to exist after the change, no row refers to a deleted one, and at most one pool is the spare. VM
// rows are rejected, as only commands change them. The failure (BadInput, NotRun) lists all errors.
[[nodiscard]] Result<void> validateChange(
    const std::map<std::string, Row>& currentRows, const std::vector<Write>& change);

} // namespace fulmar
