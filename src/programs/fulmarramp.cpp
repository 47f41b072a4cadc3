#include "core/log.h"
#include "io/program.h"
#include "node/node.h"

int main(int argc, char** argv)
{
    return fulmar::runDaemon("fulmarramp", argc, argv, [](fulmar::SettingsReader& reader, bool checksOnly) {
        auto settings = fulmar::node::readNodeSettings(reader);
        return fulmar::startChecked(reader, checksOnly, [&] {
            fulmar::initializeLog(settings.name);
            return fulmar::node::Node(std::move(settings), fulmar::newIncarnation()).run();
        });
    });
}
