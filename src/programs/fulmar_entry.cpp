#include "core/log.h"
#include "daemon/entry.h"
#include "io/program.h"

int main(int argc, char** argv)
{
    return fulmar::runDaemon("fulmar-entry", argc, argv, [](fulmar::SettingsReader& reader, bool checksOnly) {
        auto settings = fulmar::readEntrySettings(reader);
        return fulmar::runIfSettingsValid(reader, checksOnly, [&] {
            fulmar::initializeLog(settings.process.process.value());
            return fulmar::Entry(std::move(settings), fulmar::newIncarnation()).run();
        });
    });
}
