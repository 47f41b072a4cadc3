#include "config/version_eras.h"

#include <algorithm>
#include <cassert>
#include <nlohmann/json.hpp>

namespace fulmar {

namespace {

using Json = nlohmann::json;

Json toJson(const std::vector<VersionEra>& spans)
{
    auto list = Json::array();
    for (const auto& span : spans)
        list.push_back({ { "from", span.from }, { "offset", span.offset } });
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
    for (const auto& span : value.value("spans", Json::array()))
        eras.m_eras.push_back({ span.value("from", Version(0)), span.value("offset", Version(0)) });
    // The newest span starts with the row itself.
    eras.m_eras.push_back({ row.version, value.value("offset", Version(0)) });
    return eras;
}

Version VersionEras::configVersion(Version tableVersion) const
{
    auto span = std::find_if(
        m_eras.rbegin(), m_eras.rend(), [&](const VersionEra& each) { return tableVersion >= each.from; });
    return span == m_eras.rend() ? tableVersion : tableVersion + span->offset;
}

std::string VersionEras::encodeNextEra(Version tableVersion, Version floor) const
{
    assert(floor >= configVersion(tableVersion));
    return Json { { "spans", toJson(m_eras) }, { "offset", floor - tableVersion } }.dump();
}

} // namespace fulmar
