#include "node/config_command.h"

#include "jobs/config_check.h"
#include "platform/decode.h"

#include <algorithm>
#include <cxxopts.hpp>
#include <fstream>
#include <ostream>
#include <sstream>

namespace fulmar::node {

namespace {

constexpr int exitNoErrors = 0;
constexpr int exitErrors = 1;
constexpr int exitUnreadable = 2;
constexpr std::string_view checkOption = "--check-config";

Result<jobs::FleetConfig> readConfig(const std::string& path)
{
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    if (!file)
        return notRun(Reason::BadInput, "cannot be read");
    return platform::decodeConfig(text.str());
}

int check(const std::string& path, const std::string& againstPath, std::ostream& out)
{
    auto config = readConfig(path);
    if (!config) {
        out << "error: " << path << ": " << config.error().detail << '\n';
        return exitUnreadable;
    }
    auto findings = jobs::checkConfig(*config);
    if (!againstPath.empty()) {
        auto inForce = readConfig(againstPath);
        if (!inForce) {
            out << "error: " << againstPath << ": " << inForce.error().detail << '\n';
            return exitUnreadable;
        }
        auto changes = jobs::compareConfigs(*inForce, *config);
        findings.insert(findings.end(), changes.begin(), changes.end());
    }
    for (const auto& [kind, text] : findings)
        out << jobs::toString(kind) << ": " << text << '\n';
    auto hasErrors = std::any_of(findings.begin(), findings.end(),
        [](const auto& finding) { return finding.kind == jobs::FindingKind::Error; });
    return hasErrors ? exitErrors : exitNoErrors;
}

} // namespace

bool isConfigCommand(int argc, const char* const* argv)
{
    return std::any_of(
        argv, argv + argc, [](std::string_view word) { return word.starts_with(checkOption); });
}

int runConfigCommand(int argc, const char* const* argv, std::ostream& out)
{
    cxxopts::Options options("fulmarramp", "Checks a configuration before it is sent.");
    options.add_options()("check-config", "the configuration to send", cxxopts::value<std::string>(), "FILE")(
        "against", "the configuration in force", cxxopts::value<std::string>()->default_value(""), "FILE");
    try {
        auto parsed = options.parse(argc, argv);
        return check(parsed["check-config"].as<std::string>(), parsed["against"].as<std::string>(), out);
    } catch (const cxxopts::exceptions::exception& error) {
        out << "error: " << error.what() << '\n';
        return exitUnreadable;
    }
}

} // namespace fulmar::node
