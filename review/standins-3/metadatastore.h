#pragma once

#include "httpmessage.h"
#include "listener.h"

#include <condition_variable>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace review {

/// Stand-in for the platform's metadata store: linearizable, loses nothing and keeps its whole
/// history. Safe for concurrent calls.
class MetadataStore
{
public:
    using Json = nlohmann::json;

    explicit MetadataStore(const std::string &address);
    ~MetadataStore();

    /// Creates or replaces an object, as the operator and the endpoints do.
    void put(const std::string &kind, const std::string &name, const Json &spec);

    /// Removes an object, as the platform does when an endpoint has left.
    void remove(const std::string &kind, const std::string &name);

private:
    struct Object
    {
        std::uint64_t revision = 0;
        Json spec;
    };
    struct Event
    {
        std::string kind;
        Json object;
        std::uint64_t revision = 0;
        bool deleted = false;
    };
    struct Answer
    {
        int status = 0;
        Json body;
    };
    struct Target;

    void serve(Channel &channel);
    Answer answer(const HttpMessage &request);
    Answer read(const Target &target);
    Answer watch(const Target &target);
    Answer write(const HttpMessage &request, const Target &target);
    void store(const std::string &kind, const std::string &name, const Json &spec);
    static Json encode(const std::string &name, const Object &object);

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, std::map<std::string, Object>> m_objects;
    std::vector<Event> m_events;
    std::uint64_t m_revision = 1;
    bool m_stopping = false;
    std::unique_ptr<Listener> m_listener;
};

} // namespace review
