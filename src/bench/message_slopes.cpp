#include "bench/fleet_rows.h"
#include "bench/meter.h"
#include "bench/slopes.h"
#include "peer/wire.h"

#include <array>
#include <fmt/format.h>

namespace fulmar::bench {

namespace {

constexpr std::array<std::size_t, 4> rowCounts { 100, 1000, 2600, 5200 };
constexpr std::array<std::size_t, 4> peerCounts { 1, 6, 30, 60 };

PeerInfo peerInfo(std::size_t number)
{
    return { ProcessId(fmt::format("entry-zone-{}-{}", number % 10, number / 10)), PeerRole::Entry,
        RegionId("region-1"), ZoneId(fmt::format("zone-{}", number % 10)),
        fmt::format("10.0.0.{}:7400", number), 1'700'000'000'000 + number };
}

Exchange exchange(std::size_t rows, std::size_t peers)
{
    Exchange message;
    message.from = peerInfo(0);
    message.stamp = { WallTime(std::chrono::hours(500'000)), 1 };
    message.changes = configurationRows({});
    // The VMs' rows, which change most, come last.
    auto first = message.changes.rows.end() - std::ptrdiff_t(rows);
    message.changes.rows = { first, message.changes.rows.end() };
    for (std::size_t i = 0; i < peers; ++i)
        message.known.push_back(peerInfo(i));
    return message;
}

double wireBytes(const Exchange& message)
{
    peer::wire::Exchange encoded;
    peer::toWire(message, encoded);
    return double(encoded.ByteSizeLong());
}

double codecMicroseconds(const Exchange& message)
{
    return processorNanoseconds([&] {
        peer::wire::Exchange encoded;
        peer::toWire(message, encoded);
        peer::wire::Exchange copy;
        copy.ParseFromString(encoded.SerializeAsString());
        (void)peer::fromWire(copy);
    }) / 1e3;
}

template <typename Sizes, typename Measure>
Slope slope(const char* name, const char* sizeUnit, const char* unit, bool isExact, const Sizes& sizes,
    Measure measure)
{
    Slope result { name, sizeUnit, unit, {}, isExact };
    for (auto size : sizes)
        result.points.push_back({ double(size), measure(size) });
    return result;
}

} // namespace

std::vector<Slope> messageSlopes()
{
    return { slope("exchange: message by configuration rows", "rows", "bytes", true, rowCounts,
                 [](std::size_t rows) { return wireBytes(exchange(rows, 0)); }),
        slope("exchange: encode and decode by rows", "rows", "us", false, rowCounts,
            [](std::size_t rows) { return codecMicroseconds(exchange(rows, 0)); }),
        slope("exchange: message by known processes", "processes", "bytes", true, peerCounts,
            [](std::size_t peers) { return wireBytes(exchange(0, peers)); }),
        slope("exchange: encode and decode by processes", "processes", "us", false, peerCounts,
            [](std::size_t peers) { return codecMicroseconds(exchange(0, peers)); }) };
}

} // namespace fulmar::bench
