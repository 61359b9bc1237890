#include "almondmill/store/httpplatform.h"

#include "almondmill/http/boundedclient.h"
#include "almondmill/http/percentencoding.h"
#include "almondmill/kernel/jsonsanitizer.h"
#include "almondmill/kernel/node.h"
#include "almondmill/metrics/metrics.h"
#include "almondmill/observe/eventline.h"
#include "almondmill/store/circuitbreakerplatform.h"

#include <nlohmann/json.hpp>

#include <memory>
#include <optional>
#include <utility>

namespace almondmill {

namespace {

using Json = nlohmann::json;

constexpr const char *VersionHeader = "Object-Version";
constexpr const char *JsonType = "application/json";
constexpr const char *BytesType = "application/octet-stream";

/// Time beyond the requested wait that the platform has to answer a watch call.
constexpr std::chrono::milliseconds WatchTimeoutMargin{2000};

/// Largest answer of the platform, with its framing. Pages have about 1 MB.
constexpr std::size_t MaxAnswerBytes = std::size_t(16) << 20U;

std::string objectPath(const std::string &name)
{
    return "/objects/" + percentEncodedPath(name);
}

std::unique_ptr<BoundedClient> makeClient(const std::string &baseUrl,
                                          std::chrono::milliseconds timeout)
{
    auto client = std::make_unique<BoundedClient>(baseUrl, MaxAnswerBytes);
    client->setCallTimeout(timeout);
    client->set_keep_alive(false);
    client->set_tcp_nodelay(true);
    client->set_url_encode(false);
    const auto microseconds = std::chrono::duration_cast<std::chrono::microseconds>(timeout);
    client->set_connection_timeout(microseconds);
    client->set_read_timeout(microseconds);
    client->set_write_timeout(microseconds);
    return client;
}

std::uint64_t versionOf(const httplib::Response &response)
{
    if (!response.has_header(VersionHeader))
        return 0;
    return std::strtoull(response.get_header_value(VersionHeader).c_str(), nullptr, 10);
}

std::string describe(const httplib::Result &result)
{
    if (!result)
        return "no answer: " + httplib::to_string(result.error());
    return "status " + std::to_string(result->status);
}

bool failedToConnect(httplib::Error error)
{
    return error == httplib::Error::Connection || error == httplib::Error::ConnectionTimeout;
}

UpdateResult toUpdateResult(const std::string &name, const httplib::Result &result)
{
    if (!result && failedToConnect(result.error()))
        return NotApplied{describe(result)};
    if (!result)
        return OutcomeUnknown{describe(result)};
    switch (result->status) {
    case 200:
        return Applied{versionOf(*result)};
    case 412: {
        const std::uint64_t version = versionOf(*result);
        if (version == 0)
            return Conflict{};
        return Conflict{StoredObject{name, result->body, version}};
    }
    case 400:
    case 413:
    case 503:
        return NotApplied{describe(result)};
    default:
        return OutcomeUnknown{describe(result)};
    }
}

/// Parses `body` as JSON and converts it with `parse`. Returns Unavailable if the body is not JSON
/// of the expected structure.
template<typename Result, typename Parse>
Result parseBody(const std::string &body, Parse &&parse)
{
    try {
        return parse(Json::parse(sanitizeJson(body)));
    } catch (const Json::exception &error) {
        return Unavailable{error.what()};
    }
}

/// Returns nothing, and logs an event, for an entry that is no object of the store.
std::optional<StoredObject> decodeEntry(const Json &entry)
{
    try {
        return StoredObject{entry.at("name"), entry.at("value"), entry.at("version")};
    } catch (const Json::exception &error) {
        EventLine("platform.entry_unreadable").add("reason", error.what());
        return std::nullopt;
    }
}

/// Entries that can't be read hide no others.
ListResult decodeList(const Json &json)
{
    ObjectList list;
    list.revision = json.at("revision");
    for (const Json &entry : json.at("objects")) {
        if (auto object = decodeEntry(entry))
            list.objects.push_back(std::move(*object));
    }
    return list;
}

WatchResult decodeChanges(const Json &json)
{
    ObjectChanges changes;
    changes.revision = json.at("revision");
    for (const Json &name : json.at("names")) {
        if (name.is_string())
            changes.names.push_back(name);
    }
    return changes;
}

} // namespace

HttpPlatform::HttpPlatform(std::string baseUrl, Metrics &metrics)
    : m_baseUrl(std::move(baseUrl))
    , m_metrics(metrics)
{}

ReadResult HttpPlatform::read(const std::string &name, std::chrono::milliseconds timeout)
{
    count("read");
    auto client = makeClient(m_baseUrl, timeout);
    const auto result = client->Get(objectPath(name));
    if (!result)
        return Unavailable{describe(result)};
    if (result->status == 404)
        return Absent{};
    if (result->status != 200)
        return Unavailable{describe(result)};
    return StoredObject{name, result->body, versionOf(*result)};
}

ListResult HttpPlatform::list(const std::string &prefix, std::chrono::milliseconds timeout)
{
    count("list");
    auto client = makeClient(m_baseUrl, timeout);
    const auto result = client->Get("/objects?prefix=" + percentEncodedPath(prefix));
    if (!result || result->status != 200)
        return Unavailable{describe(result)};
    return parseBody<ListResult>(result->body, decodeList);
}

WatchResult HttpPlatform::watch(const std::string &prefix, std::uint64_t revision,
                                std::chrono::milliseconds wait)
{
    count("watch");
    auto client = makeClient(m_baseUrl, wait + WatchTimeoutMargin);
    const auto result =
            client->Get("/watch?prefix=" + percentEncodedPath(prefix) + "&after="
                        + std::to_string(revision) + "&wait_ms=" + std::to_string(wait.count()));
    if (!result || result->status != 200)
        return Unavailable{describe(result)};
    return parseBody<WatchResult>(result->body, decodeChanges);
}

UpdateResult HttpPlatform::createIfAbsent(const std::string &name, const std::string &value,
                                          std::chrono::milliseconds timeout)
{
    count("create");
    auto client = makeClient(m_baseUrl, timeout);
    return toUpdateResult(
            name, client->Put(objectPath(name), {{"If-None-Match", "*"}}, value, BytesType));
}

UpdateResult HttpPlatform::update(const std::string &name, const std::string &value,
                                  std::uint64_t expectedVersion, std::chrono::milliseconds timeout)
{
    count("update");
    auto client = makeClient(m_baseUrl, timeout);
    const httplib::Headers headers{{"If-Match", std::to_string(expectedVersion)}};
    return toUpdateResult(name, client->Put(objectPath(name), headers, value, BytesType));
}

UpdateResult HttpPlatform::remove(const std::string &name, std::uint64_t expectedVersion,
                                  std::chrono::milliseconds timeout)
{
    count("remove");
    auto client = makeClient(m_baseUrl, timeout);
    const httplib::Headers headers{{"If-Match", std::to_string(expectedVersion)}};
    return toUpdateResult(name, client->Delete(objectPath(name), headers, "", JsonType));
}

VmListResult HttpPlatform::vms(std::chrono::milliseconds timeout)
{
    count("vms");
    auto client = makeClient(m_baseUrl, timeout);
    const auto result = client->Get("/vms");
    if (!result || result->status != 200)
        return Unavailable{describe(result)};
    return parseBody<VmListResult>(result->body, [](const Json &json) {
        std::vector<Vm> vms;
        for (const Json &entry : json)
            vms.push_back({entry.at("address"), entry.at("leaving")});
        return vms;
    });
}

void HttpPlatform::count(const char *kind)
{
    m_metrics.counter("almondmill_platform_calls_total", "kind=\"" + std::string(kind) + "\"")
            .add();
}

namespace {

const PlatformRegistry::Registrar HttpRegistrar("http", [](Node &node) {
    auto http = std::make_unique<HttpPlatform>(node.settings.platform, node.metrics);
    return std::make_unique<CircuitBreakerPlatform>(std::move(http), node.metrics);
});

} // namespace

} // namespace almondmill
