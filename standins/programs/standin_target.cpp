#include "target_server.h"

#include <cxxopts.hpp>
#include <fmt/format.h>

// Stand-in targets, one per port, for demonstrations and measurements.
int main(int argc, char** argv)
{
    using namespace fulmar;
    cxxopts::Options options("standin_target", "Stand-in targets, each on its own port.");
    options.add_options()("listen", "host:port of each target; port 0 takes a free one",
        cxxopts::value<std::vector<std::string>>())(
        "count", "targets on free ports, besides those listed", cxxopts::value<int>()->default_value("0"))(
        "name", "prefix of the targets' names", cxxopts::value<std::string>()->default_value("target"))(
        "slots", "calls that may run at once", cxxopts::value<int>()->default_value("8"))(
        "run-ms", "run time of calls without X-Run-Ms", cxxopts::value<int>()->default_value("5"));
    try {
        const auto arguments = options.parse(argc, argv);
        std::vector<std::string> addresses;
        if (arguments.count("listen") > 0)
            addresses = arguments["listen"].as<std::vector<std::string>>();
        addresses.resize(
            addresses.size() + static_cast<std::size_t>(arguments["count"].as<int>()), "127.0.0.1:0");

        const SystemClock clock;
        standin::HttpHost host;
        host.stopOnSignals();
        std::vector<std::unique_ptr<standin::TargetServer>> targets;
        for (const auto& address : addresses) {
            standin::TargetOptions targetOptions;
            targetOptions.name = fmt::format("{}-{}", arguments["name"].as<std::string>(), targets.size());
            targetOptions.slots = static_cast<std::uint32_t>(arguments["slots"].as<int>());
            targetOptions.defaultRunTime = std::chrono::milliseconds(arguments["run-ms"].as<int>());
            targets.push_back(std::make_unique<standin::TargetServer>(targetOptions));
            const auto port = host.listen(
                address, [&clock, target = targets.back().get()](const standin::HttpRequest& request) {
                    return target->handle(clock.wallNow(), request);
                });
            fmt::print("listening=127.0.0.1:{}\n", port);
        }
        std::fflush(stdout);
        host.run();
    } catch (const std::exception& error) {
        fmt::print(stderr, "standin_target: {}\n", error.what());
        return 1;
    }
    return 0;
}
