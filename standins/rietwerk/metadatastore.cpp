#include "metadatastore.h"

#include <utility>

namespace almondmill::standin::rietwerk {

std::vector<MetadataObject> MetadataStore::list(const std::string &kind) const
{
    std::vector<MetadataObject> objects;
    const auto found = m_objects.find(kind);
    if (found == m_objects.end())
        return objects;
    for (const auto &[name, object] : found->second)
        objects.push_back(object);
    return objects;
}

std::optional<MetadataObject> MetadataStore::find(const std::string &kind,
                                                  const std::string &name) const
{
    const auto objects = m_objects.find(kind);
    if (objects == m_objects.end())
        return std::nullopt;
    const auto object = objects->second.find(name);
    if (object == objects->second.end())
        return std::nullopt;
    return object->second;
}

MetadataStore::Outcome MetadataStore::create(const std::string &kind, const std::string &name,
                                             nlohmann::json spec, Time now)
{
    if (const auto *known = findObject(kind, name))
        return {Result::Exists, *known};
    MetadataObject &object = m_objects[kind][name];
    object = {name, m_revision + 1, m_revision + 1, std::move(spec), now};
    record(kind, object, false);
    return {Result::Done, object};
}

MetadataStore::Outcome MetadataStore::replace(const std::string &kind, const std::string &name,
                                              nlohmann::json spec,
                                              std::optional<std::uint64_t> revision, Time now)
{
    MetadataObject *object = findObject(kind, name);
    if (!object)
        return {Result::Missing, std::nullopt};
    if (revision && *revision != object->revision)
        return {Result::RevisionMismatch, *object};
    object->writtenAt = now;
    if (object->spec == spec)
        return {Result::Done, *object};
    object->spec = std::move(spec);
    object->revision = m_revision + 1;
    record(kind, *object, false);
    return {Result::Done, *object};
}

MetadataStore::Outcome MetadataStore::remove(const std::string &kind, const std::string &name,
                                             std::optional<std::uint64_t> revision)
{
    const MetadataObject *known = findObject(kind, name);
    if (!known)
        return {Result::Missing, std::nullopt};
    if (revision && *revision != known->revision)
        return {Result::RevisionMismatch, *known};
    MetadataObject object = *known;
    object.revision = m_revision + 1;
    m_objects[kind].erase(name);
    record(kind, object, true);
    return {Result::Done, std::nullopt};
}

std::uint64_t MetadataStore::put(const std::string &kind, const std::string &name,
                                 nlohmann::json spec, Time now)
{
    if (findObject(kind, name))
        replace(kind, name, std::move(spec), std::nullopt, now);
    else
        create(kind, name, std::move(spec), now);
    return m_revision;
}

void MetadataStore::expire(const std::string &kind, Time since)
{
    for (const MetadataObject &object : list(kind)) {
        if (object.writtenAt < since)
            remove(kind, object.name, std::nullopt);
    }
}

std::optional<std::vector<MetadataEvent>> MetadataStore::eventsAfter(const std::string &kind,
                                                                     std::uint64_t revision) const
{
    if (revision < m_historyStartRevision || revision > m_revision)
        return std::nullopt;
    std::vector<MetadataEvent> events;
    for (const MetadataEvent &event : m_history) {
        if (event.kind == kind && event.object.revision > revision)
            events.push_back(event);
    }
    return events;
}

void MetadataStore::forgetHistory()
{
    m_history.clear();
    m_historyStartRevision = m_revision;
    if (m_onChange)
        m_onChange();
}

void MetadataStore::returnTo(const Copy &copy, Time now)
{
    m_objects = copy.objects;
    m_revision = copy.revision;
    for (auto &[kind, objects] : m_objects) {
        for (auto &[name, object] : objects)
            object.writtenAt = now;
    }
    ++m_era;
    forgetHistory();
}

MetadataObject *MetadataStore::findObject(const std::string &kind, const std::string &name)
{
    auto &objects = m_objects[kind];
    const auto found = objects.find(name);
    return found == objects.end() ? nullptr : &found->second;
}

void MetadataStore::record(const std::string &kind, const MetadataObject &object, bool deleted)
{
    // Bounds the memory of the history in long runs.
    constexpr std::size_t MaxHistoryEvents = 5000;

    ++m_revision;
    m_history.push_back({kind, object, deleted});
    if (m_history.size() > MaxHistoryEvents) {
        m_historyStartRevision = m_history.front().object.revision;
        m_history.pop_front();
    }
    if (m_onChange)
        m_onChange();
}

} // namespace almondmill::standin::rietwerk
