#include "config/version_eras.h"

#include <algorithm>
#include <cassert>
#include <nlohmann/json.hpp>

namespace fulmar {

namespace {

using Json = nlohmann::json;

Json toJson(const std::vector<VersionEra>& versionEras)
{
    auto list = Json::array();
    for (const auto& era : versionEras)
        list.push_back({ { "from", era.from }, { "offset", era.offset } });
    return list;
}

} // namespace

VersionEras VersionEras::fromRow(const Row& row)
{
    VersionEras eras;
    eras.m_eraRowVersion = row.deleted ? 0 : row.version;
    auto value = Json::parse(row.value, nullptr, false);
    if (eras.m_eraRowVersion == 0 || !value.is_object())
        return eras;
    for (const auto& era : value.value("spans", Json::array()))
        eras.m_eras.push_back({ era.value("from", Version(0)), era.value("offset", Version(0)) });
    // The newest era starts with the row itself.
    eras.m_eras.push_back({ row.version, value.value("offset", Version(0)) });
    return eras;
}

Version VersionEras::configVersion(Version tableVersion) const
{
    auto era = std::find_if(
        m_eras.rbegin(), m_eras.rend(), [&](const VersionEra& each) { return tableVersion >= each.from; });
    return era == m_eras.rend() ? tableVersion : tableVersion + era->offset;
}

std::string VersionEras::encodeNextEra(Version tableVersion, Version minConfigVersion) const
{
    assert(minConfigVersion >= configVersion(tableVersion));
    return Json { { "spans", toJson(m_eras) }, { "offset", minConfigVersion - tableVersion } }.dump();
}

} // namespace fulmar
