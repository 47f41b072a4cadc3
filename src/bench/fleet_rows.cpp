#include "bench/fleet_rows.h"

#include <fmt/format.h>

namespace fulmar::bench {

namespace {

constexpr std::size_t zones = 10;
constexpr std::size_t vmsPerRack = 4;
constexpr std::chrono::hours fleetAge { 24 * 20'000 };

void add(Changes& changes, std::string key, std::string value)
{
    ++changes.tableVersion;
    OperationId operation(fmt::format("c{:016x}", changes.tableVersion));
    changes.rows.push_back(
        { std::move(key), std::move(value), changes.tableVersion, std::move(operation), false });
}

} // namespace

VmRecord vmRecord(std::size_t number, const FleetShape& shape)
{
    VmRecord vm;
    vm.vm = VmId(fmt::format("vm-{:05}", number));
    vm.pool = PoolId(fmt::format("pool-{:03}", number % shape.pools()));
    vm.address = fmt::format("10.{}.{}.{}:8080", number >> 16, (number >> 8) & 255, number & 255);
    vm.zone = ZoneId(fmt::format("zone-{}", number / vmsPerRack % zones));
    vm.region = RegionId(fmt::format("region-{}", number / vmsPerRack % zones % 3));
    vm.rack = RackId(fmt::format("rack-{:04}", number / vmsPerRack));
    vm.epoch = 7;
    vm.cause = "wave w-c0123456789abcdef is done";
    vm.since = WallTime(fleetAge);
    vm.lastMaintained = WallTime(fleetAge + std::chrono::minutes(number));
    return vm;
}

Changes configurationRows(const FleetShape& shape)
{
    Changes changes;
    for (std::size_t i = 0; i < shape.pools(); ++i) {
        PoolConfig pool { PoolId(fmt::format("pool-{:03}", i)), 0.1, 0.1, 0.1, i == 0 };
        ServiceConfig service;
        service.service = ServiceId(fmt::format("service-{:03}", i));
        service.pool = pool.pool;
        add(changes, keys::poolPrefix + pool.pool.value(), encode(pool));
        add(changes, keys::servicePrefix + service.service.value(), encode(service));
    }
    for (std::size_t i = 0; i < shape.teams(); ++i) {
        TeamConfig team { TeamId(fmt::format("team-{:03}", i)), 40, 65'536, 2 };
        add(changes, keys::teamPrefix + team.team.value(), encode(team));
    }
    for (std::size_t i = 0; i < shape.vms; ++i) {
        auto vm = vmRecord(i, shape);
        add(changes, keys::vmPrefix + vm.vm.value(), encode(vm));
    }
    return changes;
}

} // namespace fulmar::bench
