#include "metadatastore.h"

#include "channel.h"

#include <chrono>
#include <cstdlib>
#include <sstream>

namespace review {

namespace {

constexpr std::chrono::seconds IdleTimeout{60};
constexpr int Ok = 200;
constexpr int Created = 201;
constexpr int BadRequest = 400;
constexpr int NotFound = 404;
constexpr int Conflict = 409;

} // namespace

/// "/v1/objects/KIND/NAME?QUERY", taken apart.
struct MetadataStore::Target
{
    std::string kind;
    std::string name;
    std::map<std::string, std::string> query;

    explicit Target(const std::string &text)
    {
        const std::string prefix = "/v1/objects/";
        const auto mark = text.find('?');
        const std::string path = text.substr(0, mark).substr(prefix.size());
        const auto slash = path.find('/');
        kind = path.substr(0, slash);
        if (slash != std::string::npos)
            name = path.substr(slash + 1);
        std::istringstream fields(mark == std::string::npos ? "" : text.substr(mark + 1));
        std::string field;
        while (std::getline(fields, field, '&')) {
            const auto equals = field.find('=');
            query[field.substr(0, equals)] = field.substr(equals + 1);
        }
    }
};

MetadataStore::MetadataStore(const std::string &address)
    : m_listener(std::make_unique<Listener>(address, [this](Channel &channel) { serve(channel); }))
{}

MetadataStore::~MetadataStore()
{
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_stopping = true;
    }
    m_changed.notify_all();
}

void MetadataStore::put(const std::string &kind, const std::string &name, const Json &spec)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    store(kind, name, spec);
}

void MetadataStore::remove(const std::string &kind, const std::string &name)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    auto &objects = m_objects[kind];
    const auto found = objects.find(name);
    if (found == objects.end())
        return;
    found->second.revision = ++m_revision;
    m_events.push_back({kind, encode(name, found->second), m_revision, true});
    objects.erase(found);
    m_changed.notify_all();
}

void MetadataStore::store(const std::string &kind, const std::string &name, const Json &spec)
{
    Object &object = m_objects[kind][name];
    if (object.revision != 0 && object.spec == spec)
        return; // A write that changes nothing produces no event.
    object = {++m_revision, spec};
    m_events.push_back({kind, encode(name, object), m_revision, false});
    m_changed.notify_all();
}

MetadataStore::Json MetadataStore::encode(const std::string &name, const Object &object)
{
    return {{"metadata",
             {{"name", name},
              {"revision", object.revision},
              {"created", object.revision},
              {"finalizers", Json::array()}}},
            {"spec", object.spec},
            {"status", Json::object()}};
}

void MetadataStore::serve(Channel &channel)
{
    for (;;) {
        const auto request = channel.readMessage(std::chrono::steady_clock::now() + IdleTimeout);
        if (!request)
            return;
        const Answer reply = answer(*request);
        const std::string body = reply.body.dump();
        const std::string text = "HTTP/1.1 " + std::to_string(reply.status)
                                 + " Status\r\nContent-Type: application/json\r\nStore-Era: 1\r\n"
                                 + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n"
                                 + body;
        if (!channel.send(text, std::chrono::steady_clock::now() + IdleTimeout))
            return;
    }
}

MetadataStore::Answer MetadataStore::answer(const HttpMessage &request)
{
    const std::string target = request.word(1);
    if (!target.starts_with("/v1/objects/"))
        return {NotFound, Json::object()};
    const Target parsed(target);
    if (request.word(0) != "GET")
        return write(request, parsed);
    return parsed.query.contains("watch") ? watch(parsed) : read(parsed);
}

MetadataStore::Answer MetadataStore::read(const Target &target)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    const auto &objects = m_objects[target.kind];
    if (!target.name.empty()) {
        const auto found = objects.find(target.name);
        if (found == objects.end())
            return {NotFound, Json::object()};
        return {Ok, encode(target.name, found->second)};
    }
    Json items = Json::array();
    for (const auto &[name, object] : objects)
        items.push_back(encode(name, object));
    return {Ok, {{"items", items}, {"more", false}, {"store_revision", m_revision}}};
}

MetadataStore::Answer MetadataStore::watch(const Target &target)
{
    const auto after = std::strtoull(target.query.at("watch").c_str(), nullptr, 10);
    const auto wait = target.query.find("wait_ms");
    const std::chrono::milliseconds longest(
            wait == target.query.end() ? 0 : std::atoll(wait->second.c_str()));
    const auto until = std::chrono::steady_clock::now() + longest;
    std::unique_lock<std::mutex> lock(m_mutex);
    for (;;) {
        Json events = Json::array();
        for (const Event &event : m_events) {
            if (event.kind == target.kind && event.revision > after)
                events.push_back({{"object", event.object}, {"deleted", event.deleted}});
        }
        const bool isOver = m_stopping || std::chrono::steady_clock::now() >= until;
        if (!events.empty() || isOver)
            return {Ok, {{"events", events}, {"store_revision", m_revision}}};
        m_changed.wait_until(lock, until);
    }
}

MetadataStore::Answer MetadataStore::write(const HttpMessage &request, const Target &target)
{
    const Json body = Json::parse(request.body, nullptr, false);
    if (!body.is_object() || !body.contains("metadata") || !body.contains("spec"))
        return {BadRequest, Json::object()};
    const Json &metadata = body["metadata"];
    const bool creates = request.word(0) == "POST";
    const std::string name = creates ? metadata.value("name", "") : target.name;
    const std::lock_guard<std::mutex> lock(m_mutex);
    auto &objects = m_objects[target.kind];
    const auto found = objects.find(name);
    if (!creates && found == objects.end())
        return {NotFound, Json::object()};
    const bool conflicts = creates ? found != objects.end()
                                   : metadata.contains("revision")
                                             && metadata["revision"] != found->second.revision;
    if (conflicts)
        return {Conflict, encode(name, found->second)};
    store(target.kind, name, body["spec"]);
    return {creates ? Created : Ok, encode(name, objects[name])};
}

} // namespace review
