#pragma once

#include "core/clock.h"
#include "operate/language.h"

#include <cstdint>
#include <string>
#include <vector>

namespace fulmar::operate {

// A word of a statement and where it began.
struct Word {
    std::string text;
    std::size_t column { 1 };
};

struct Assignment {
    Word field;
    Word value;
};

// Takes typed values out of "field = value" pairs. The first problem is kept; it names the column.
class AssignmentReader {
public:
    explicit AssignmentReader(std::vector<Assignment> assignments)
        : m_assignments(std::move(assignments))
    {
    }

    void take(const char* name, std::optional<std::uint32_t>& value);
    void take(const char* name, std::optional<double>& value);
    void take(const char* name, std::optional<bool>& value);
    template <typename Tag> void take(const char* name, std::optional<Id<Tag>>& value)
    {
        if (const auto* word = find(name))
            value = Id<Tag>(word->text);
    }
    // A share, as 0.1 or 10%.
    void takeShare(const char* name, std::optional<double>& value);
    // A size with its unit, as 512MB or 64GB.
    void takeMemory(const char* name, std::optional<std::uint64_t>& megabytes);
    void takeDuration(const char* name, std::optional<std::chrono::milliseconds>& value);

    // The first problem, unknown and repeated fields included.
    [[nodiscard]] std::optional<SyntaxError> finish() const;

private:
    const Word* find(const char* name);
    void expected(const Word&, std::string what);

    std::vector<Assignment> m_assignments;
    std::vector<std::string> m_known;
    std::optional<SyntaxError> m_error;
};

} // namespace fulmar::operate
