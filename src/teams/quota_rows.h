#pragma once

#include "core/resources.h"
#include "core/types.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace fulmar::teams {

// Part of a team's limit, in millionths of each resource's amount.
using Share = Resources;
inline constexpr std::int64_t wholeShare = 1'000'000;

inline constexpr std::array<std::int64_t Resources::*, 3> resourceKinds { &Resources::cpu,
    &Resources::memoryMb, &Resources::accelerators };

[[nodiscard]] inline bool isNothing(const Resources& amounts) { return amounts == Resources {}; }
[[nodiscard]] inline std::int64_t amountOf(std::int64_t share, std::int64_t limit)
{
    return share * limit / wholeShare;
}
// The least share that holds the amount.
[[nodiscard]] inline std::int64_t shareFor(std::int64_t amount, std::int64_t limit)
{
    return ((amount > 0 ? amount : 0) * wholeShare + limit - 1) / limit;
}

// Limits of the teams that have one; an amount of 0 is unlimited.
using Limits = std::map<TeamId, Resources>;

// Tells apart the limits of different configurations; never 0.
[[nodiscard]] std::uint64_t fingerprintOf(const Limits&);

// What a shard lacks.
struct Want {
    // The share that the shard needs to start what only the team's quota holds back.
    Share target;
    // Order of the wants of a team over all shards; the lowest has waited longest.
    std::uint64_t since { 0 };
    // The largest share that it starts at once.
    Share group;

    bool operator==(const Want&) const = default;
};

// A shard's own row of table `team_limits`; only the shard's holder writes it.
struct HolderRow {
    // Of the holder that wrote the row.
    Epoch epoch { 0 };
    // Counts the writes of that holder.
    std::uint64_t serial { 0 };
    // The limits within which the shard starts tasks: their fingerprint, 0 if unknown, and the version of a
    // configuration that has them.
    std::uint64_t limits { 0 };
    std::int64_t configVersion { 0 };
    // Teams that had more running in the shard than its share of these limits, and what they had.
    std::map<TeamId, Resources> over;
    std::map<TeamId, Want> wants;

    bool operator==(const HolderRow&) const = default;
};

// What a shard has given of one team's quota since the start, by receiving shard. The holder of the giving
// shard writes it.
using TransferRow = std::map<std::uint32_t, Share>;

struct QuotaKey {
    std::uint32_t shard { 0 };
    // Empty for the holder's row.
    TeamId team;
};

[[nodiscard]] std::string holderKey(std::uint32_t shard);
[[nodiscard]] std::string transferKey(std::uint32_t shard, const TeamId&);
[[nodiscard]] std::optional<QuotaKey> parseQuotaKey(std::string_view);

// The decoders return std::nullopt for a text that is not a complete row.
[[nodiscard]] std::string encodeHolderRow(const HolderRow&);
[[nodiscard]] std::optional<HolderRow> decodeHolderRow(std::string_view);
[[nodiscard]] std::string encodeTransferRow(const TransferRow&);
[[nodiscard]] std::optional<TransferRow> decodeTransferRow(std::string_view);

} // namespace fulmar::teams
