#include "memorystore.h"

#include "almondmill/store/revision.h"

namespace almondmill::standin {

ReadResult MemoryStore::read(const std::string &name, std::chrono::milliseconds)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    const auto found = m_objects.find(name);
    if (found == m_objects.end())
        return Absent{m_era};
    return inThisEra(found->second);
}

ListResult MemoryStore::list(const std::string &prefix, std::chrono::milliseconds)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    ObjectList result;
    result.revision = makeRevision(m_era, m_revision);
    for (auto it = m_objects.lower_bound(prefix);
         it != m_objects.end() && it->first.starts_with(prefix); ++it)
        result.objects.push_back(inThisEra(it->second));
    return result;
}

WatchResult MemoryStore::watch(const std::string &prefix, std::uint64_t revision,
                               std::chrono::milliseconds wait)
{
    std::unique_lock<std::mutex> lock(m_mutex);
    ObjectChanges changes;
    m_changed.wait_for(lock, wait, [&] {
        changes = changesAfter(prefix, revision);
        return !changes.names.empty();
    });
    return changes;
}

UpdateResult MemoryStore::createIfAbsent(const std::string &name, const std::string &value,
                                         std::chrono::milliseconds)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    const auto found = m_objects.find(name);
    if (found != m_objects.end())
        return Conflict{inThisEra(found->second)};
    return store(name, value);
}

UpdateResult MemoryStore::update(const std::string &name, const std::string &value,
                                 std::uint64_t expectedVersion, std::chrono::milliseconds)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    const auto found = m_objects.find(name);
    if (found == m_objects.end())
        return Conflict{};
    if (inThisEra(found->second).version != expectedVersion)
        return Conflict{inThisEra(found->second)};
    return store(name, value);
}

UpdateResult MemoryStore::remove(const std::string &name, std::uint64_t expectedVersion,
                                 std::chrono::milliseconds)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    const auto found = m_objects.find(name);
    if (found == m_objects.end())
        return Conflict{};
    if (inThisEra(found->second).version != expectedVersion)
        return Conflict{inThisEra(found->second)};
    m_objects.erase(found);
    m_changeRevisions[name] = ++m_revision;
    m_changed.notify_all();
    return Applied{};
}

UpdateResult MemoryStore::store(const std::string &name, const std::string &value)
{
    const std::uint64_t version = ++m_revision;
    m_objects[name] = StoredObject{name, value, version};
    m_changeRevisions[name] = version;
    m_changed.notify_all();
    return Applied{makeRevision(m_era, version)};
}

MemoryStore::Copy MemoryStore::copy()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return {m_objects, m_revision};
}

void MemoryStore::returnTo(const Copy &copy)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_objects = copy.objects;
    m_revision = copy.revision;
    ++m_era;
    m_changed.notify_all();
}

void MemoryStore::setEra(std::uint64_t era)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_era = era;
}

StoredObject MemoryStore::inThisEra(const StoredObject &object) const
{
    StoredObject stored = object;
    stored.version = makeRevision(m_era, object.version);
    return stored;
}

ObjectChanges MemoryStore::changesAfter(const std::string &prefix, std::uint64_t revision) const
{
    ObjectChanges changes;
    changes.revision = makeRevision(m_era, m_revision);
    for (auto it = m_changeRevisions.lower_bound(prefix);
         it != m_changeRevisions.end() && it->first.starts_with(prefix); ++it) {
        if (makeRevision(m_era, it->second) > revision)
            changes.names.push_back(it->first);
    }
    return changes;
}

} // namespace almondmill::standin
