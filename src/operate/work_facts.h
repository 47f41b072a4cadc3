#pragma once

#include "operate/operator_view.h"

#include <string>
#include <vector>

namespace fulmar::operate {

// The owner's list of its workers and tasks, as it goes to the process that an operator asks.
[[nodiscard]] std::string encodeWorkFacts(const std::vector<WorkerFact>&, const std::vector<TaskFact>&);

// Adds such a list to the view; text that is none adds nothing.
void addWorkFacts(OperatorView&, const std::string& text);

} // namespace fulmar::operate
