#include "almondmill/config/partcache.h"

#include "almondmill/config/configurationroot.h"

namespace almondmill {

PartCache::Content PartCache::find(const std::string &name) const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    const auto found = m_parts.find(name);
    return found == m_parts.end() ? nullptr : found->second;
}

std::vector<std::string> PartCache::names() const
{
    std::vector<std::string> result;
    const std::lock_guard<std::mutex> lock(m_mutex);
    for (const auto &[name, content] : m_parts)
        result.push_back(name);
    return result;
}

std::vector<std::string> PartCache::missing(const std::vector<std::string> &names) const
{
    std::vector<std::string> result;
    const std::lock_guard<std::mutex> lock(m_mutex);
    for (const std::string &name : names) {
        if (!m_parts.contains(name))
            result.push_back(name);
    }
    return result;
}

bool PartCache::insert(const std::string &name, std::string content)
{
    if (!isPartContent(name, content))
        return false;
    auto shared = std::make_shared<const std::string>(std::move(content));
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_parts.insert_or_assign(name, std::move(shared));
    return true;
}

void PartCache::retain(const std::vector<std::string> &names)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    absl::flat_hash_map<std::string, Content> kept;
    for (const std::string &name : names) {
        const auto found = m_parts.find(name);
        if (found != m_parts.end())
            kept.emplace(name, std::move(found->second));
    }
    m_parts.swap(kept);
}

} // namespace almondmill
