#pragma once

#include "http.h"

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace review {

/// Stand-in for the platform's store: objects by kind and name, one revision counter, conditional
/// changes, lists and watches. It keeps the name and the spec of an object as they were written.
class PlatformStore
{
public:
    PlatformStore(const std::string &host, int port);

    std::string address() const { return m_server.address(); }

    /// Creates or replaces an object, as the operator, a server or another writer does. `name` and
    /// `spec` are JSON texts.
    void put(const std::string &kind, const std::string &name, const std::string &spec);

    /// Removes an object; `name` is a JSON text.
    void remove(const std::string &kind, const std::string &name);

private:
    struct Object
    {
        std::string name;
        std::string spec;
        std::uint64_t revision = 0;
    };

    struct Change
    {
        std::string kind;
        Object object;
        bool isRemoval = false;
    };

    bool handle(int socket, const HttpRequest &request);
    void get(int socket, const std::string &kind, const std::string &name,
             const std::map<std::string, std::string> &query);
    void change(int socket, const HttpRequest &request, const std::string &kind,
                const std::string &name);
    std::string watch(const std::string &kind, std::uint64_t after, std::uint64_t waitMs);
    std::string list(const std::string &kind);
    Object write(const std::string &kind, const std::string &name, const std::string &spec);
    static std::string encode(const Object &object);

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::uint64_t m_revision = 1;
    std::map<std::string, std::map<std::string, Object>> m_objects;
    std::vector<Change> m_history;
    HttpServer m_server; ///< Last, as it uses the others from its first call on.
};

} // namespace review
