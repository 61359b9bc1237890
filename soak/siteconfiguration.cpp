#include "siteconfiguration.h"

#include <nlohmann/json.hpp>

#include <array>

namespace almondmill::soak {

namespace {

using nlohmann::json;

constexpr std::array<RequestKind, 4> Kinds{RequestKind::NonIdempotent, RequestKind::Idempotent,
                                           RequestKind::Stream, RequestKind::ResumableStream};

constexpr int PlainTimeoutMs = 1500;
constexpr int StreamTimeoutMs = 6000;
constexpr int EngineMemoryTokens = 90000;
constexpr int BytesPerToken = 163840;

bool startsWith(const std::string &text, const std::string &prefix)
{
    return text.compare(0, prefix.size(), prefix) == 0;
}

json routeFor(const std::string &prefix, const std::string &service)
{
    return {{"name", "route-" + prefix},
            {"host", SoakHost},
            {"path_prefix", prefix},
            {"kind", "idempotent"},
            {"timeout_ms", PlainTimeoutMs},
            {"target_latency_ms", 150},
            {"priority", 2},
            {"service", service},
            {"max_attempts", 2},
            {"public", false},
            {"sticky", false}};
}

json routeOf(RequestKind kind, const std::string &plainService)
{
    json route = routeFor(prefixOf(kind), isStream(kind) ? EngineService : plainService);
    if (!isRetryable(kind))
        route["max_attempts"] = 1;
    if (kind == RequestKind::NonIdempotent)
        route["kind"] = "non_idempotent";
    if (isStream(kind)) {
        route["kind"] = "streaming";
        route["resumable"] = kind == RequestKind::ResumableStream;
        route["timeout_ms"] = StreamTimeoutMs;
        route["target_latency_ms"] = 600;
        route["gap_target_ms"] = 400;
        route["sticky"] = true;
    }
    return route;
}

json plainServiceOf(const std::string &name)
{
    return {{"name", name},
            {"health_path", "/health"},
            {"max_connections", 200},
            {"protocol", "h1"},
            {"tls", false}};
}

json engineService()
{
    json service = plainServiceOf(EngineService);
    service["engine"] = {{"slots", 12},
                         {"kv_capacity_tokens", EngineMemoryTokens},
                         {"token_kv_bytes", BytesPerToken},
                         {"link_mbps", 1100000.0},
                         {"moves", true},
                         {"backups", true},
                         {"stride", 1},
                         {"max_in_flight", 12},
                         {"pin_ms", 4000.0},
                         {"hold_ms", 2000.0},
                         {"handle_s", 5.0},
                         {"models", json::array({{{"name", ModelName}}})}};
    return service;
}

} // namespace

std::string prefixOf(RequestKind kind)
{
    switch (kind) {
    case RequestKind::NonIdempotent:
        return "/once/";
    case RequestKind::Idempotent:
        return "/any/";
    case RequestKind::Stream:
        return "/stream/";
    case RequestKind::ResumableStream:
        return "/resume/";
    }
    return "/";
}

bool isRetryable(RequestKind kind)
{
    return kind == RequestKind::Idempotent || kind == RequestKind::ResumableStream;
}

bool isStream(RequestKind kind)
{
    return kind == RequestKind::Stream || kind == RequestKind::ResumableStream;
}

std::optional<std::string> SiteConfiguration::serviceFor(const std::string &path) const
{
    for (const RequestKind kind : Kinds) {
        if (startsWith(path, prefixOf(kind)))
            return isStream(kind) ? std::string(EngineService) : plainService;
    }
    for (const std::string &prefix : extraPrefixes) {
        if (startsWith(path, prefix))
            return plainService;
    }
    return std::nullopt;
}

std::optional<std::string> SiteConfiguration::accountOf(const std::string &key) const
{
    if (key == IsolatedKey)
        return "walled";
    if (keys.contains(key))
        return "open";
    return std::nullopt;
}

std::string SiteConfiguration::encode() const
{
    json routes = json::array();
    for (const RequestKind kind : Kinds)
        routes.push_back(routeOf(kind, plainService));
    for (const std::string &prefix : extraPrefixes)
        routes.push_back(routeFor(prefix, plainService));
    const json accounts = json::array(
            {{{"name", "open"}, {"api_keys", keys}, {"priority", 2}, {"isolated", false}},
             {{"name", "walled"},
              {"api_keys", json::array({IsolatedKey})},
              {"priority", 1},
              {"isolated", true}}});
    return json{{"version", version},
                {"routes", routes},
                {"services",
                 json::array({plainServiceOf("desk"), plainServiceOf("annex"), engineService()})},
                {"limits",
                 {{"max_header_bytes", 16384},
                  {"max_body_bytes", 4194304},
                  {"header_timeout_ms", 3000},
                  {"idle_timeout_ms", 15000}}},
                {"tenants", accounts}}
            .dump();
}

} // namespace almondmill::soak
