#include "generation.h"

#include <nlohmann/json.hpp>

namespace almondmill::standin {

std::string Generation::tokenText(std::uint32_t index) const
{
    char text[40];
    std::snprintf(text, sizeof text, "k%04x-%u ", static_cast<unsigned>(seed & 0xffffU), index);
    return text;
}

std::string Generation::event(std::uint32_t index) const
{
    std::string event = "id: " + std::to_string(index + 1) + "\n";
    if (index >= tokens)
        return event + "data: [DONE]\n\n";
    const nlohmann::json choice{{"index", 0}, {"text", tokenText(index)}};
    const nlohmann::json data{{"choices", nlohmann::json::array({choice})}};
    return event + "data: " + data.dump() + "\n\n";
}

std::string Generation::text() const
{
    std::string text;
    for (std::uint32_t index = 0; index < tokens; ++index)
        text += tokenText(index);
    return text;
}

} // namespace almondmill::standin
