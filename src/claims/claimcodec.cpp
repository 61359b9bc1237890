#include "almondmill/claims/claimcodec.h"

#include "almondmill/config/sha256.h"
#include "almondmill/kernel/error.h"

#include <absl/strings/escaping.h>
#include <nlohmann/json.hpp>

#include <array>
#include <utility>

namespace almondmill {

namespace {

using Json = nlohmann::json;

constexpr std::array<std::pair<ClaimState, const char *>, 4> StateNames{{
        {ClaimState::Sending, "sending"},
        {ClaimState::Released, "released"},
        {ClaimState::Unknown, "unknown"},
        {ClaimState::Done, "done"},
}};

const char *stateName(ClaimState state)
{
    for (const auto &[known, name] : StateNames) {
        if (known == state)
            return name;
    }
    return "unknown";
}

ClaimState parseState(const std::string &text)
{
    for (const auto &[state, name] : StateNames) {
        if (text == name)
            return state;
    }
    throw Error("claims.101", "claim has unknown state '" + text
                                      + "'; expected sending, released, unknown or done");
}

/// Appends `field` with its length as prefix, so that different lists of fields give different
/// texts.
void appendField(std::string &text, std::string_view field)
{
    text += std::to_string(field.size());
    text += ':';
    text += field;
}

std::int64_t toMilliseconds(WallTime time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch()).count();
}

std::string toBase64(const std::string &bytes)
{
    std::string text;
    absl::Base64Escape(absl::string_view(bytes.data(), bytes.size()), &text);
    return text;
}

std::string fromBase64(const std::string &text)
{
    std::string bytes;
    if (!absl::Base64Unescape(absl::string_view(text.data(), text.size()), &bytes))
        throw Error("claims.101", "stored answer body of a claim is not valid base64");
    return bytes;
}

Json encodeHeaders(const std::vector<HttpHeader> &headers)
{
    Json list = Json::array();
    for (const HttpHeader &header : headers)
        list.push_back({{"name", header.name}, {"value", header.value}});
    return list;
}

Json encodeAnswer(const StoredAnswer &answer)
{
    return {{"status", answer.status},       {"content_type", answer.contentType},
            {"endpoint", answer.endpoint},   {"headers", encodeHeaders(answer.headers)},
            {"body", toBase64(answer.body)}, {"body_kept", answer.bodyKept}};
}

StoredAnswer decodeAnswer(const Json &json)
{
    StoredAnswer answer;
    answer.status = json.at("status");
    answer.contentType = json.at("content_type");
    answer.endpoint = json.at("endpoint");
    for (const Json &header : json.at("headers"))
        answer.headers.push_back({header.at("name"), header.at("value")});
    answer.body = fromBase64(json.at("body"));
    answer.bodyKept = json.at("body_kept");
    return answer;
}

std::string toJsonText(const Claim &claim)
{
    Json json{{"id", claim.id},
              {"fingerprint", claim.fingerprint},
              {"holder", claim.holder},
              {"incarnation", claim.incarnation},
              {"created_ms", toMilliseconds(claim.created)},
              {"state", stateName(claim.state)}};
    if (claim.answer)
        json["answer"] = encodeAnswer(*claim.answer);
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

} // namespace

std::string claimName(std::string_view clientAccount, std::string_view key)
{
    std::string scope;
    appendField(scope, clientAccount);
    appendField(scope, key);
    return ClaimPrefix + sha256Hex(scope);
}

std::string callFingerprint(std::string_view method, std::string_view target, std::string_view body)
{
    std::string call;
    appendField(call, method);
    appendField(call, target);
    appendField(call, body);
    return sha256Hex(call);
}

std::string encodeClaim(const Claim &claim)
{
    // Base64 encodes three bytes as four. This estimate avoids encoding a body that cannot fit.
    const std::size_t bodyBytes = claim.answer ? claim.answer->body.size() / 3 * 4 : 0;
    if (bodyBytes < MaxClaimBytes) {
        std::string text = toJsonText(claim);
        if (text.size() <= MaxClaimBytes)
            return text;
    }
    Claim shortened = claim;
    shortened.answer->headers.clear();
    shortened.answer->body.clear();
    shortened.answer->bodyKept = false;
    return toJsonText(shortened);
}

Claim decodeClaim(const std::string &text)
{
    try {
        const Json json = Json::parse(text);
        Claim claim;
        claim.id = json.at("id");
        claim.fingerprint = json.at("fingerprint");
        claim.holder = json.at("holder");
        claim.incarnation = json.at("incarnation");
        claim.created = WallTime(std::chrono::milliseconds(json.at("created_ms")));
        claim.state = parseState(json.at("state"));
        if (json.contains("answer"))
            claim.answer = decodeAnswer(json.at("answer"));
        if (claim.state == ClaimState::Done && !claim.answer)
            throw Error("claims.101", "claim has state 'done' but no stored answer");
        return claim;
    } catch (const Json::exception &error) {
        throw Error("claims.101", std::string("cannot parse claim: ") + error.what());
    }
}

} // namespace almondmill
