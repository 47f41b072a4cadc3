#pragma once

#include "operate/answer.h"
#include "operate/language.h"
#include "operate/operator_view.h"

namespace fulmar::operate {

// Rows shown where the query gives no limit.
inline constexpr std::uint32_t defaultRowLimit = 1000;

// Lists or counts rows of the view. A filter value that does not fit its column is a BadStatement.
[[nodiscard]] Answer runQuery(const Query&, const OperatorView&, WallTime now);

} // namespace fulmar::operate
