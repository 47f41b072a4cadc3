#pragma once

#include <cstdint>
#include <optional>
#include <string_view>
#include <utility>

namespace fulmar {

// Host and port of "host:port", of which either may be missing or invalid.
[[nodiscard]] std::pair<std::string_view, std::string_view> splitAddress(std::string_view);

// A numeric IPv4 host.
[[nodiscard]] bool isHost(std::string_view);
// Empty if the text is no port from 1 on.
[[nodiscard]] std::optional<std::uint16_t> parsePort(std::string_view);
[[nodiscard]] bool isAddress(std::string_view);

} // namespace fulmar
