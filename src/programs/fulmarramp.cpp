#include "core/log.h"
#include "io/program.h"
#include "node/config_command.h"
#include "node/node.h"

#include <cstdlib>
#include <iostream>

namespace {

void logSubstitutions(const fulmar::SettingsReader& reader)
{
    for (const auto& each : reader.substitutions())
        fulmar::logWarning(
            "setting-replaced", { { "line", std::to_string(each.line) }, { "detail", each.message } });
}

} // namespace

int main(int argc, char** argv)
{
    if (fulmar::node::isConfigCommand(argc, argv))
        return fulmar::node::runConfigCommand(argc, argv, std::cout);
    return fulmar::runDaemon("fulmarramp", argc, argv, [](fulmar::SettingsReader& reader, bool checksOnly) {
        auto settings = fulmar::node::readNodeSettings(reader);
        return fulmar::runIfSettingsValid(reader, checksOnly, [&] {
            fulmar::initializeLog(settings.name);
            logSubstitutions(reader);
            const auto& file = reader.file();
            auto reload = [&file]() -> std::optional<fulmar::node::NodeSettings> {
                auto again = fulmar::SettingsReader::fromFile(file);
                auto changed = fulmar::node::readNodeSettings(again);
                logSubstitutions(again);
                return again.finish().empty() ? std::optional(std::move(changed)) : std::nullopt;
            };
            fulmar::node::Node node(std::move(settings), fulmar::newIncarnation(), reload);
            auto result = node.run();
            fulmar::flushLog();
            // The destructor waits for calls of other processes, with callers still connected.
            if (result)
                std::_Exit(fulmar::exitOk);
            return result;
        });
    });
}
