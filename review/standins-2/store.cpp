#include "store.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <sstream>
#include <utility>

namespace review {

namespace {

using nlohmann::json;

constexpr const char *Prefix = "/v1/objects/";
/// A page of a list ends with so many items, or before it has more bytes.
constexpr std::size_t MaxItems = 500;
constexpr std::size_t MaxPageBytes = 1048576;

/// `history_s` of the sheet.
constexpr std::chrono::seconds History{20};

constexpr const char *JsonType = "Content-Type: application/json\r\n";

std::map<std::string, std::string> parseQuery(const std::string &text)
{
    std::map<std::string, std::string> query;
    std::istringstream fields(text);
    for (std::string field; std::getline(fields, field, '&');) {
        const auto equals = field.find('=');
        if (equals != std::string::npos)
            query[field.substr(0, equals)] = field.substr(equals + 1);
    }
    return query;
}

} // namespace

PlatformStore::PlatformStore(const std::string &host, int port)
    : m_server(host, port,
               [this](int socket, const HttpRequest &request) { return handle(socket, request); })
{}

void PlatformStore::put(const std::string &kind, const std::string &name, const std::string &spec)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    write(kind, name, spec);
}

void PlatformStore::remove(const std::string &kind, const std::string &name)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    auto &objects = m_objects[kind];
    const auto found = objects.find(name);
    if (found == objects.end())
        return;
    Object object = found->second;
    objects.erase(found);
    object.revision = ++m_revision;
    remember({kind, object, true, {}});
}

PlatformStore::Object PlatformStore::write(const std::string &kind, const std::string &name,
                                           const std::string &spec)
{
    Object &object = m_objects[kind][name];
    if (object.revision != 0 && object.spec == spec)
        return object;
    object = {name, spec, ++m_revision};
    remember({kind, object, false, {}});
    return object;
}

void PlatformStore::remember(Change change)
{
    const auto now = std::chrono::steady_clock::now();
    change.at = now;
    m_history.push_back(std::move(change));
    while (m_history.front().at + History < now) {
        m_forgotten = m_history.front().object.revision;
        m_history.pop_front();
    }
    m_changed.notify_all();
}

std::string PlatformStore::encode(const Object &object)
{
    return R"({"metadata":{"name":)" + object.name + R"(,"revision":)"
           + std::to_string(object.revision) + R"(,"created":1,"finalizers":[]},"spec":)"
           + object.spec + R"(,"status":{}})";
}

bool PlatformStore::handle(int socket, const HttpRequest &request)
{
    const auto question = request.target.find('?');
    const std::string path = request.target.substr(0, question);
    const auto query = parseQuery(
            question == std::string::npos ? std::string() : request.target.substr(question + 1));
    if (path.rfind(Prefix, 0) != 0) {
        sendAnswer(socket, 404, "{}", JsonType);
        return true;
    }
    const std::string rest = path.substr(std::string(Prefix).size());
    const auto slash = rest.find('/');
    const std::string kind = rest.substr(0, slash);
    const std::string name =
            slash == std::string::npos ? std::string() : json(rest.substr(slash + 1)).dump();
    if (request.method == "GET")
        get(socket, kind, name, query);
    else
        change(socket, request, kind, name);
    return true;
}

void PlatformStore::get(int socket, const std::string &kind, const std::string &name,
                        const std::map<std::string, std::string> &query)
{
    const auto after = query.find("watch");
    if (after != query.end()) {
        const auto wait = query.find("wait_ms");
        const std::uint64_t waitMs = wait == query.end() ? 0 : std::stoull(wait->second);
        const std::string events = watch(kind, std::stoull(after->second), waitMs);
        sendAnswer(socket, events.empty() ? 410 : 200, events.empty() ? "{}" : events, JsonType);
        return;
    }
    if (name.empty()) {
        const auto last = query.find("after");
        sendAnswer(socket, 200,
                   list(kind, last == query.end() ? std::string() : json(last->second).dump()),
                   JsonType);
        return;
    }
    std::string body;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        const auto &objects = m_objects[kind];
        const auto found = objects.find(name);
        body = found == objects.end() ? std::string() : encode(found->second);
    }
    sendAnswer(socket, body.empty() ? 404 : 200, body.empty() ? "{}" : body, JsonType);
}

void PlatformStore::change(int socket, const HttpRequest &request, const std::string &kind,
                           const std::string &name)
{
    const json body = json::parse(request.body, nullptr, false);
    if (!body.is_object() || (request.method != "POST" && request.method != "PUT")) {
        sendAnswer(socket, 400, "{}", JsonType);
        return;
    }
    const json &metadata = body.at("metadata");
    const std::string key = request.method == "POST" ? metadata.at("name").dump() : name;
    int status = 200;
    std::string answer;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        const auto &objects = m_objects[kind];
        const auto found = objects.find(key);
        const bool isThere = found != objects.end();
        const bool mismatches = isThere && metadata.contains("revision")
                                && metadata.at("revision") != found->second.revision;
        if (request.method == "PUT" && !isThere)
            status = 404;
        else if ((request.method == "POST" && isThere) || mismatches)
            status = 409;
        else if (request.method == "POST")
            status = 201;
        if (status == 409)
            answer = encode(found->second);
        else if (status != 404)
            answer = encode(write(kind, key, body.at("spec").dump()));
    }
    sendAnswer(socket, status, answer.empty() ? "{}" : answer, JsonType);
}

std::string PlatformStore::watch(const std::string &kind, std::uint64_t after, std::uint64_t waitMs)
{
    const auto until = std::chrono::steady_clock::now() + std::chrono::milliseconds(waitMs);
    std::unique_lock<std::mutex> lock(m_mutex);
    if (after < m_forgotten)
        return {};
    std::string events;
    const auto collect = [&] {
        for (const Change &change : m_history) {
            if (change.kind != kind || change.object.revision <= after)
                continue;
            events += events.empty() ? "" : ",";
            events += R"({"object":)" + encode(change.object) + R"(,"deleted":)"
                      + (change.isRemoval ? "true}" : "false}");
        }
        return !events.empty();
    };
    m_changed.wait_until(lock, until, collect);
    return R"({"events":[)" + events + R"(],"store_revision":)" + std::to_string(m_revision) + "}";
}

std::string PlatformStore::list(const std::string &kind, const std::string &after)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    std::string items;
    std::size_t count = 0;
    bool hasMore = false;
    for (const auto &[name, object] : m_objects[kind]) {
        if (!after.empty() && name <= after)
            continue;
        const std::string item = encode(object);
        hasMore = count == MaxItems || (count > 0 && items.size() + item.size() > MaxPageBytes);
        if (hasMore)
            break;
        items += (items.empty() ? "" : ",") + item;
        ++count;
    }
    return R"({"items":[)" + items + R"(],"more":)" + (hasMore ? "true" : "false")
           + R"(,"store_revision":)" + std::to_string(m_revision) + "}";
}

} // namespace review
