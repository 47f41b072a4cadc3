#include "fleet/lease.h"

#include "config/field_reader.h"

#include <limits>

namespace fulmar::fleet {

std::string encode(const LeaseRecord& record)
{
    return nlohmann::json {
        { "holder", record.holder.value() },
        { "epoch", record.epoch },
        { "renewals", record.renewals },
    }
        .dump();
}

} // namespace fulmar::fleet

namespace fulmar {

template <> Result<fleet::LeaseRecord> decode(const std::string& text)
{
    constexpr auto maxInteger = std::numeric_limits<std::int64_t>::max();
    FieldReader reader(text);
    fleet::LeaseRecord record;
    reader.take("holder", record.holder);
    reader.takeInteger("epoch", record.epoch, 0, maxInteger);
    reader.takeInteger("renewals", record.renewals, 0, maxInteger);
    return reader.finish(std::move(record));
}

} // namespace fulmar
