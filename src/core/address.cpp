#include "core/address.h"

#include <asio/ip/address_v4.hpp>
#include <charconv>

namespace fulmar {

std::pair<std::string_view, std::string_view> splitAddress(std::string_view text)
{
    auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return { text, {} };
    return { text.substr(0, colon), text.substr(colon + 1) };
}

bool isHost(std::string_view text)
{
    asio::error_code error;
    asio::ip::make_address_v4(text, error);
    return !error;
}

std::optional<std::uint16_t> parsePort(std::string_view text)
{
    std::uint16_t port = 0;
    auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), port);
    if (error != std::errc() || end != text.data() + text.size() || port == 0)
        return std::nullopt;
    return port;
}

bool isAddress(std::string_view text)
{
    auto [host, port] = splitAddress(text);
    return isHost(host) && parsePort(port).has_value();
}

} // namespace fulmar
