#pragma once

#include "operate/operator_view.h"
#include "platform/table.h"

#include <map>
#include <string>

namespace fulmar::operate {

// Adds what the rows under wave/, intent/ and lease/ say to the view's waves, moves and leases.
void addFleetFacts(OperatorView&, const std::map<std::string, Row>& rows);

} // namespace fulmar::operate
