#pragma once

#include "core/types.h"
#include "core/verdict.h"

#include <algorithm>
#include <array>
#include <fmt/format.h>
#include <fmt/ranges.h>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace fulmar {

// Reads typed fields of a JSON object and collects all errors, including unknown fields.
class FieldReader {
public:
    explicit FieldReader(const std::string& text)
        : m_object(nlohmann::json::parse(text, nullptr, false))
    {
        if (!m_object.is_object())
            m_problems.emplace_back("not a JSON object");
    }

    void take(const char* name, std::string& field, bool required = false)
    {
        if (const auto* value = find(name, required); value && expect(name, value->is_string(), "a string"))
            field = value->get<std::string>();
    }

    template <typename Tag> void take(const char* name, Id<Tag>& field, bool required = true)
    {
        std::string text;
        take(name, text, required);
        if (required && text.empty())
            m_problems.push_back(fmt::format("{} must not be empty", name));
        field = Id<Tag>(std::move(text));
    }

    void take(const char* name, bool& field)
    {
        if (const auto* value = find(name, false);
            value && expect(name, value->is_boolean(), "true or false"))
            field = value->get<bool>();
    }

    void take(const char* name, std::vector<std::string>& field)
    {
        const auto* value = find(name, false);
        if (!value || !expect(name, value->is_array(), "a list of strings"))
            return;
        for (const auto& item : *value)
            if (expect(name, item.is_string(), "a list of strings"))
                field.push_back(item.get<std::string>());
    }

    void take(const char* name, double& field, double low, double high)
    {
        const auto* value = find(name, false);
        if (!value || !expect(name, value->is_number(), "a number"))
            return;
        auto number = value->get<double>();
        if (expect(name, number >= low && number <= high, fmt::format("from {} to {}", low, high)))
            field = number;
    }

    template <typename Integer>
    void takeInteger(const char* name, Integer& field, std::int64_t low, std::int64_t high)
    {
        const auto* value = find(name, false);
        if (!value || !expect(name, value->is_number_integer(), "a whole number"))
            return;
        auto number = value->get<std::int64_t>();
        if (expect(name, number >= low && number <= high, fmt::format("from {} to {}", low, high)))
            field = Integer(number);
    }

    // The field must equal toString() of one of the values.
    template <typename Enum, std::size_t count>
    void takeEnum(const char* name, Enum& field, const std::array<Enum, count>& values)
    {
        std::string text;
        take(name, text, true);
        const auto* value
            = std::find_if(values.begin(), values.end(), [&](Enum each) { return toString(each) == text; });
        std::vector<std::string_view> allowed;
        allowed.reserve(count);
        for (auto each : values)
            allowed.push_back(toString(each));
        if (expect(name, value != values.end(), fmt::format("one of {}", fmt::join(allowed, ", "))))
            field = *value;
    }

    template <typename T> Result<T> finish(T value)
    {
        if (m_object.is_object())
            for (const auto& [name, ignored] : m_object.items())
                if (!m_known.contains(name))
                    m_problems.push_back(fmt::format("{} is not a known field", name));
        if (!m_problems.empty())
            return notRun(Reason::BadInput, fmt::format("{}", fmt::join(m_problems, "; ")));
        return value;
    }

private:
    const nlohmann::json* find(const char* name, bool required)
    {
        m_known.insert(name);
        if (m_object.is_object())
            if (auto position = m_object.find(name); position != m_object.end())
                return &*position;
        if (required)
            m_problems.push_back(fmt::format("{} is missing", name));
        return nullptr;
    }

    bool expect(const char* name, bool holds, const std::string& expectation)
    {
        if (!holds)
            m_problems.push_back(fmt::format("{} must be {}", name, expectation));
        return holds;
    }

    nlohmann::json m_object;
    std::set<std::string> m_known;
    std::vector<std::string> m_problems;
};

} // namespace fulmar
