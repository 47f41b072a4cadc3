#include "serve/directory.h"

#include <string>

namespace fulmar::serve {

namespace {

std::string afterPrefix(const std::string& key, const std::string& prefix)
{
    return key.substr(prefix.size());
}

} // namespace

void DirectoryBuilder::apply(const Row& row)
{
    if (row.key.starts_with(keys::servicePrefix))
        applyService(row);
    else if (row.key.starts_with(keys::vmPrefix))
        applyVm(row);
}

void DirectoryBuilder::applyService(const Row& row)
{
    ServiceId id(afterPrefix(row.key, keys::servicePrefix));
    auto known = m_services.find(id.value());
    if (row.deleted) {
        if (known == m_services.end())
            return;
        m_servicesOfPool[known->second.pool].erase(id);
        m_services.erase(known);
        m_changedServices.erase(id);
        m_removedServices.insert(id);
        return;
    }
    auto config = decode<ServiceConfig>(row.value);
    if (!config || config->service != id) {
        ++m_undecodedRows;
        return;
    }
    if (known != m_services.end())
        m_servicesOfPool[known->second.pool].erase(id);
    m_servicesOfPool[config->pool].insert(id);
    m_services.insert_or_assign(id.value(), std::move(*config));
    m_changedServices.insert(id);
    m_removedServices.erase(id);
}

void DirectoryBuilder::applyVm(const Row& row)
{
    VmId id(afterPrefix(row.key, keys::vmPrefix));
    if (row.deleted) {
        removeVm(id);
        return;
    }
    auto record = decode<VmRecord>(row.value);
    if (!record || record->vm != id) {
        ++m_undecodedRows;
        return;
    }
    if (auto pool = m_poolOfVm.find(id); pool != m_poolOfVm.end() && pool->second != record->pool)
        removeVm(id);
    Target target { record->vm, record->address, record->zone, record->rack,
        record->state == VmState::Serving, record->epoch };
    m_poolOfVm[id] = record->pool;
    m_pools[record->pool].insert_or_assign(id, std::move(target));
    m_changedPools.insert(record->pool);
}

void DirectoryBuilder::removeVm(const VmId& id)
{
    auto node = m_poolOfVm.extract(id);
    if (!node)
        return;
    m_pools[node.mapped()].erase(id);
    m_changedPools.insert(node.mapped());
}

DirectoryChange DirectoryBuilder::takeChange()
{
    for (const auto& pool : m_changedPools)
        if (auto services = m_servicesOfPool.find(pool); services != m_servicesOfPool.end())
            m_changedServices.insert(services->second.begin(), services->second.end());
    DirectoryChange change;
    for (const auto& id : m_changedServices)
        change.changed.push_back(entryOf(m_services.at(id.value())));
    change.removed.assign(m_removedServices.begin(), m_removedServices.end());
    m_changedPools.clear();
    m_changedServices.clear();
    m_removedServices.clear();
    return change;
}

ServiceEntry DirectoryBuilder::entryOf(const ServiceConfig& config) const
{
    ServiceEntry entry { config, {} };
    if (auto pool = m_pools.find(config.pool); pool != m_pools.end())
        for (const auto& [vm, target] : pool->second)
            entry.targets.push_back(target);
    return entry;
}

} // namespace fulmar::serve
