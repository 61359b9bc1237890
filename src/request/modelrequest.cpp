#include "almondmill/request/modelrequest.h"

#include "almondmill/request/refusederror.h"

#include <nlohmann/json.hpp>

namespace almondmill {

namespace {

using Json = nlohmann::json;

/// Deeper nesting could exhaust the stack, because messages are serialized recursively.
constexpr int MaxNestingDepth = 32;

[[noreturn]] void refuse(const std::string &message)
{
    throw RefusedError({400, "invalid_request", message, Executed::No});
}

Json parseBounded(const std::string &body)
{
    const auto checkNesting = [](int depth, Json::parse_event_t /*event*/, Json & /*value*/) {
        if (depth > MaxNestingDepth)
            refuse("the body is nested too deep");
        return true;
    };
    return Json::parse(body, checkNesting, false);
}

std::string promptOf(const Json &json)
{
    if (json.contains("prompt")) {
        if (!json["prompt"].is_string())
            refuse("prompt must be a string");
        return json["prompt"];
    }
    if (!json.contains("messages") || !json["messages"].is_array())
        refuse("either prompt or messages must be there");
    std::string prompt;
    for (const Json &message : json["messages"]) {
        if (!message.is_object())
            refuse("messages must be objects");
        prompt += message.dump();
    }
    return prompt;
}

bool booleanOf(const Json &json, const char *key)
{
    if (!json.contains(key))
        return false;
    if (!json[key].is_boolean())
        refuse(std::string(key) + " must be true or false");
    return json[key];
}

bool isDeterministic(const Json &json)
{
    return json.contains("temperature") && json["temperature"].is_number()
           && json["temperature"].get<double>() == 0.0;
}

} // namespace

ModelRequest parseModelRequest(const std::string &body)
{
    const Json json = parseBounded(body);
    if (json.is_discarded())
        refuse("the body is not valid JSON");
    if (!json.is_object())
        refuse("the body must be a JSON object");
    if (!json.contains("model") || !json["model"].is_string())
        refuse("model must be a string");
    ModelRequest request;
    request.model = json["model"];
    request.prompt = promptOf(json);
    request.stream = booleanOf(json, "stream");
    request.deterministic = isDeterministic(json);
    return request;
}

} // namespace almondmill
