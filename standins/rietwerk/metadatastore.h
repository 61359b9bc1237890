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

/// Object of the platform's metadata store.
struct MetadataObject
{
    std::string name;
    std::uint64_t revision = 0; ///< Revision of its last change.
    std::uint64_t created = 0;  ///< Revision of its creation.
    nlohmann::json spec;
    std::chrono::steady_clock::time_point writtenAt; ///< Last write, even without a change.
};

/// Change of an object.
struct MetadataEvent
{
    std::string kind;
    MetadataObject object;
    bool deleted = false;
};

/// Contents of the platform's metadata store without its network protocol: objects by kind and
/// name, one revision counter, conditional changes and a history that can be discarded. Finalizers
/// and status are not implemented because the router uses neither. Used only from the event loop's
/// thread.
class MetadataStore
{
public:
    using Time = std::chrono::steady_clock::time_point;

    /// Result of a change.
    enum class Result { Done, Exists, Missing, RevisionMismatch };

    struct Outcome
    {
        Result result = Result::Done;
        std::optional<MetadataObject> object; ///< Current state of the object.
    };

    std::uint64_t revision() const { return m_revision; }
    std::vector<MetadataObject> list(const std::string &kind) const;
    std::optional<MetadataObject> find(const std::string &kind, const std::string &name) const;

    Outcome create(const std::string &kind, const std::string &name, nlohmann::json spec, Time now);

    /// Replaces the object, if `revision` is given only at that revision. An equal `spec` changes
    /// neither the object's revision nor the history.
    Outcome replace(const std::string &kind, const std::string &name, nlohmann::json spec,
                    std::optional<std::uint64_t> revision, Time now);

    Outcome remove(const std::string &kind, const std::string &name,
                   std::optional<std::uint64_t> revision);

    /// Creates or replaces the object, as an operator's tool does. Returns the store's revision.
    std::uint64_t put(const std::string &kind, const std::string &name, nlohmann::json spec,
                      Time now);

    /// Removes the objects of `kind` that were last written before `since`.
    void expire(const std::string &kind, Time since);

    /// Changes of `kind` after `revision`; nothing if the history does not reach back that far.
    std::optional<std::vector<MetadataEvent>> eventsAfter(const std::string &kind,
                                                          std::uint64_t revision) const;

    /// Discards all past events; watches from an earlier revision then fail.
    void forgetHistory();

    /// The contents at one moment.
    struct Copy
    {
        std::map<std::string, std::map<std::string, MetadataObject>> objects;
        std::uint64_t revision = 0;
    };

    Copy copy() const { return {m_objects, m_revision}; }

    /// Returns to an earlier copy: later changes are lost, revisions go back, the history is gone
    /// and the era rises by one.
    void returnTo(const Copy &copy, Time now);

    /// Rises by one with each return to a copy. Zero, which calls don't show, until it is set.
    std::uint64_t era() const { return m_era; }
    void setEra(std::uint64_t era) { m_era = era; }

    /// Sets the callback that is called after each change.
    void onChange(std::function<void()> callback) { m_onChange = std::move(callback); }

private:
    using Objects = std::map<std::string, MetadataObject>;

    MetadataObject *findObject(const std::string &kind, const std::string &name);
    void record(const std::string &kind, const MetadataObject &object, bool deleted);

    std::map<std::string, Objects> m_objects;
    std::deque<MetadataEvent> m_history;
    std::uint64_t m_revision = 1;
    std::uint64_t m_era = 0;

    /// The history contains all changes after this revision.
    std::uint64_t m_historyStartRevision = 1;

    std::function<void()> m_onChange;
};

} // namespace almondmill::standin::rietwerk
