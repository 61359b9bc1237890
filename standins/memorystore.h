#pragma once

#include "almondmill/store/objectstore.h"

#include <condition_variable>
#include <map>
#include <mutex>

namespace almondmill::standin {

/// In-memory object store, used by the platform stand-in and as a fake in tests within one process.
/// Thread-safe. Ignores the timeouts of its calls.
class MemoryStore : public ObjectStore
{
public:
    ReadResult read(const std::string &name, std::chrono::milliseconds timeout) override;
    ListResult list(const std::string &prefix, std::chrono::milliseconds timeout) override;
    WatchResult watch(const std::string &prefix, std::uint64_t revision,
                      std::chrono::milliseconds wait) override;
    UpdateResult createIfAbsent(const std::string &name, const std::string &value,
                                std::chrono::milliseconds timeout) override;
    UpdateResult update(const std::string &name, const std::string &value,
                        std::uint64_t expectedVersion, std::chrono::milliseconds timeout) override;
    UpdateResult remove(const std::string &name, std::uint64_t expectedVersion,
                        std::chrono::milliseconds timeout) override;

    /// The contents at one moment.
    struct Copy
    {
        std::map<std::string, StoredObject> objects;
        std::uint64_t revision = 0;
    };

    Copy copy();

    /// Returns to an earlier copy: later changes are lost, revisions are given out again, and the
    /// era rises by one.
    void returnTo(const Copy &copy);

    /// Sets the era, which is zero before; see revision.h.
    void setEra(std::uint64_t era);

private:
    /// The object as it is stored, with its version of the present era.
    StoredObject inThisEra(const StoredObject &object) const;
    UpdateResult store(const std::string &name, const std::string &value);
    ObjectChanges changesAfter(const std::string &prefix, std::uint64_t revision) const;

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, StoredObject> m_objects;
    std::map<std::string, std::uint64_t> m_changeRevisions;
    std::uint64_t m_revision = 0; ///< The store's own number, like those of the objects.
    std::uint64_t m_era = 0;
};

} // namespace almondmill::standin
