#include "settingstemplate.h"

#include "almondmill/kernel/error.h"

#include <absl/strings/str_replace.h>

#include <nlohmann/json.hpp>

namespace almondmill::soak {

namespace {

std::string valueOf(const std::string &name, const nlohmann::json &fields)
{
    const nlohmann::json::json_pointer pointer("/" + absl::StrReplaceAll(name, {{".", "/"}}));
    if (!fields.contains(pointer))
        throw Error("soak.101", "no value for placeholder '" + name + "' of the settings template");
    const nlohmann::json &value = fields.at(pointer);
    return value.is_string() ? value.get<std::string>() : value.dump();
}

} // namespace

std::string fillTemplate(const std::string &text, const nlohmann::json &fields)
{
    constexpr std::string_view Open = "{{";
    constexpr std::string_view Close = "}}";
    std::string filled;
    std::size_t done = 0;
    for (;;) {
        const auto open = text.find(Open, done);
        if (open == std::string::npos)
            return filled + text.substr(done);
        const auto close = text.find(Close, open);
        const auto name = open + Open.size();
        filled += text.substr(done, open - done) + valueOf(text.substr(name, close - name), fields);
        done = close + Close.size();
    }
}

} // namespace almondmill::soak
