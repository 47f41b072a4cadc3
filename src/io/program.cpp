#include "io/program.h"

#include "core/crash_log.h"

#include <chrono>
#include <csignal>
#include <cstdlib>
#include <curl/curl.h>
#include <cxxopts.hpp>
#include <iostream>

namespace fulmar {

namespace {

// The platform passes the path of the settings file in this environment variable.
constexpr auto settingsVariable = "FULMARRAMP_CONFIG";

} // namespace

int runDaemon(
    const std::string& name, int argc, char** argv, const std::function<int(SettingsReader&, bool)>& body)
{
    cxxopts::Options options(name, "A process of the fleet capacity and maintenance manager.");
    options.add_options()("settings", "INI file with the settings", cxxopts::value<std::string>(), "FILE")(
        "check-settings", "check the settings, report every problem and exit")("help", "show this help");
    try {
        auto parsed = options.parse(argc, argv);
        if (parsed.count("help")) {
            std::cout << options.help();
            return exitOk;
        }
        const char* fromEnvironment = std::getenv(settingsVariable);
        if (!parsed.count("settings") && !fromEnvironment) {
            std::cerr << name << ": --settings is missing, and " << settingsVariable << " is not set\n";
            return exitBadSettings;
        }
        auto file = parsed.count("settings") ? parsed["settings"].as<std::string>() : fromEnvironment;
        installCrashLog(name);
        // Writing to a connection that the peer closed must fail with an error, not kill the process.
        std::signal(SIGPIPE, SIG_IGN);
        curl_global_init(CURL_GLOBAL_DEFAULT);
        auto reader = SettingsReader::fromFile(file);
        return body(reader, parsed.count("check-settings") > 0);
    } catch (const cxxopts::exceptions::exception& error) {
        std::cerr << name << ": " << error.what() << '\n';
        return exitBadSettings;
    } catch (const std::exception& error) {
        std::cerr << name << ": ends by an error: " << error.what() << '\n';
        return exitFailed;
    }
}

int runIfSettingsValid(SettingsReader& reader, bool checksOnly, const std::function<Result<void>()>& run)
{
    auto errors = reader.finish();
    for (const auto& error : errors)
        std::cerr << formatSettingsError(error) << '\n';
    if (!errors.empty())
        return exitBadSettings;
    if (checksOnly) {
        for (const auto& substitution : reader.substitutions())
            std::cerr << formatSettingsError(substitution) << '\n';
        return exitOk;
    }
    if (auto result = run(); !result) {
        std::cerr << result.error().detail << '\n';
        return exitFailed;
    }
    return exitOk;
}

std::uint64_t newIncarnation()
{
    auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::uint64_t(std::chrono::duration_cast<std::chrono::microseconds>(now).count());
}

} // namespace fulmar
