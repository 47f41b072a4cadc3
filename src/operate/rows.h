#pragma once

#include "config/model.h"
#include "platform/table.h"

#include <map>
#include <optional>
#include <string>

namespace fulmar::operate {

// Calls `visit(row, value)` for each row under the prefix that is not deleted and decodes as T.
template <typename T, typename Visit>
void forEachRow(const std::map<std::string, Row>& rows, const std::string& prefix, Visit visit)
{
    for (auto position = rows.lower_bound(prefix); position != rows.end(); ++position) {
        const auto& row = position->second;
        if (!row.key.starts_with(prefix))
            break;
        if (row.deleted)
            continue;
        if (auto value = decode<T>(row.value))
            visit(row, *value);
    }
}

// The row, or null if there is none or it is deleted.
[[nodiscard]] inline const Row* findRow(const std::map<std::string, Row>& rows, const std::string& key)
{
    auto position = rows.find(key);
    return position == rows.end() || position->second.deleted ? nullptr : &position->second;
}

// The decoded row, or empty if there is none or it does not decode.
template <typename T>
[[nodiscard]] std::optional<T> findValue(const std::map<std::string, Row>& rows, const std::string& key)
{
    const auto* row = findRow(rows, key);
    if (!row)
        return std::nullopt;
    auto value = decode<T>(row->value);
    return value ? std::optional<T>(std::move(*value)) : std::nullopt;
}

} // namespace fulmar::operate
