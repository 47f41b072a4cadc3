#pragma once

#include <iosfwd>

namespace fulmar::node {

// Whether the options ask for a check of a configuration.
[[nodiscard]] bool isConfigCommand(int argc, const char* const* argv);

// `--check-config FILE [--against FILE]`: writes what is wrong with a configuration, as nodes read it, and
// what differs from the one in force. Returns 0, 1 if there are errors, or 2 if a file or option is
// unreadable.
[[nodiscard]] int runConfigCommand(int argc, const char* const* argv, std::ostream& out);

} // namespace fulmar::node
