#pragma once

#include "serve/call.h"

#include <optional>
#include <string>
#include <string_view>

namespace fulmar::serve {

// An idempotency key created by an entry VM. Its text names the only process incarnation that may run it, so
// that other entry VMs know which process to ask without reading the platform's table.
struct MintedKey {
    ZoneId zone;
    KeyOwner owner;
    // The owner's clock when the key was minted.
    TimePoint mintedAt;
    std::uint64_t serial { 0 };

    bool operator==(const MintedKey&) const = default;
};

// Zone and process must not contain '/'.
[[nodiscard]] std::string formatMintedKey(const MintedKey&);

// Empty if the text is not a minted key, for example a key chosen by a caller.
[[nodiscard]] std::optional<MintedKey> parseMintedKey(std::string_view);

} // namespace fulmar::serve
