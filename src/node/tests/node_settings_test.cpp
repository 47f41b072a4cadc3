#include "node/node_settings.h"

#include "settings_template.h"

#include <boost/test/unit_test.hpp>
#include <fstream>
#include <iterator>
#include <map>
#include <set>

using namespace fulmar;
using namespace fulmar::node;
using namespace std::chrono_literals;

namespace {

using Fields = std::map<std::string, std::string>;

// What the platform renders for a field that a deployment lacks is the same as for one that is empty.
const std::vector<std::string> oddValues { "", "0", "0.0", "1.5", "0.0001", "-1", "1e9", "1e300",
    "99999999999999999999", "true", "nan", "inf" };
// A process can do nothing without them.
const std::set<std::string> requiredFields { "listen.front", "platform.address" };

std::string deployedTemplate()
{
    std::ifstream file(SETTINGS_TEMPLATE);
    return { std::istreambuf_iterator<char>(file), {} };
}

Fields usualFields()
{
    return { { "node-name", "front-zone-a-1" }, { "zone", "zone-a" }, { "bounds.grace-s", "6" },
        { "limits.max-fds", "4100" }, { "limits.memory-mb", "512" }, { "limits.cpu-share", "0.25" },
        { "listen.front", "10.1.0.9:8624" }, { "listen.ready", "10.1.0.9:8622" }, { "ip", "10.1.0.9" },
        { "port-range.0", "7060" }, { "platform.address", "10.200.1.7:8621" },
        { "cloud.address", "10.200.0.107:8621" }, { "bounds.config-apply-ms", "2000" },
        { "bounds.max-hold-ms", "10000" }, { "bounds.migrate-s", "1.5" }, { "bounds.maintenance-s", "2" },
        { "bounds.status_s", "120" } };
}

struct Read {
    NodeSettings settings;
    std::vector<SettingsError> errors;
    std::vector<SettingsError> substitutions;
};

Read read(const std::string& text)
{
    auto reader = SettingsReader::fromText(text, "node.ini");
    auto settings = readNodeSettings(reader);
    return { std::move(settings), reader.finish(), reader.substitutions() };
}

Read readWith(const Fields& fields)
{
    return read(
        test::renderSettings(deployedTemplate(), [&](const std::string& name) { return fields.at(name); }));
}

} // namespace

BOOST_AUTO_TEST_SUITE(node_settings)

BOOST_AUTO_TEST_CASE(TheTemplateGivesTheValuesOfThePlatform)
{
    auto [settings, errors, substitutions] = readWith(usualFields());
    BOOST_TEST(errors.empty());
    BOOST_TEST(substitutions.empty());
    BOOST_TEST(settings.name == "front-zone-a-1");
    BOOST_TEST(settings.peerAddress == "10.1.0.9:7060");
    BOOST_TEST(settings.metricsAddress == "10.1.0.9:9464");
    BOOST_TEST((settings.moveTime == 1500ms && settings.stopGrace == 6s && settings.maxRunnerLease == 10s));
    BOOST_TEST(settings.processorShare == 0.25);
    BOOST_TEST(settings.storeSubmissions);
    BOOST_TEST(!settings.isBurstForecastOn);
    BOOST_TEST(settings.maxMemory == std::size_t(512) << 20);
    BOOST_TEST(settings.callersMemory == std::size_t(64) << 20);
}

// Guards against a forecast that is off because its setting is misspelt.
BOOST_AUTO_TEST_CASE(TheBurstForecastIsOnOrOff)
{
    std::string required = "[listen]\ncallers = 127.0.0.1:1\n[platform]\nstore = 127.0.0.1:2\n[vms]\n";
    auto on = read(required + "forecast_bursts = on\n");
    BOOST_TEST((on.errors.empty() && on.settings.isBurstForecastOn));
    BOOST_TEST(read(required + "forecast_bursts = yes\n").errors.size() == 1U);
}

// Guards against processes that refuse to start where a deployment has no bound for moves.
BOOST_AUTO_TEST_CASE(AnOddFieldOfThePlatformKeepsNoProcessFromStarting)
{
    for (const auto& [field, usual] : usualFields())
        for (const auto& value : oddValues) {
            BOOST_TEST_CONTEXT(field << " = '" << value << "'")
            {
                auto fields = usualFields();
                fields[field] = value;
                auto [settings, errors, substitutions] = readWith(fields);
                if (requiredFields.contains(field)) {
                    BOOST_TEST(errors.size() == 1U);
                    BOOST_TEST((errors.empty() || errors[0].line > 0));
                    continue;
                }
                BOOST_TEST(errors.empty());
                BOOST_TEST((settings.maxRunnerLease >= 500ms && settings.maxRunnerLease <= 1min));
                BOOST_TEST((settings.configApplyTime >= 600ms && settings.configApplyTime <= 1h));
                for (auto time : { settings.stopGrace, settings.moveTime, settings.maintenanceTime,
                         settings.keepFinished })
                    BOOST_TEST((time >= 1ms && time <= 1h));
                BOOST_TEST(settings.maxDescriptors >= 64);
                // The least that a request within an operator's limits may cost.
                BOOST_TEST((settings.maxMemory >= 32U << 20 && settings.callersMemory >= 9U << 20));
                BOOST_TEST((settings.processorShare >= 0.01 && settings.processorShare <= 1024));
                BOOST_TEST(!settings.name.empty());
            }
        }
}

BOOST_AUTO_TEST_CASE(WithoutAnyOptionalFieldAProcessStillStarts)
{
    auto fields = usualFields();
    for (auto& [field, value] : fields)
        if (!requiredFields.contains(field))
            value.clear();
    auto [settings, errors, substitutions] = readWith(fields);
    BOOST_TEST(errors.empty());
    BOOST_TEST(substitutions.size() == fields.size() - requiredFields.size());
    BOOST_TEST(settings.readinessAddress.empty());
    BOOST_TEST(settings.vmsAddress.empty());
    BOOST_TEST(settings.peerAddress == "10.1.0.9:0");
    BOOST_TEST(settings.metricsAddress == "10.1.0.9:9464");
}

BOOST_AUTO_TEST_CASE(ASubstitutionTellsItsLineAndWhatIsUsed)
{
    auto fields = usualFields();
    fields["bounds.migrate-s"].clear();
    auto [settings, errors, substitutions] = readWith(fields);
    BOOST_REQUIRE(substitutions.size() == 1U);
    BOOST_TEST(substitutions[0].line > 0);
    BOOST_TEST(substitutions[0].message == "[vms] move_time: 's' is not usable; used instead: 1500000us");
}

BOOST_AUTO_TEST_CASE(SettingsOfAnOperatorStayStrict)
{
    auto rendered = test::renderSettings(
        deployedTemplate(), [](const std::string& name) { return usualFields().at(name); });
    BOOST_TEST(read(rendered + "\n[vms]\nmove_tme = 2s\n").errors.size() == 1U);
    BOOST_TEST(read(rendered + "\n[platform]\nmax_row_bytes = many\n").errors.size() == 1U);
    BOOST_TEST(read(rendered + "\nno key\n").errors.size() == 1U);
    BOOST_TEST(read("[callers]\nstore_submissions = yes\n").errors.size() == 3U);
    BOOST_TEST(!read("").settings.storeSubmissions);
}

BOOST_AUTO_TEST_SUITE_END()
