#pragma once

#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace almondmill::standin::rietwerk {

/// An object of the platform's metadata store.
struct MetadataObject
{
    std::string name;
    std::uint64_t revision = 0; ///< Of its last change.
    std::uint64_t created = 0;  ///< Revision of its first one.
    nlohmann::json spec;
    std::chrono::steady_clock::time_point writtenAt; ///< Also by writes that changed nothing.
};

/// One change of an object.
struct MetadataEvent
{
    std::string kind;
    MetadataObject object;
    bool deleted = false;
};

/// The platform's metadata store without its wire: objects by kind and name, one revision counter,
/// conditional changes, a history that can be forgotten. Finalizers and status are left out: the
/// router uses neither. Belongs to the event loop.
class MetadataStore
{
public:
    using Time = std::chrono::steady_clock::time_point;

    /// How a change ended.
    enum class Result { Done, Exists, Missing, OtherRevision };

    struct Outcome
    {
        Result result = Result::Done;
        std::optional<MetadataObject> object; ///< As it stands now.
    };

    std::uint64_t revision() const { return m_revision; }
    std::vector<MetadataObject> list(const std::string &kind) const;
    std::optional<MetadataObject> find(const std::string &kind, const std::string &name) const;

    Outcome create(const std::string &kind, const std::string &name, nlohmann::json spec, Time now);

    /// Replaces the object; only at `revision` when one is given. Without a difference the revision
    /// stays and there is no event.
    Outcome replace(const std::string &kind, const std::string &name, nlohmann::json spec,
                    std::optional<std::uint64_t> revision, Time now);

    Outcome remove(const std::string &kind, const std::string &name,
                   std::optional<std::uint64_t> revision);

    /// Creates the object or replaces it, as an operator's tool does. Returns the store's revision.
    std::uint64_t put(const std::string &kind, const std::string &name, nlohmann::json spec,
                      Time now);

    /// Removes objects of that kind that were not written since `since`.
    void expire(const std::string &kind, Time since);

    /// Changes of the kind after `revision`; nothing when that history is gone.
    std::optional<std::vector<MetadataEvent>> eventsAfter(const std::string &kind,
                                                          std::uint64_t revision) const;

    void forgetHistory();

    /// Calls `callback` after each change.
    void onChange(std::function<void()> callback) { m_onChange = std::move(callback); }

private:
    using Objects = std::map<std::string, MetadataObject>;

    MetadataObject *findObject(const std::string &kind, const std::string &name);
    void record(const std::string &kind, const MetadataObject &object, bool deleted);

    std::map<std::string, Objects> m_objects;
    std::deque<MetadataEvent> m_history;
    std::uint64_t m_revision = 1;
    std::uint64_t m_historyFrom = 1; ///< Changes after this revision are known.
    std::function<void()> m_onChange;
};

} // namespace almondmill::standin::rietwerk
