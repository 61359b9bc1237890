#include "almondmill/directory/endpointdirectory.h"
#include "almondmill/kernel/abslview.h"

#include <absl/container/flat_hash_set.h>

#include <algorithm>

namespace almondmill {

EndpointDirectory::EndpointDirectory(Observer observer)
    : m_observer(std::move(observer))
{}

const Registration *EndpointDirectory::find(std::string_view id) const
{
    const auto found = m_entries.find(abslView(id));
    return found == m_entries.end() ? nullptr : &found->second;
}

std::vector<std::string> EndpointDirectory::replaceAll(std::vector<Registration> entries,
                                                       std::uint64_t revision, const Keeps &keeps)
{
    if (revision < m_revision)
        return {};
    absl::flat_hash_set<std::string> named;
    for (Registration &entry : entries) {
        named.insert(entry.id);
        put(std::move(entry));
    }
    std::vector<std::string> gone;
    for (const auto &[id, entry] : m_entries) {
        const bool isNewer = entry.revision > revision;
        if (!isNewer && !named.contains(id) && !(keeps && keeps(entry)))
            gone.push_back(id);
    }
    for (const std::string &id : gone)
        remove(id, revision);
    advance(revision);
    return gone;
}

void EndpointDirectory::put(Registration entry)
{
    const std::string id = entry.id;
    const auto removal = m_removals.find(id);
    if (removal != m_removals.end() && entry.revision <= removal->second)
        return;
    Registration &stored = m_entries[id];
    if (entry.revision < stored.revision)
        return;
    stored = std::move(entry);
    m_observer({id, &stored});
}

void EndpointDirectory::remove(const std::string &id, std::uint64_t revision)
{
    const auto found = m_entries.find(id);
    if (found != m_entries.end() && found->second.revision > revision)
        return;
    recordRemoval(id, revision);
    if (found == m_entries.end())
        return;
    m_entries.erase(found);
    m_observer({id, nullptr});
}

void EndpointDirectory::recordRemoval(const std::string &id, std::uint64_t revision)
{
    std::uint64_t &known = m_removals[id];
    known = std::max(known, revision);
    if (m_removals.size() <= MaxRemovals)
        return;
    m_removals.erase(std::min_element(
            m_removals.begin(), m_removals.end(),
            [](const auto &first, const auto &second) { return first.second < second.second; }));
}

void EndpointDirectory::advance(std::uint64_t revision)
{
    m_revision = std::max(m_revision, revision);
}

} // namespace almondmill
