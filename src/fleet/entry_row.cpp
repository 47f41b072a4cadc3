#include "fleet/entry_row.h"

#include "config/field_reader.h"

namespace fulmar::fleet {

std::string entryKey(const ProcessId& process) { return keys::entryPrefix + process.value(); }

std::string encode(const EntryRecord& record)
{
    return nlohmann::json {
        { "process", record.process.value() },
        { "vm", record.vm.value() },
        { "address", record.address },
        { "region", record.region.value() },
        { "zone", record.zone.value() },
        { "incarnation", record.incarnation },
        { "replaces", record.replaces },
        { "listed", record.listed },
    }
        .dump();
}

} // namespace fulmar::fleet

namespace fulmar {

template <> Result<fleet::EntryRecord> decode(const std::string& text)
{
    FieldReader reader(text);
    fleet::EntryRecord record;
    reader.take("process", record.process);
    reader.take("vm", record.vm);
    reader.take("address", record.address, true);
    reader.take("region", record.region, false);
    reader.take("zone", record.zone);
    reader.take("incarnation", record.incarnation, true);
    reader.take("replaces", record.replaces);
    reader.take("listed", record.listed);
    return reader.finish(std::move(record));
}

} // namespace fulmar
