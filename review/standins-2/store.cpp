#include "store.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <sstream>
#include <utility>

namespace review {

namespace {

using nlohmann::json;

constexpr const char *Prefix = "/v1/objects/";
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
    m_history.push_back({kind, object, true});
    m_changed.notify_all();
}

PlatformStore::Object PlatformStore::write(const std::string &kind, const std::string &name,
                                           const std::string &spec)
{
    Object &object = m_objects[kind][name];
    if (object.revision != 0 && object.spec == spec)
        return object;
    object = {name, spec, ++m_revision};
    m_history.push_back({kind, object, false});
    m_changed.notify_all();
    return object;
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
        sendAnswer(socket, 200, watch(kind, std::stoull(after->second), waitMs), JsonType);
        return;
    }
    if (name.empty()) {
        sendAnswer(socket, 200, list(kind), JsonType);
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

std::string PlatformStore::list(const std::string &kind)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    std::string items;
    for (const auto &[name, object] : m_objects[kind])
        items += (items.empty() ? "" : ",") + encode(object);
    return R"({"items":[)" + items + R"(],"more":false,"store_revision":)"
           + std::to_string(m_revision) + "}";
}

} // namespace review
