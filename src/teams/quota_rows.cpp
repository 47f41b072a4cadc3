#include "teams/quota_rows.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <xxhash.h>

namespace fulmar::teams {

namespace {

using Json = nlohmann::json;

constexpr std::string_view holderPrefix = "holder/";
constexpr std::string_view transferPrefix = "transfer/";

Json encode(const Resources& amounts)
{
    return Json::array({ amounts.cpu, amounts.memoryMb, amounts.accelerators });
}

Resources decode(const Json& json)
{
    return { json.at(0).get<std::int64_t>(), json.at(1).get<std::int64_t>(), json.at(2).get<std::int64_t>() };
}

} // namespace

std::uint64_t fingerprintOf(const Limits& limits)
{
    auto rows = Json::array();
    for (const auto& [team, amounts] : limits)
        rows.push_back(Json::array({ team.value(), encode(amounts) }));
    auto text = rows.dump();
    return std::max<std::uint64_t>(1, XXH3_64bits(text.data(), text.size()));
}

std::string holderKey(std::uint32_t shard) { return std::string(holderPrefix) + std::to_string(shard); }

std::string transferKey(std::uint32_t shard, const TeamId& team)
{
    return std::string(transferPrefix) + std::to_string(shard) + "/" + team.value();
}

std::optional<QuotaKey> parseQuotaKey(std::string_view key)
{
    auto isHolder = key.starts_with(holderPrefix);
    if (!isHolder && !key.starts_with(transferPrefix))
        return std::nullopt;
    key.remove_prefix(isHolder ? holderPrefix.size() : transferPrefix.size());
    QuotaKey parsed;
    auto [end, error] = std::from_chars(key.data(), key.data() + key.size(), parsed.shard);
    if (error != std::errc())
        return std::nullopt;
    key.remove_prefix(std::size_t(end - key.data()));
    if (isHolder)
        return key.empty() ? std::optional(parsed) : std::nullopt;
    if (key.size() < 2 || key.front() != '/')
        return std::nullopt;
    parsed.team = TeamId(std::string(key.substr(1)));
    return parsed;
}

std::string encodeHolderRow(const HolderRow& row)
{
    auto over = Json::object();
    for (const auto& [team, used] : row.over)
        over[team.value()] = encode(used);
    auto wants = Json::object();
    for (const auto& [team, want] : row.wants)
        wants[team.value()] = Json::array({ encode(want.target), want.since, encode(want.group) });
    return Json {
        { "epoch", row.epoch }, { "serial", row.serial }, { "limits", row.limits },
        { "config", row.configVersion }, { "over", std::move(over) }, { "wants", std::move(wants) }
    }.dump();
}

std::optional<HolderRow> decodeHolderRow(std::string_view text)
{
    auto json = Json::parse(text, nullptr, false);
    if (!json.is_object())
        return std::nullopt;
    try {
        HolderRow row;
        json.at("epoch").get_to(row.epoch);
        json.at("serial").get_to(row.serial);
        json.at("limits").get_to(row.limits);
        json.at("config").get_to(row.configVersion);
        for (const auto& [team, used] : json.at("over").items())
            row.over.emplace(TeamId(team), decode(used));
        for (const auto& [team, want] : json.at("wants").items())
            row.wants.emplace(TeamId(team),
                Want { decode(want.at(0)), want.at(1).get<std::uint64_t>(), decode(want.at(2)) });
        return row;
    } catch (const Json::exception&) {
        return std::nullopt;
    }
}

std::string encodeTransferRow(const TransferRow& row)
{
    auto given = Json::array();
    for (const auto& [to, share] : row)
        given.push_back(Json::array({ to, encode(share) }));
    return Json { { "given", std::move(given) } }.dump();
}

std::optional<TransferRow> decodeTransferRow(std::string_view text)
{
    auto json = Json::parse(text, nullptr, false);
    if (!json.is_object())
        return std::nullopt;
    try {
        TransferRow row;
        for (const auto& transfer : json.at("given"))
            row.emplace(transfer.at(0).get<std::uint32_t>(), decode(transfer.at(1)));
        return row;
    } catch (const Json::exception&) {
        return std::nullopt;
    }
}

} // namespace fulmar::teams
