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

void EndpointDirectory::replaceAll(std::vector<Registration> entries, std::uint64_t revision,
                                   UnlistedEntries unlisted)
{
    if (revision < m_revision)
        return;
    absl::flat_hash_set<std::string> named;
    for (Registration &entry : entries) {
        named.insert(entry.id);
        put(std::move(entry));
    }
    std::vector<std::string> gone;
    for (const auto &[id, entry] : m_entries) {
        if (unlisted == UnlistedEntries::Remove && !named.contains(id))
            gone.push_back(id);
    }
    for (const std::string &id : gone)
        remove(id);
    advance(revision);
}

void EndpointDirectory::put(Registration entry)
{
    const std::string id = entry.id;
    Registration &stored = m_entries[id];
    stored = std::move(entry);
    m_observer({id, &stored});
}

void EndpointDirectory::remove(const std::string &id)
{
    if (m_entries.erase(id) != 0)
        m_observer({id, nullptr});
}

void EndpointDirectory::advance(std::uint64_t revision)
{
    m_revision = std::max(m_revision, revision);
}

} // namespace almondmill
