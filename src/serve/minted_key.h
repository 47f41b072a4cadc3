#pragma once

#include "serve/call.h"

#include <optional>
#include <string>
#include <string_view>

namespace fulmar::serve {

// An idempotency key made by an entry VM. Its text names the only process life that may run it, so that any
// other entry VM knows whom to ask without the platform's table.
struct MintedKey {
    ZoneId zone;
    KeyOwner owner;
    // The owner's clock when the key was made.
    TimePoint minted;
    std::uint64_t serial { 0 };

    bool operator==(const MintedKey&) const = default;
};

// Zone and process must not contain '/'.
[[nodiscard]] std::string formatMintedKey(const MintedKey&);

// Empty if the text is not of this kind, as a caller's own key.
[[nodiscard]] std::optional<MintedKey> parseMintedKey(std::string_view);

} // namespace fulmar::serve
