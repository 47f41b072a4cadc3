#include "node/node_settings.h"

#include "node/request_schedule.h"

namespace fulmar::node {

using namespace std::chrono_literals;

namespace {

std::chrono::milliseconds takeMillis(
    SettingsReader& reader, const std::string& section, const std::string& key, Duration fallback)
{
    return std::chrono::ceil<std::chrono::milliseconds>(reader.takeDuration(section, key, 1ms, 1h, fallback));
}

} // namespace

NodeSettings readNodeSettings(SettingsReader& reader)
{
    NodeSettings settings;
    settings.name = reader.takeString("process", "name");
    settings.zone = ZoneId(reader.takeString("process", "zone"));
    settings.callerAddress = reader.takeAddress("listen", "callers");
    settings.readinessAddress = reader.takeAddress("listen", "readiness");
    settings.peerAddress = reader.takeAddress("listen", "peers");
    settings.metricsAddress = reader.takeAddress("listen", "metrics");
    settings.storeAddress = reader.takeAddress("platform", "store");
    settings.vmsAddress = reader.takeAddress("platform", "vms", "");
    settings.maxRowBytes = std::size_t(reader.takeInteger(
        "platform", "max_row_bytes", 1'024, 1 << 24, std::int64_t(jobs::defaultMaxRowBytes)));
    settings.configApplyTime = std::chrono::ceil<std::chrono::milliseconds>(
        reader.takeDuration("platform", "config_apply_time", minNewsAge, 1h, 2s));
    settings.maxRunnerLease = takeMillis(reader, "runners", "max_lease", 6s);
    settings.stopGrace = takeMillis(reader, "process", "stop_grace", 6s);
    settings.moveTime = takeMillis(reader, "vms", "move_time", 1500ms);
    settings.maintenanceTime = takeMillis(reader, "vms", "maintenance_time", 2s);
    settings.keepFinished = takeMillis(reader, "jobs", "keep_finished", 2min);
    settings.maxDescriptors = reader.takeInteger("process", "max_descriptors", 64, 1 << 20, 1024);
    settings.processorShare = reader.takeNumber("process", "processor_share", 0.01, 1024, 1);
    return settings;
}

} // namespace fulmar::node
