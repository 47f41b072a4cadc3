#pragma once

#include "config/model.h"
#include "platform/table.h"

#include <map>
#include <string>
#include <vector>

namespace fulmar {

// Checks a whole change against the rows in force: every row decodes and carries the name in its key, what it
// refers to exists after the change, nothing still refers to what it deletes, and at most one pool is the
// spare. VM rows are refused; they change through commands. The failure (BadInput, NotRun) lists every
// reason.
[[nodiscard]] Result<void> validateChange(
    const std::map<std::string, Row>& currentRows, const std::vector<Write>& change);

} // namespace fulmar
