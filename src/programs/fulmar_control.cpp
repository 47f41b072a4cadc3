#include "core/log.h"
#include "daemon/control.h"
#include "io/program.h"

int main(int argc, char** argv)
{
    return fulmar::runDaemon(
        "fulmar-control", argc, argv, [](fulmar::SettingsReader& reader, bool checksOnly) {
            auto settings = fulmar::readControlSettings(reader);
            return fulmar::runIfSettingsValid(reader, checksOnly, [&] {
                fulmar::initializeLog(settings.process.process.value());
                return fulmar::Control(std::move(settings), fulmar::newIncarnation()).run();
            });
        });
}
