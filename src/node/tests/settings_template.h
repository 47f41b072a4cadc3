#pragma once

#include <string>

namespace fulmar::node::test {

// Renders a template as the platform does: `valueOf` is called with the name of each placeholder.
template <typename ValueOf> std::string renderSettings(std::string text, ValueOf valueOf)
{
    for (std::size_t begin = 0; (begin = text.find("{{", begin)) != std::string::npos;) {
        auto end = text.find("}}", begin);
        std::string value = valueOf(text.substr(begin + 2, end - begin - 2));
        text.replace(begin, end + 2 - begin, value);
        begin += value.size();
    }
    return text;
}

} // namespace fulmar::node::test
