#include "serve/minted_key.h"

#include <array>
#include <cassert>
#include <charconv>
#include <fmt/format.h>

namespace fulmar::serve {

namespace {

constexpr std::string_view prefix = "fulmar1/";
constexpr char separator = '/';

// Removes and returns the text up to the next separator.
std::string_view takeField(std::string_view& text)
{
    auto end = text.find(separator);
    auto field = text.substr(0, end);
    text.remove_prefix(end == std::string_view::npos ? text.size() : end + 1);
    return field;
}

template <typename T> std::optional<T> takeHex(std::string_view& text)
{
    constexpr int base = 16;
    auto field = takeField(text);
    T value {};
    auto [end, error] = std::from_chars(field.data(), field.data() + field.size(), value, base);
    if (error != std::errc() || end != field.data() + field.size())
        return std::nullopt;
    return value;
}

} // namespace

std::string formatMintedKey(const MintedKey& key)
{
    assert(key.zone.value().find(separator) == std::string::npos);
    assert(key.owner.process.value().find(separator) == std::string::npos);
    return fmt::format("{}{}/{}/{:x}/{:x}/{:x}", prefix, key.zone.value(), key.owner.process.value(),
        key.owner.incarnation, key.mintedAt.time_since_epoch().count(), key.serial);
}

std::optional<MintedKey> parseMintedKey(std::string_view text)
{
    if (!text.starts_with(prefix))
        return std::nullopt;
    text.remove_prefix(prefix.size());
    MintedKey key;
    key.zone = ZoneId(std::string(takeField(text)));
    key.owner.process = ProcessId(std::string(takeField(text)));
    auto incarnation = takeHex<std::uint64_t>(text);
    auto minted = takeHex<std::int64_t>(text);
    auto serial = takeHex<std::uint64_t>(text);
    if (!incarnation || !minted || !serial || !text.empty())
        return std::nullopt;
    key.owner.incarnation = *incarnation;
    key.mintedAt = TimePoint(Duration(*minted));
    key.serial = *serial;
    return key;
}

} // namespace fulmar::serve
