#include "platform_server.h"

#include <cxxopts.hpp>
#include <fmt/format.h>

// The stand-in platform over HTTP, for demonstrations and measurements. Keeps everything in memory.
int main(int argc, char** argv)
{
    using namespace fulmar;
    cxxopts::Options options("standin_platform", "Stand-in of the platform's services, in memory.");
    options.add_options()("listen", "host:port", cxxopts::value<std::string>()->default_value("127.0.0.1:0"))(
        "list-lag-ms", "lag of the list of VMs", cxxopts::value<int>()->default_value("2000"))(
        "usage-lag-ms", "lag of usage reports", cxxopts::value<int>()->default_value("2000"))(
        "reboot-ms", "time that a reboot takes", cxxopts::value<int>()->default_value("3000"));
    try {
        const auto arguments = options.parse(argc, argv);
        standin::PlatformOptions platformOptions;
        platformOptions.listLag = std::chrono::milliseconds(arguments["list-lag-ms"].as<int>());
        platformOptions.usageLag = std::chrono::milliseconds(arguments["usage-lag-ms"].as<int>());
        platformOptions.rebootTime = std::chrono::milliseconds(arguments["reboot-ms"].as<int>());

        const SystemClock clock;
        standin::PlatformState state(platformOptions);
        standin::PlatformServer server(state);
        standin::HttpHost host;
        host.stopOnSignals();
        const auto port = host.listen(arguments["listen"].as<std::string>(),
            [&](const standin::HttpRequest& request) { return server.handle(clock.now(), request); });
        fmt::print("listening=127.0.0.1:{}\n", port);
        std::fflush(stdout);
        host.run();
    } catch (const std::exception& error) {
        fmt::print(stderr, "standin_platform: {}\n", error.what());
        return 1;
    }
    return 0;
}
