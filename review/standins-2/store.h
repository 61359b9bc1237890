#pragma once

#include "http.h"

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <string>

namespace review {

/// Stand-in for the platform's store: objects by kind and name, one revision counter, conditional
/// changes, lists in pages, watches, a history that ends. It keeps the name and the spec of an
/// object as they were written.
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
        std::chrono::steady_clock::time_point at;
    };

    bool handle(int socket, const HttpRequest &request);
    void get(int socket, const std::string &kind, const std::string &name,
             const std::map<std::string, std::string> &query);
    void change(int socket, const HttpRequest &request, const std::string &kind,
                const std::string &name);
    /// Empty when the store has forgotten changes after that revision.
    std::string watch(const std::string &kind, std::uint64_t after, std::uint64_t waitMs);
    std::string list(const std::string &kind, const std::string &after);
    void remember(Change change);
    Object write(const std::string &kind, const std::string &name, const std::string &spec);
    static std::string encode(const Object &object);

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::uint64_t m_revision = 1;
    std::map<std::string, std::map<std::string, Object>> m_objects;
    std::deque<Change> m_history;
    std::uint64_t m_forgotten = 0; ///< Revision of the newest change that was forgotten.
    HttpServer m_server;           ///< Last, as it uses the others from its first call on.
};

} // namespace review
