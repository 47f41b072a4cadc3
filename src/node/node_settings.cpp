#include "node/node_settings.h"

#include "core/address.h"
#include "node/request_schedule.h"

#include <algorithm>

namespace fulmar::node {

using namespace std::chrono_literals;

namespace {

constexpr std::uint16_t defaultMetricsPort = 9464;
// The system chooses a port.
constexpr std::uint16_t anyPort = 0;
// Longest lease that is asked for, even if runners grant longer ones: the tasks of a silent runner are
// started elsewhere only after their lease.
constexpr std::chrono::milliseconds maxAskedLease { 60'000 };
// A runner shortens a lease that is longer than it grants, so that asking for this one does no harm.
constexpr std::chrono::milliseconds minAskedLease { 500 };

constexpr std::size_t megabyte = 1024 * 1024;
// Memory of the smallest machine.
constexpr std::size_t defaultMemoryMb = 160;
// What a process needs besides its callers' requests: 24 MB at rest, the shards that it holds, gRPC.
constexpr std::size_t ownMemory = 48 * megabyte;
// Part of the rest for what callers send. The kernel's buffers of callers' connections have as much, and
// half is left to the allocator's fragments and to growth of the process's own state.
constexpr std::size_t callersMemoryDivisor = 4;
// A request within the limits of an operator, of 256 KB in chunks of one byte, costs 8.5 MB.
constexpr std::size_t minCallersMemory = 10 * megabyte;
constexpr std::size_t maxCallersMemory = 64 * megabyte;

std::size_t defaultCallersMemory(std::size_t maxMemory)
{
    auto rest = maxMemory > ownMemory ? maxMemory - ownMemory : 0;
    return std::clamp(rest / callersMemoryDivisor, minCallersMemory, maxCallersMemory);
}

std::chrono::milliseconds takeMillis(SettingsReader& reader, const std::string& section,
    const std::string& key, std::chrono::milliseconds low, std::chrono::milliseconds high,
    std::chrono::milliseconds fallback)
{
    return std::chrono::ceil<std::chrono::milliseconds>(
        reader.takeDurationOrNearest(section, key, low, high, fallback));
}

} // namespace

NodeSettings readNodeSettings(SettingsReader& reader)
{
    NodeSettings settings;
    settings.callerAddress = reader.takeAddress("listen", "callers");
    settings.storeAddress = reader.takeAddress("platform", "store");
    settings.maxRowBytes = std::size_t(reader.takeInteger(
        "platform", "max_row_bytes", 1'024, 1 << 24, std::int64_t(jobs::defaultMaxRowBytes)));

    settings.storeSubmissions = reader.takeSwitch("callers", "store_submissions", false);

    // The platform fills in the others, and may have no value for some.
    std::string host(splitAddress(settings.callerAddress).first);
    settings.name = reader.takeStringOrFallback("process", "name", settings.callerAddress);
    settings.zone = ZoneId(reader.takeStringOrFallback("process", "zone", {}));
    settings.readinessAddress = reader.takeAddressIfAny("listen", "readiness");
    settings.peerAddress = reader.takeAddressWith("listen", "peers", host, anyPort);
    settings.metricsAddress = reader.takeAddressWith("listen", "metrics", host, defaultMetricsPort);
    settings.vmsAddress = reader.takeAddressIfAny("platform", "vms");
    settings.configApplyTime = takeMillis(reader, "platform", "config_apply_time", minNewsAge, 1h, 2s);
    settings.maxRunnerLease = takeMillis(reader, "runners", "max_lease", minAskedLease, maxAskedLease, 6s);
    settings.stopGrace = takeMillis(reader, "process", "stop_grace", 1ms, 1h, 6s);
    settings.moveTime = takeMillis(reader, "vms", "move_time", 1ms, 1h, 1500ms);
    settings.maintenanceTime = takeMillis(reader, "vms", "maintenance_time", 1ms, 1h, 2s);
    settings.isBurstForecastOn = reader.takeSwitch("vms", "forecast_bursts", false);
    settings.keepFinished = takeMillis(reader, "jobs", "keep_finished", 1ms, 1h, 2min);
    settings.maxDescriptors = reader.takeIntegerOrNearest("process", "max_descriptors", 64, 1 << 20, 1'024);
    settings.maxMemory = reader.takeBytesOrNearest(
        "process", "max_memory", 32 * megabyte, 1024 * 1024 * megabyte, defaultMemoryMb * megabyte);
    settings.callersMemory = reader.takeBytesOrNearest("process", "callers_memory", megabyte,
        1024 * 1024 * megabyte, defaultCallersMemory(settings.maxMemory));
    settings.processorShare = reader.takeNumberOrNearest("process", "processor_share", 0.01, 1024, 1);
    return settings;
}

} // namespace fulmar::node
