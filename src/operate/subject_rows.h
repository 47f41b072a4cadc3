#pragma once

#include "operate/answer.h"
#include "operate/operator_view.h"
#include "operate/schema.h"

#include <vector>

namespace fulmar::operate {

// All rows of the subject, with one cell for each of its fields.
[[nodiscard]] std::vector<std::vector<Cell>> rowsOf(Subject, const OperatorView&, WallTime now);

} // namespace fulmar::operate
