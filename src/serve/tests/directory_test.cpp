#include "serve/directory.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

using namespace fulmar;
using namespace fulmar::serve;

namespace {

// Reference implementation: decodes all rows on each call.
std::map<ServiceId, std::vector<Target>> decodeAll(const std::map<std::string, Row>& rows)
{
    std::map<ServiceId, std::vector<Target>> services;
    for (const auto& [key, row] : rows) {
        auto config = decode<ServiceConfig>(row.value);
        if (row.deleted || !key.starts_with(keys::servicePrefix) || !config)
            continue;
        auto& targets = services[config->service];
        for (const auto& [vmKey, vmRow] : rows) {
            auto record = decode<VmRecord>(vmRow.value);
            if (vmRow.deleted || !vmKey.starts_with(keys::vmPrefix) || !record)
                continue;
            if (record->pool == config->pool)
                targets.push_back({ record->vm, record->address, record->zone, record->rack,
                    record->state == VmState::Serving, record->epoch });
        }
    }
    return services;
}

Row drawRow()
{
    auto id = std::to_string(*rc::gen::inRange(0, 4));
    bool deleted = *rc::gen::inRange(0, 5) == 0;
    PoolId pool("p" + std::to_string(*rc::gen::inRange(0, 3)));
    if (*rc::gen::inRange(0, 3) == 0) {
        ServiceConfig config;
        config.service = ServiceId("s" + id);
        config.pool = pool;
        return { std::string(keys::servicePrefix) + "s" + id, encode(config), 1, {}, deleted };
    }
    VmRecord record;
    record.vm = VmId("v" + id);
    record.pool = pool;
    record.address = "127.0.0.1:80";
    record.zone = ZoneId("a");
    record.region = RegionId("n");
    record.rack = RackId("r");
    record.state = *rc::gen::inRange(0, 2) == 0 ? VmState::Serving : VmState::Leaving;
    record.epoch = Epoch(*rc::gen::inRange(1, 9));
    return { std::string(keys::vmPrefix) + "v" + id, encode(record), 1, {}, deleted };
}

} // namespace

BOOST_AUTO_TEST_SUITE(Directory)

RC_BOOST_PROP(AppliedChangesMatchAFullDecode, ())
{
    DirectoryBuilder builder;
    std::map<std::string, Row> rows;
    std::map<ServiceId, std::vector<Target>> services;
    auto steps = *rc::gen::inRange(1, 60);
    for (int i = 0; i < steps; ++i) {
        auto row = drawRow();
        rows[row.key] = row;
        builder.apply(row);
        if (*rc::gen::inRange(0, 3) != 0)
            continue;
        auto change = builder.takeChange();
        for (const auto& id : change.removed)
            services.erase(id);
        for (const auto& entry : change.changed)
            services[entry.config.service] = entry.targets;
        RC_ASSERT(services == decodeAll(rows));
    }
    RC_ASSERT(builder.undecodedRows() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
