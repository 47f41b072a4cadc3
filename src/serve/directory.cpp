#include "serve/directory.h"

namespace fulmar::serve {

namespace {

// Decodes the live rows under `prefix`, in key order.
template <typename T>
std::vector<T> decodeRows(const std::map<std::string, Row>& rows, const std::string& prefix)
{
    std::vector<T> records;
    for (auto position = rows.lower_bound(prefix); position != rows.end(); ++position) {
        const auto& [key, row] = *position;
        if (!key.starts_with(prefix))
            break;
        if (row.deleted)
            continue;
        if (auto record = decode<T>(row.value))
            records.push_back(std::move(*record));
    }
    return records;
}

} // namespace

ServiceDirectory buildDirectory(const std::map<std::string, Row>& rows)
{
    std::map<PoolId, std::vector<Target>> pools;
    for (auto& record : decodeRows<VmRecord>(rows, keys::vmPrefix))
        pools[record.pool].push_back({ record.vm, record.address, record.zone, record.rack,
            record.state == VmState::Serving, record.epoch });

    ServiceDirectory directory;
    for (auto& config : decodeRows<ServiceConfig>(rows, keys::servicePrefix)) {
        auto service = config.service;
        auto targets = pools[config.pool];
        directory.services.emplace(service, ServiceEntry { std::move(config), std::move(targets) });
    }
    return directory;
}

} // namespace fulmar::serve
